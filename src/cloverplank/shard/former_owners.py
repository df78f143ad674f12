"""Former owners of each shard, tracked for as long as they may still respond to its workers."""

from __future__ import annotations

from msgspec import Struct

from cloverplank.basic_types import Clock, MonotonicTime, NodeId, Zone
from cloverplank.kvstore import keys
from cloverplank.kvstore.controller_lease import ControllerLease
from cloverplank.kvstore.watch_cache import WatchCache
from cloverplank.records.cluster import ShardRecord

RETENTION_MARGIN_S = 5.0  # extends the grace period during which a former owner may still be running


class _Owner(Struct):
    """A controller that a shard was assigned to.

    `ended_at`: when the end of the assignment was received; None while the assignment is in effect.
    """

    node: NodeId
    ended_at: MonotonicTime | None = None


class FormerOwners:
    """Records every assignment of a shard to another controller as the watch delivers it.

    Polling the cache would miss an owner whose assignment began and ended between two polls, and which may continue to
    respond to its workers without access to the key-value store.
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
        self._max_age_s = grace_s + RETENTION_MARGIN_S
        self._zones = {keys.shard(zone): zone for zone in zones}
        self._owners: dict[Zone, dict[int, _Owner]] = {zone: {} for zone in zones}  # keyed by lease ID
        self._complete_since = clock.monotonic()  # no later assignment was missed

    def key_changed(self, key: str) -> None:
        """Handle the change of a key. An empty key means that the whole cache was reloaded."""
        if not key:
            # Assignments between the last watch event and the reload are unknown.
            self._complete_since = self._clock.monotonic()
        elif key in self._zones:
            self._record_assignment(key, self._zones[key])

    def _record_assignment(self, key: str, zone: Zone) -> None:
        self._remove_expired(zone)
        owners = self._owners[zone]
        now = self._clock.monotonic()
        for owner in owners.values():
            if owner.ended_at is None:
                owner.ended_at = now
        stored = self._watch_cache.get(key, ShardRecord)
        if stored is not None and stored.record.lease != self._controller_lease.lease:
            owners[stored.record.lease] = _Owner(NodeId(stored.record.node))

    def have_ended(self, zone: Zone) -> bool:
        """Return whether no former owner of the shard responds to workers any longer.

        A controller that has joined again has ended its former process or released its assignment. In either case it
        no longer responds to workers under that assignment. This must hold for every owner that may still be running
        without the key-value store, not only for the last one.
        """
        self._remove_expired(zone)
        if self._clock.monotonic() - self._complete_since < self._max_age_s:
            return False
        members = self._controller_lease.members()
        return all(
            owner.node == self._controller_lease.node_id
            or (owner.node in members and members[owner.node].lease != lease)
            for lease, owner in self._owners[zone].items()
        )

    def _remove_expired(self, zone: Zone) -> None:
        min_ended_at = self._clock.monotonic() - self._max_age_s
        owners = self._owners[zone]
        for lease in [
            lease for lease, owner in owners.items() if owner.ended_at is not None and owner.ended_at < min_ended_at
        ]:
            del owners[lease]
