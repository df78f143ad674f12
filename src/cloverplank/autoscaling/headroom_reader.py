"""Reads the committed headroom."""

from __future__ import annotations

from cloverplank.basic_types import ModRevision
from cloverplank.kvstore import keys
from cloverplank.kvstore.watch_cache import WatchCache
from cloverplank.records.cluster import LeaderRecord, NodeRecord
from cloverplank.records.headroom import HeadroomRecord
from cloverplank.scheduling.committed_headroom import NO_HEADROOM, CommittedHeadroom, committed_headroom


class HeadroomReader:
    """Returns the headroom that the leader and all shard owners keep at present.

    It stays in force while there is no leader, and under the next one until that leader has committed another.
    """

    def __init__(self, watch_cache: WatchCache) -> None:
        self._watch_cache = watch_cache
        self._read = NO_HEADROOM
        self._mod_revision = ModRevision(0)

    def current(self) -> CommittedHeadroom:
        """Return the committed headroom; none while the leader runs a build that doesn't commit it."""
        versioned = self._watch_cache.get(keys.HEADROOM, HeadroomRecord)
        if versioned is None or self.is_led_by_older_build():
            return NO_HEADROOM
        if versioned.mod_revision != self._mod_revision:
            self._read, self._mod_revision = committed_headroom(versioned.record), versioned.mod_revision
        return self._read

    def is_led_by_older_build(self) -> bool:
        """Return whether the leader has not announced that it commits the headroom, so that all ignore the record."""
        leader = self._watch_cache.get(keys.LEADER, LeaderRecord)
        if leader is None:
            return False
        node = self._watch_cache.get(keys.node(leader.record.node), NodeRecord)
        return node is None or not node.record.commits_headroom
