"""The reconcile loop for leadership, shard assignment, rollouts, zones, handovers and the tokens of owned shards."""

from __future__ import annotations

import asyncio
import logging
import random

from cloverplank.kvstore.controller_lease import ControllerLease
from cloverplank.kvstore.rate_allocation import RateAllocator
from cloverplank.kvstore.watch_cache import WatchCache
from cloverplank.leader.handover import ShardHandover
from cloverplank.leader.shard_assignment import ShardAssigner
from cloverplank.membership.gossip import PeerGossip
from cloverplank.rollout.driver import RolloutDriver
from cloverplank.shard.owned_shards import OwnedShards
from cloverplank.zones.watch import ZoneHealthMonitor

log = logging.getLogger(__name__)

RECONCILE_INTERVAL_S = 0.1
MAX_JITTER_S = 0.05
HEALTHY_PEER_MESSAGE_AGE_S = 3.0  # a peer counts as healthy only if its last message is at most this old


class ReconcileLoop:
    """Periodically compares the committed state with the desired state and reconciles the difference."""

    def __init__(
        self,
        *,
        rng: random.Random,
        controller_lease: ControllerLease,
        watch_cache: WatchCache,
        shard_assigner: ShardAssigner,
        rollout: RolloutDriver,
        zone_health_monitor: ZoneHealthMonitor,
        handover: ShardHandover,
        owned: OwnedShards,
        gossip: PeerGossip,
        rate_allocator: RateAllocator,
    ) -> None:
        self._rng = rng
        self._controller_lease = controller_lease
        self._watch_cache = watch_cache
        self._shard_assigner = shard_assigner
        self._rollout = rollout
        self._zone_health_monitor = zone_health_monitor
        self._handover = handover
        self._owned = owned
        self._gossip = gossip
        self._rate_allocator = rate_allocator

    async def run(self) -> None:
        """Reconcile periodically until the task is cancelled."""
        while True:
            try:
                if self._watch_cache.loaded:
                    await self._reconcile()
                self._rate_allocator.update()
            except Exception:  # a fault in one part must not end the loop
                log.exception("reconciling failed, retrying in the next interval")
            await asyncio.sleep(RECONCILE_INTERVAL_S + MAX_JITTER_S * self._rng.random())

    async def _reconcile(self) -> None:
        await self._controller_lease.campaign()
        await self._shard_assigner.assign_shards()
        await self._rollout.reconcile()
        await self._zone_health_monitor.reconcile()
        await self._handover.reconcile()
        for shard in list(self._owned.shards.values()):
            await self._owned.reconcile(shard, peers_are_healthy=self._peers_are_healthy())

    def _peers_are_healthy(self) -> bool:
        messages = self._gossip.all_latest(HEALTHY_PEER_MESSAGE_AGE_S).values()
        return any(message.store_available and not message.declines_assignments for message in messages)
