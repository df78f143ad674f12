"""Assignment of shards to controllers by the leader."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator, Mapping, Sequence

from msgspec import Struct

from cloverplank.basic_types import Clock, ModRevision, MonotonicTime, NodeId, Zone
from cloverplank.kvstore import keys
from cloverplank.kvstore.controller_lease import ControllerLease
from cloverplank.kvstore.errors import StoreError
from cloverplank.kvstore.transaction_priority import TransactionPriority
from cloverplank.kvstore.transaction_queue import TransactionQueue
from cloverplank.kvstore.watch_cache import WatchCache
from cloverplank.membership.gossip import GOSSIP_FRESH_S, ReceivedGossip
from cloverplank.records.cluster import NodeRecord, ShardRecord
from cloverplank.wire.kvstore import Compare, Put, Transaction

log = logging.getLogger(__name__)

GOSSIP_HEALTHY_S = 2.5  # a peer that missed two gossip periods may have ended: others are preferred
SMALL_CPU_CORES = 0.4  # with fewer, one controller can't both lead and handle the heartbeats of a zone
INTRODUCTION_S = 0.5  # a new leader waits this long for gossip of peers that it has never heard
JOIN_GRACE_S = 1.0  # a new leader waits this long for controllers of a zone before it assigns the shard elsewhere
START_GRACE_S = 10.0  # where no worker waits to be served, it waits this long for controllers that are still starting


class AssignmentCandidate(Struct, frozen=True):
    """A controller that may be assigned a shard."""

    node: NodeId
    record: NodeRecord
    mod_revision: ModRevision
    in_zone: bool
    healthy: bool  # heard within two gossip periods
    roles: int  # number of shards that it owns, plus one for the leader
    heard: int  # workers of the zone that send their heartbeats to it
    damped: bool = False  # a shard was taken from it recently

    def preference(self) -> tuple[bool, bool, int, int, NodeId]:
        """Return the sort key on small machines, where the controller with the fewest roles is preferred."""
        return self.in_zone, self.healthy, -self.roles, self.heard, self.node

    def preference_if_leader(self, leader: NodeId) -> tuple[bool, bool, bool, int, NodeId]:
        """Return the sort key on large machines: the leader allocates and places a job in one commit."""
        return self.in_zone, self.healthy, self.node == leader, self.heard, self.node


class ShardAssigner:
    """Assigns shards while this controller leads.

    `cpu_cores`: of the machine that it runs on. `controller_zones`: the zone of each configured controller.
    `peers`: the latest gossip of each. `is_damped`: whether a controller is assigned a shard only if there is no other.
    `has_workers`: whether a zone has workers, as far as this controller knows.
    """

    def __init__(
        self,
        zones: Sequence[Zone],
        *,
        cpu_cores: float,
        controller_zones: Mapping[NodeId, Zone],
        clock: Clock,
        controller_lease: ControllerLease,
        watch_cache: WatchCache,
        queue: TransactionQueue,
        peers: Mapping[NodeId, ReceivedGossip],
        is_damped: Callable[[NodeId], bool],
        has_workers: Callable[[Zone], bool],
    ) -> None:
        self._zones = zones
        self._separate_leader = cpu_cores < SMALL_CPU_CORES
        self._clock = clock
        self._controller_lease = controller_lease
        self._watch_cache = watch_cache
        self._queue = queue
        self._peers = peers
        self._is_damped = is_damped
        self._controller_zones = controller_zones
        self._has_workers = has_workers
        self._led_revision: ModRevision | None = None
        self._led_since = MonotonicTime(0.0)

    def led_for_s(self) -> float:
        """Return for how many seconds this controller has led, if it does."""
        return self._clock.monotonic() - self._led_since

    async def assign_shards(self) -> None:
        """Assign each shard that has no owner."""
        mod_revision = self._controller_lease.leadership_revision()
        if mod_revision is None:
            self._led_revision = None
            return
        if mod_revision != self._led_revision:
            self._led_revision, self._led_since = mod_revision, self._clock.monotonic()
        for zone in self._zones:
            if self._watch_cache.mod_revision(keys.shard(zone)):
                continue
            candidate = self._candidate(zone)
            if candidate is not None:
                await self._assign(zone, candidate, mod_revision)

    def replacement(self, zone: Zone, former: NodeId) -> AssignmentCandidate | None:
        """Return the healthy controller that is best to take over a shard from one that is judged faulty."""
        candidates = (
            candidate
            for candidate in self._candidates(zone)
            if candidate.node != former and candidate.healthy and not candidate.damped
        )
        return max(candidates, key=self._preference, default=None)

    async def _assign(self, zone: Zone, candidate: AssignmentCandidate, leader: ModRevision) -> None:
        key = keys.shard(zone)
        lease = candidate.record.lease
        compares = [
            Compare(keys.LEADER, leader),
            Compare(key, 0),
            Compare(keys.node(candidate.node), candidate.mod_revision),
        ]
        put = Put(key, ShardRecord(zone, candidate.node, lease), lease)
        try:
            response = await self._queue.commit(Transaction(compares, [put]), TransactionPriority.LEASE, once=True)
        except StoreError as err:
            log.debug("assignment of shard %s to %s: %s", zone, candidate.node, err)
            return
        if not response.conflicts:
            log.info("assignment: shard %s to %s, token %d", zone, candidate.node, response.revision)

    def _candidate(self, zone: Zone) -> AssignmentCandidate | None:
        """Return the best candidate for a shard, or None while a better one may still show up.

        On small machines that is the one with the fewest roles: the heartbeats of a zone take most of one, and the
        leader has scheduling cycles and scaling to do.
        """
        best = max(
            self._candidates(zone),
            key=lambda candidate: (not candidate.damped, self._preference(candidate)),
            default=None,
        )
        if best is None:
            return None
        if not best.in_zone and self.led_for_s() < JOIN_GRACE_S:
            return None  # one in the zone may be about to join
        if best.node == self._controller_lease.node_id and self._awaits_peers(zone):
            return None
        return best

    def _candidates(self, zone: Zone) -> Iterator[AssignmentCandidate]:
        now = self._clock.monotonic()
        for name, (record, mod_revision) in self._watch_cache.list_records(keys.NODES, NodeRecord).items():
            candidate = self._as_candidate(zone, NodeId(name), record, mod_revision, now)
            if candidate is not None:
                yield candidate

    def _preference(self, candidate: AssignmentCandidate) -> tuple[bool, bool, int, int, NodeId]:
        if self._separate_leader:
            return candidate.preference()
        return candidate.preference_if_leader(self._controller_lease.node_id)

    def _awaits_peers(self, zone: Zone) -> bool:
        """Return whether a controller that might be preferred to this one may be about to join or to be heard.

        Once a leader owns a shard, too, it keeps both roles. So it waits for all configured controllers as long as that
        costs nothing, and only for those that have joined where workers wait for an owner.
        """
        if not self._separate_leader:
            return False
        if self.led_for_s() < INTRODUCTION_S and self._has_unheard_member(zone):
            return True
        return self.led_for_s() < START_GRACE_S and self._has_absent_peer(zone) and not self._has_workers(zone)

    def _has_unheard_member(self, zone: Zone) -> bool:
        """Return whether another controller of the zone has joined and has never been heard."""
        return any(
            record.zone == zone and node != self._controller_lease.node_id and node not in self._peers
            for node, record in self._controller_lease.members().items()
        )

    def _has_absent_peer(self, zone: Zone) -> bool:
        """Return whether a configured controller that might be preferred has not joined, or was never heard."""
        node_id = self._controller_lease.node_id
        is_in_zone = self._controller_zones[node_id] == zone
        members = self._controller_lease.members()
        return any(
            node not in members or node not in self._peers
            for node, home in self._controller_zones.items()
            if node != node_id and (home == zone or not is_in_zone)
        )

    def _as_candidate(
        self, zone: Zone, node: NodeId, record: NodeRecord, mod_revision: ModRevision, now: MonotonicTime
    ) -> AssignmentCandidate | None:
        """Return the controller as a candidate; None if it declines assignments."""
        if not record.is_live():
            return None
        is_self = node == self._controller_lease.node_id
        if is_self and now < self._controller_lease.declines_assignments_until:
            return None
        gossip = None if is_self else self._peers.get(node)
        if gossip is not None and now - gossip.received_at >= GOSSIP_FRESH_S:
            gossip = None
        if gossip is not None and gossip.message.declines_assignments:
            return None
        roles = sum(self._controller_lease.shard_owner(other) == node for other in self._zones)
        return AssignmentCandidate(
            node,
            record,
            mod_revision,
            in_zone=record.zone == zone,
            healthy=is_self or (gossip is not None and now - gossip.received_at < GOSSIP_HEALTHY_S),
            roles=roles + is_self,
            heard=0 if gossip is None else gossip.message.worker_counts.get(zone, 0),
            damped=self._is_damped(node),
        )
