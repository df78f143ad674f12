"""The former owners of each shard, for as long as they may still answer its workers."""

from __future__ import annotations

from msgspec import Struct

from cloverplank.basic_types import Clock, MonotonicTime, NodeId, Zone
from cloverplank.kvstore import keys
from cloverplank.kvstore.controller_lease import ControllerLease
from cloverplank.kvstore.watch_cache import WatchCache
from cloverplank.records.cluster import ShardRecord

MARGIN_S = 5.0  # beyond its grace period, for which a former owner counts as possibly running


class _Owner(Struct):
    """A controller that a shard was assigned to; `ended_at`: when the end of its assignment came, None before that."""

    node: NodeId
    ended_at: MonotonicTime | None = None


class FormerOwners:
    """Notes every assignment to another controller as the watch delivers it, however short it was.

    A look at the cache now and then would miss an owner whose assignment began and ended in between, and which may go
    on with its workers without the key-value store.
    """

    def __init__(
        self,
        zones: list[Zone],
        *,
        clock: Clock,
        controller_lease: ControllerLease,
        watch_cache: WatchCache,
        grace_s: float,
    ) -> None:
        self._clock = clock
        self._controller_lease = controller_lease
        self._watch_cache = watch_cache
        self._max_age_s = grace_s + MARGIN_S
        self._zones = {keys.shard(zone): zone for zone in zones}
        self._owners: dict[Zone, dict[int, _Owner]] = {zone: {} for zone in zones}  # by their leases
        self._known_since = clock.monotonic()  # no assignment since then was missed

    def key_changed(self, key: str) -> None:
        """Note the change of a key; an empty one stands for all, which were read anew."""
        if not key:
            # What was assigned between the last watch and the reading is not known.
            self._known_since = self._clock.monotonic()
        elif key in self._zones:
            self._note_assignment(key, self._zones[key])

    def _note_assignment(self, key: str, zone: Zone) -> None:
        self._forget_old(zone)
        owners = self._owners[zone]
        now = self._clock.monotonic()
        for owner in owners.values():
            if owner.ended_at is None:
                owner.ended_at = now
        stored = self._watch_cache.get(key, ShardRecord)
        if stored is not None and stored.record.lease != self._controller_lease.lease:
            owners[stored.record.lease] = _Owner(NodeId(stored.record.node))

    def have_ended(self, zone: Zone) -> bool:
        """Return whether no former owner of a shard answers workers any more.

        A controller that has joined again has ended its former process or released its assignment: either way that
        one answers no worker any more. This has to hold for every owner that can still be running without the store,
        not for the last one alone.
        """
        self._forget_old(zone)
        if self._clock.monotonic() - self._known_since < self._max_age_s:
            return False
        members = self._controller_lease.members()
        return all(
            owner.node == self._controller_lease.node_id
            or (owner.node in members and members[owner.node].lease != lease)
            for lease, owner in self._owners[zone].items()
        )

    def _forget_old(self, zone: Zone) -> None:
        oldest = self._clock.monotonic() - self._max_age_s
        owners = self._owners[zone]
        for lease in [
            lease for lease, owner in owners.items() if owner.ended_at is not None and owner.ended_at < oldest
        ]:
            del owners[lease]
