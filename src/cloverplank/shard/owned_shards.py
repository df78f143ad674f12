"""Shards assigned to this controller: acquires them, renews their tokens, and releases them."""

from __future__ import annotations

import asyncio
import logging
from collections import ChainMap
from collections.abc import Callable
from itertools import islice

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
from cloverplank.scheduling.failure_history import FailureHistory
from cloverplank.shard.former_owners import FormerOwners
from cloverplank.shard.machine import Health, Machine
from cloverplank.shard.shard import Shard
from cloverplank.shard.shard_types import ShardLimits
from cloverplank.wire.gossip import FailureGossip, MachineGossip
from cloverplank.wire.kvstore import Compare, Put, Transaction

log = logging.getLogger(__name__)

MAX_GOSSIP_FAILURES = 500  # keeps a message well below the maximum body size
MAX_GOSSIP_IMAGES = 12  # the most recently used images of each machine are gossiped
DECLINE_ASSIGNMENTS_S = 20.0  # a controller that received no heartbeats declines assignments for this long
REINSTATE_DELAY_S = 0.1  # a supersession is undone only after contact with the store that is later by this much
FAILOVER_ISOLATION_TIMEOUT_S = 8.0  # a new owner that receives no heartbeat for this long releases its shard
# Timeout of an owner that has received heartbeats: the longer of a fixed time and a number of heartbeat intervals.
MIN_ISOLATION_TIMEOUT_S = 3.5
ISOLATION_TIMEOUT_HEARTBEATS = 1.75
MAX_CONCURRENT_FENCES = 24  # workers to which a new token is sent at the same time
MIN_SILENT_MACHINES = 2  # fewer machines may all be silent by chance


class OwnedShards:
    """Acquires and releases shards as assignments in the watch cache change.

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
        failures: FailureHistory,
        limits: ShardLimits,
        make_shard: Callable[[Zone, FencingToken], Shard],
    ) -> None:
        self._zones = zones
        self._clock = clock
        self._controller_lease = controller_lease
        self._watch_cache = watch_cache
        self._queue = queue
        self._registry = registry
        self._failures = failures
        self._limits = limits
        self._make_shard = make_shard
        self.shards: dict[Zone, Shard] = {}
        self.renewed_tokens: dict[Zone, FencingToken] = {}  # tokens of own assignments that were committed again
        self._renewing: set[Zone] = set()  # zones with a renewal whose response has not arrived
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
        """Return the status of the owned shards' machines that is gossiped to peers."""
        now = self._clock.monotonic()
        return [
            _machine_gossip(shard, machine, now)
            for shard in self.shards.values()
            for machine in shard.machines.values()
            if machine.type and (machine.sequence or machine.lost_since is not None)
        ]

    def failure_gossip(self) -> list[FailureGossip]:
        """Return the failures of open jobs on the owned shards' machines that are gossiped to peers."""
        machines = ChainMap(*(shard.machines for shard in self.shards.values()))
        return list(islice(self._failures.gossip(self._watch_cache.store.jobs, machines), MAX_GOSSIP_FAILURES))

    def update(self) -> None:
        """Acquire newly assigned shards, and release those that are no longer assigned."""
        for zone in self._zones:
            token = self._controller_lease.assigned_token(zone)
            shard = self.shards.get(zone)
            if shard is not None and token != shard.ownership.token:
                if token is not None and zone in self._renewing:
                    continue  # the response tells whether this is the renewal
                if token is not None and self.renewed_tokens.get(zone) == token:
                    shard.ownership.renew_token(token)
                else:
                    log.info("shard %s: released, token was %d", zone, shard.ownership.token)
                    shard.close()
                    del self.shards[zone]
                    shard = None
            # Without all that former owners committed, the tasks that they placed would appear not to be placed.
            if shard is None and token is not None and self._watch_cache.revision >= token:
                self._acquire(zone, token)

    def check_former_owners(self) -> None:
        """Mark the former owners of a shard as ended once none of them responds to workers any longer."""
        for zone, shard in self.shards.items():
            if not shard.ownership.former_owners_ended and self._former_owners.have_ended(zone):
                shard.ownership.mark_former_owners_ended()

    def _acquire(self, zone: Zone, token: FencingToken) -> None:
        log.info("shard %s: acquired, token %d", zone, token)
        shard = self.shards[zone] = self._make_shard(zone, token)
        for entry in self._registry.entries.values():
            if entry.zone == zone and entry.state != STATE_REQUESTED:
                shard.add_known_machine(entry.id, entry.addr, entry.type, spot=entry.spot)
        self.tasks.spawn(self._fence_workers(shard))

    async def _fence_workers(self, shard: Shard) -> None:
        """Send the shard's token to every reachable worker, a limited number at a time."""
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_FENCES)

        async def fence(machine: Machine) -> None:
            async with semaphore:
                if not machine.fenced and not shard.ownership.superseded:
                    await shard.task_reconciler.fence(machine)

        # Machines with the newest contact come first, because each machine that is down takes a full time limit.
        last_contact_times = {entry.id: entry.last_contact_at or 0.0 for entry in self._registry.entries.values()}
        machines = sorted(shard.machines.values(), key=lambda machine: -last_contact_times.get(machine.id, 0.0))
        await asyncio.gather(*(fence(machine) for machine in machines), return_exceptions=True)

    async def reconcile(self, shard: Shard, *, peers_are_healthy: bool) -> None:
        """Reinstate a shard, renew its token if requested, or release the shard if it receives no heartbeats.

        `peers_are_healthy`: whether another controller could own the shard.
        """
        if self._controller_lease.refresh_state() is not LeaseState.ACTIVE:
            return
        ownership = shard.ownership
        if (
            ownership.superseded
            and self._controller_lease.last_contact_at() > ownership.superseded_at + REINSTATE_DELAY_S
        ):
            if self._controller_lease.assigned_token(shard.zone) == ownership.token:
                ownership.reinstate()
        elif ownership.token_renewal_wanted:
            ownership.token_renewal_wanted = False
            await self._renew_token(shard)
        elif peers_are_healthy:
            await self._release_if_isolated(shard)

    async def _renew_token(self, shard: Shard) -> None:
        """Commit the assignment again, so that it gets a new revision, which is the new token."""
        lease = self._controller_lease.lease
        assert lease is not None
        key = keys.shard(shard.zone)
        record = ShardRecord(shard.zone, self._controller_lease.node_id, lease)
        transaction = Transaction([Compare(key, shard.ownership.token)], [Put(key, record, lease)])
        self._renewing.add(shard.zone)
        try:
            result = await self._queue.commit(transaction, TransactionPriority.LEASE)
        except (TransactionRejectedError, QueueFullError):
            return
        finally:
            self._renewing.discard(shard.zone)
        if not result.conflicts:
            self.renewed_tokens[shard.zone] = FencingToken(result.revision)
        self.update()

    async def _release_if_isolated(self, shard: Shard) -> None:
        """Release a shard whose machines have all been silent for longer than the isolation timeout."""
        now = self._clock.monotonic()
        owned_since, last_heartbeat_at = shard.ownership.since, shard.state.last_heartbeat_at
        silent_s = now - max(last_heartbeat_at, owned_since)
        # Workers find a new owner only after the former one has stopped responding to them.
        timeout_s = FAILOVER_ISOLATION_TIMEOUT_S
        if last_heartbeat_at > owned_since:
            timeout_s = max(MIN_ISOLATION_TIMEOUT_S, ISOLATION_TIMEOUT_HEARTBEATS * self._limits.heartbeat_interval_s)
        expected = sum(1 for machine in shard.machines.values() if machine.health in (Health.UP, Health.SUSPECT))
        if expected < MIN_SILENT_MACHINES or silent_s <= timeout_s:
            return
        log.info("shard %s: no heartbeat from %d machines for %.1f s: releasing it", shard.zone, expected, silent_s)
        self._controller_lease.declines_assignments_until = MonotonicTime(now + DECLINE_ASSIGNMENTS_S)
        await self._controller_lease.release_key(keys.shard(shard.zone))


def _machine_gossip(shard: Shard, machine: Machine, now: MonotonicTime) -> MachineGossip:
    health = machine.health.value  # as encoded in gossip
    if machine.lost_since is not None:
        health = HEALTH_LOST
    elif shard.state.failures.is_faulty(machine.id):
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
