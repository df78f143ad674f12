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

HEALTHY_GOSSIP_AGE_S = 2.5  # a peer that missed two gossip periods may have stopped, so other candidates are preferred
SMALL_CPU_CORES = 0.4  # with fewer cores, one controller can't both lead and handle the heartbeats of a zone
FIRST_GOSSIP_GRACE_S = 0.5  # a new leader waits this long for members from which it has never received gossip
JOIN_GRACE_S = 1.0  # a new leader waits this long for controllers of a zone before it assigns the shard elsewhere
START_GRACE_S = 10.0  # while no worker needs an owner, a new leader waits this long for controllers that start late


class AssignmentCandidate(Struct, frozen=True):
    """A controller that may be assigned a shard."""

    node: NodeId
    record: NodeRecord
    mod_revision: ModRevision
    in_zone: bool
    healthy: bool  # it sent gossip within the last two gossip periods
    role_count: int  # number of shards that it owns, plus one for the leader
    worker_count: int  # workers of the zone that send their heartbeats to it
    damped: bool = False  # a shard was taken from it recently

    def preference(self) -> tuple[bool, bool, int, int, NodeId]:
        """Return the sort key for small machines, where the controller with the fewest roles is preferred."""
        return self.in_zone, self.healthy, -self.role_count, self.worker_count, self.node

    def preference_if_leader(self, leader: NodeId) -> tuple[bool, bool, bool, int, NodeId]:
        """Return the sort key for large machines, where the leader is preferred.

        A leader that owns the shard allocates and places a job in one commit.
        """
        return self.in_zone, self.healthy, self.node == leader, self.worker_count, self.node


class ShardAssigner:
    """Assigns shards while this controller leads.

    `cpu_cores`: the CPU cores of the machine that this controller runs on. `controller_zones`: the zone of each
    configured controller. `peers`: the latest gossip of each peer. `is_damped`: returns whether a controller is
    assigned a shard only if there is no other candidate. `has_workers`: returns whether a zone has workers, as far as
    this controller knows.
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
        self._last_leadership_revision: ModRevision | None = None
        self._led_since = MonotonicTime(0.0)

    def led_for_s(self) -> float:
        """Return for how many seconds this controller has led; only valid while it leads."""
        return self._clock.monotonic() - self._led_since

    async def assign_shards(self) -> None:
        """Assign each shard without an owner to the best candidate, unless a better one may still join."""
        leadership_revision = self._controller_lease.leadership_revision()
        if leadership_revision is None:
            self._last_leadership_revision = None
            return
        if leadership_revision != self._last_leadership_revision:
            self._last_leadership_revision, self._led_since = leadership_revision, self._clock.monotonic()
        for zone in self._zones:
            if self._watch_cache.mod_revision(keys.shard(zone)):
                continue
            candidate = self._select_candidate(zone)
            if candidate is not None:
                await self._assign(zone, candidate, leadership_revision)

    def replacement(self, zone: Zone, former_owner: NodeId) -> AssignmentCandidate | None:
        """Return the best healthy controller to take over a shard from one that is judged faulty; None without one."""
        candidates = (
            candidate
            for candidate in self._candidates(zone)
            if candidate.node != former_owner and candidate.healthy and not candidate.damped
        )
        return max(candidates, key=self._preference, default=None)

    async def _assign(self, zone: Zone, candidate: AssignmentCandidate, leadership_revision: ModRevision) -> None:
        key = keys.shard(zone)
        lease = candidate.record.lease
        compares = [
            Compare(keys.LEADER, leadership_revision),
            Compare(key, 0),
            Compare(keys.node(candidate.node), candidate.mod_revision),
        ]
        put = Put(key, ShardRecord(zone, candidate.node, lease), lease)
        try:
            response = await self._queue.commit(Transaction(compares, [put]), TransactionPriority.LEASE, once=True)
        except StoreError as err:
            log.debug("assignment of shard %s to %s failed: %s", zone, candidate.node, err)
            return
        if not response.conflicts:
            log.info("assignment: shard %s to %s, token %d", zone, candidate.node, response.revision)

    def _select_candidate(self, zone: Zone) -> AssignmentCandidate | None:
        """Return the best candidate for a shard, or None while a better one may still join.

        On small machines the controller with the fewest roles is preferred: the heartbeats of a zone take most of such
        a machine's CPU, and the leader also runs scheduling cycles and scaling.
        """
        best = max(
            self._candidates(zone),
            key=lambda candidate: (not candidate.damped, self._preference(candidate)),
            default=None,
        )
        if best is None:
            return None
        if not best.in_zone and self.led_for_s() < JOIN_GRACE_S:
            return None  # a controller in the zone may be about to join
        if best.node == self._controller_lease.node_id and self._must_wait_for_peers(zone):
            return None
        return best

    def _candidates(self, zone: Zone) -> Iterator[AssignmentCandidate]:
        now = self._clock.monotonic()
        for name, (record, mod_revision) in self._watch_cache.list_records(keys.NODES, NodeRecord).items():
            candidate = self._to_candidate(zone, NodeId(name), record, mod_revision, now)
            if candidate is not None:
                yield candidate

    def _preference(self, candidate: AssignmentCandidate) -> tuple[bool, bool, int, int, NodeId]:
        if self._separate_leader:
            return candidate.preference()
        return candidate.preference_if_leader(self._controller_lease.node_id)

    def _must_wait_for_peers(self, zone: Zone) -> bool:
        """Return whether a controller that might be preferred to this one may be about to join or to send gossip.

        A leader that is assigned a shard keeps both roles. So it waits for all configured controllers while no worker
        needs an owner, because waiting then costs nothing; otherwise it waits only for those that have joined.
        """
        if not self._separate_leader:
            return False
        if self.led_for_s() < FIRST_GOSSIP_GRACE_S and self._has_member_without_gossip(zone):
            return True
        return self.led_for_s() < START_GRACE_S and self._has_missing_peer(zone) and not self._has_workers(zone)

    def _has_member_without_gossip(self, zone: Zone) -> bool:
        """Return whether another controller of the zone has joined without any gossip from it being received yet."""
        return any(
            record.zone == zone and node != self._controller_lease.node_id and node not in self._peers
            for node, record in self._controller_lease.members().items()
        )

    def _has_missing_peer(self, zone: Zone) -> bool:
        """Return whether a configured controller that might be preferred has not joined or has never sent gossip."""
        node_id = self._controller_lease.node_id
        is_in_zone = self._controller_zones[node_id] == zone
        members = self._controller_lease.members()
        return any(
            node not in members or node not in self._peers
            for node, controller_zone in self._controller_zones.items()
            if node != node_id and (controller_zone == zone or not is_in_zone)
        )

    def _to_candidate(
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
        owned_shards = sum(self._controller_lease.shard_owner(other) == node for other in self._zones)
        return AssignmentCandidate(
            node,
            record,
            mod_revision,
            in_zone=record.zone == zone,
            healthy=is_self or (gossip is not None and now - gossip.received_at < HEALTHY_GOSSIP_AGE_S),
            role_count=owned_shards + is_self,
            worker_count=0 if gossip is None else gossip.message.worker_counts.get(zone, 0),
            damped=self._is_damped(node),
        )
