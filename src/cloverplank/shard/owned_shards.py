"""The shards assigned to this controller: acquired with an assignment, renewed under a new token, released."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from cloverplank.autoscaling.registry import HEALTH_FAULTY, HEALTH_LOST, STATE_REQUESTED, MachineRegistry
from cloverplank.background import BackgroundTasks
from cloverplank.basic_types import Clock, FencingToken, MonotonicTime, Zone
from cloverplank.kvstore import keys
from cloverplank.kvstore.controller_lease import ControllerLease, LeaseState
from cloverplank.kvstore.errors import QueueFullError, TransactionRejectedError
from cloverplank.kvstore.transaction_priority import TransactionPriority
from cloverplank.kvstore.transaction_queue import TransactionQueue
from cloverplank.kvstore.watch_cache import WatchCache
from cloverplank.records.cluster import ShardRecord
from cloverplank.shard.former_owners import FormerOwners
from cloverplank.shard.machine import Health, Machine
from cloverplank.shard.shard import Shard
from cloverplank.shard.shard_types import ShardLimits
from cloverplank.wire.gossip import MachineGossip
from cloverplank.wire.kvstore import Compare, Put, Transaction

log = logging.getLogger(__name__)

MAX_GOSSIP_IMAGES = 12  # the most recently used, of each machine
DECLINE_ASSIGNMENTS_S = 20.0  # a controller that heard no workers declines assignments for this long
REINSTATE_DELAY_S = 0.1  # contact with the store must be later than a supersession by this much before it is undone
FAILOVER_PATIENCE_S = 8.0  # a new owner that hears no workers for this long releases its shard
# The same of an owner that has heard workers, in seconds and in heartbeat intervals.
MIN_PATIENCE_S = 3.5
PATIENCE_HEARTBEATS = 1.75
MAX_CONCURRENT_FENCES = 24  # workers that are shown a new token at a time
MIN_SILENT_MACHINES = 2  # fewer can all be silent by chance


class OwnedShards:
    """Follows the assignments in the watch cache.

    `make_shard`: builds the shard of a zone under a token.
    """

    def __init__(
        self,
        zones: list[Zone],
        *,
        clock: Clock,
        controller_lease: ControllerLease,
        watch_cache: WatchCache,
        queue: TransactionQueue,
        registry: MachineRegistry,
        limits: ShardLimits,
        make_shard: Callable[[Zone, FencingToken], Shard],
    ) -> None:
        self._zones = zones
        self._clock = clock
        self._controller_lease = controller_lease
        self._watch_cache = watch_cache
        self._queue = queue
        self._registry = registry
        self._limits = limits
        self._make_shard = make_shard
        self.shards: dict[Zone, Shard] = {}
        self.renewed: dict[Zone, FencingToken] = {}  # tokens of own assignments that were renewed
        self.tasks = BackgroundTasks()
        self._former_owners = FormerOwners(
            zones,
            clock=clock,
            controller_lease=controller_lease,
            watch_cache=watch_cache,
            grace_s=limits.grace_s,
        )
        self.key_changed = self._former_owners.key_changed

    def tokens(self) -> dict[str, int]:
        """Return the fencing token of each owned shard that is not superseded, by zone."""
        return {zone: shard.ownership.token for zone, shard in self.shards.items() if not shard.ownership.superseded}

    def machine_gossip(self) -> list[MachineGossip]:
        """Return what gossip tells peers of the machines of the owned shards."""
        now = self._clock.monotonic()
        return [
            _machine_gossip(shard, machine, now)
            for shard in self.shards.values()
            for machine in shard.machines.values()
            if machine.type and (machine.sequence or machine.lost_since is not None)
        ]

    def update(self) -> None:
        """Acquire shards that were assigned, and release those that are assigned no more."""
        for zone in self._zones:
            token = self._controller_lease.assigned_token(zone)
            shard = self.shards.get(zone)
            if shard is not None and token != shard.ownership.token:
                if token is not None and self.renewed.get(zone) == token:
                    shard.ownership.renew_token(token)
                else:
                    log.info("shard %s: released, token was %d", zone, shard.ownership.token)
                    shard.close()
                    del self.shards[zone]
                    shard = None
            # Without everything that former owners committed, their tasks would look as if nobody had placed them.
            if shard is None and token is not None and self._watch_cache.revision >= token:
                self._acquire(zone, token)

    def watch_former_owners(self) -> None:
        """Find out when no former owner answers workers any more."""
        for zone, shard in self.shards.items():
            if not shard.ownership.former_owners_ended and self._former_owners.have_ended(zone):
                shard.ownership.mark_former_owners_ended()

    def _acquire(self, zone: Zone, token: FencingToken) -> None:
        log.info("shard %s: acquired, token %d", zone, token)
        shard = self.shards[zone] = self._make_shard(zone, token)
        for entry in self._registry.entries.values():
            if entry.zone == zone and entry.state != STATE_REQUESTED:
                shard.adopt(entry.id, entry.addr, entry.type, spot=entry.spot)
        self.tasks.spawn(self._fence_workers(shard))

    async def _fence_workers(self, shard: Shard) -> None:
        """Show the shard's token to every worker that can be reached, a few at a time."""
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_FENCES)

        async def fence(machine: Machine) -> None:
            async with semaphore:
                if not machine.fenced and not shard.ownership.superseded:
                    await shard.task_reconciler.fence(machine)

        # Those heard last come first: machines that are down take a time limit each.
        heard_at = {entry.id: entry.last_contact_at or 0.0 for entry in self._registry.entries.values()}
        machines = sorted(shard.machines.values(), key=lambda machine: -heard_at.get(machine.id, 0.0))
        await asyncio.gather(*(fence(machine) for machine in machines), return_exceptions=True)

    async def reconcile(self, shard: Shard, *, peers_are_healthy: bool) -> None:
        """Reinstate a shard, renew its token where that is wanted, or release it if it hears no workers.

        `peers_are_healthy`: some other controller could own the shard.
        """
        if self._controller_lease.check() is not LeaseState.ACTIVE:
            return
        ownership = shard.ownership
        if ownership.superseded and self._controller_lease.contact_at() > ownership.superseded_at + REINSTATE_DELAY_S:
            if self._controller_lease.assigned_token(shard.zone) == ownership.token:
                ownership.reinstate()
        elif ownership.token_renewal_wanted:
            ownership.token_renewal_wanted = False
            await self._renew_token(shard)
        elif peers_are_healthy:
            await self._release_if_isolated(shard)

    async def _renew_token(self, shard: Shard) -> None:
        """Commit the assignment again, so that it gets a new revision."""
        lease = self._controller_lease.lease
        assert lease is not None
        key = keys.shard(shard.zone)
        record = ShardRecord(shard.zone, self._controller_lease.node_id, lease)
        transaction = Transaction([Compare(key, shard.ownership.token)], [Put(key, record, lease)])
        try:
            result = await self._queue.commit(transaction, TransactionPriority.LEASE)
        except (TransactionRejectedError, QueueFullError):
            return
        if not result.conflicts:
            self.renewed[shard.zone] = FencingToken(result.revision)
            self.update()

    async def _release_if_isolated(self, shard: Shard) -> None:
        """Release a shard whose machines all have been silent for longer than this owner's patience."""
        now = self._clock.monotonic()
        owned_since, last_heartbeat_at = shard.ownership.since, shard.state.last_heartbeat_at
        silent_s = now - max(last_heartbeat_at, owned_since)
        # Workers find a new owner only after the former one has stopped answering them.
        patience_s = FAILOVER_PATIENCE_S
        if last_heartbeat_at > owned_since:
            patience_s = max(MIN_PATIENCE_S, PATIENCE_HEARTBEATS * self._limits.heartbeat_interval_s)
        expected = sum(1 for machine in shard.machines.values() if machine.health in (Health.UP, Health.SUSPECT))
        if expected < MIN_SILENT_MACHINES or silent_s <= patience_s:
            return
        log.info("shard %s: %d machines and not one heartbeat for %.1f s: releasing it", shard.zone, expected, silent_s)
        self._controller_lease.declines_assignments_until = MonotonicTime(now + DECLINE_ASSIGNMENTS_S)
        await self._controller_lease.release_key(keys.shard(shard.zone))


def _machine_gossip(shard: Shard, machine: Machine, now: MonotonicTime) -> MachineGossip:
    health = machine.health.value  # as encoded in gossip
    if machine.lost_since is not None:
        health = HEALTH_LOST
    elif shard.failures.is_faulty(machine):
        health = HEALTH_FAULTY
    return MachineGossip(
        machine.id,
        machine.addr,
        machine.type,
        shard.zone,
        machine.spot,
        health,
        max(0.0, now - machine.last_contact_at),
        None if machine.terminates_at is None else machine.terminates_at - now,
        list(machine.images)[-MAX_GOSSIP_IMAGES:],
    )
