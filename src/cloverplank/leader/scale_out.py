"""Scale out: provisions machines for tasks that lack capacity."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence

import msgspec
from msgspec import Struct

from cloverplank.autoscaling.cloud import CloudClient, CloudUnavailableError, InsufficientCapacityError
from cloverplank.autoscaling.machine_pools import ScaleOutRequest, ScaleOutRules, pool_of, scale_out_requests
from cloverplank.autoscaling.registry import MachineRegistry
from cloverplank.basic_types import MS_PER_SECOND, Clock, MachineId, ModRevision
from cloverplank.kvstore import keys
from cloverplank.kvstore.controller_lease import ControllerLease
from cloverplank.kvstore.watch_cache import WatchCache
from cloverplank.leader.cluster_machines import ClusterMachines
from cloverplank.leader.on_demand_allowance import OnDemandAllowance
from cloverplank.leader.pool_backoff import PoolBackoff
from cloverplank.leader.transactions import LeaderTransactions
from cloverplank.records.machines import ProvisioningRecord
from cloverplank.scheduling.quotas import UnmetDemand
from cloverplank.wire.cloud import ProvisionRequest
from cloverplank.wire.kvstore import Delete, Put

log = logging.getLogger(__name__)

MAX_REQUESTS_PER_CYCLE = 2
NO_RESPONSE_TIMEOUT_MS = 30_000  # a request that gets no response is abandoned after this time
MIN_PROVISIONING_TTL_S = 60.0
PROVISIONING_TTL_LIST_LAGS = 6  # a provisioning record is kept for at least this many lags of the machine list


class ScaleOutLimits(Struct, frozen=True):
    """Limits of scale out.

    `max_machines`: how many machines the cluster may have. `list_lag_s`: by how many seconds the cloud's machine list
    may lag.
    """

    max_machines: int
    list_lag_s: float

    def provisioning_ttl_ms(self) -> float:
        """Return the age in ms beyond which a provisioning record is expired."""
        return MS_PER_SECOND * max(MIN_PROVISIONING_TTL_S, PROVISIONING_TTL_LIST_LAGS * self.list_lag_s)


class ScaleOut:
    """Provisions machines while this controller leads.

    `unmet_demands` returns the unmet demands of the latest scheduling cycle.
    """

    def __init__(
        self,
        limits: ScaleOutLimits,
        *,
        clock: Clock,
        controller_lease: ControllerLease,
        watch_cache: WatchCache,
        cloud: CloudClient,
        machines: ClusterMachines,
        transactions: LeaderTransactions,
        pool_backoff: PoolBackoff,
        on_demand_allowance: OnDemandAllowance,
        unmet_demands: Callable[[], Sequence[UnmetDemand]],
    ) -> None:
        self._limits = limits
        self._clock = clock
        self._controller_lease = controller_lease
        self._watch_cache = watch_cache
        self._cloud = cloud
        self._machines = machines
        self._registry: MachineRegistry = machines.registry
        self._transactions = transactions
        self._pool_backoff = pool_backoff
        self._on_demand_allowance = on_demand_allowance
        self._unmet_demands = unmet_demands
        self._sequence = 0

    async def scale_out(self) -> None:
        """Resume the recorded requests, and provision machines for unmet demands."""
        leadership_revision = self._controller_lease.leadership_revision()
        if leadership_revision is None:
            return
        for name, (provisioning, _) in self._watch_cache.list_records(keys.PROVISIONING, ProvisioningRecord).items():
            await self._resume_request(name, provisioning)
        if not self._unmet_demands():
            return
        for request in self._plan_requests()[:MAX_REQUESTS_PER_CYCLE]:
            if not await self._start_request(request, leadership_revision):
                return

    async def _resume_request(self, name: str, provisioning: ProvisioningRecord) -> None:
        if self._clock.wall_ms() - provisioning.requested_at > self._limits.provisioning_ttl_ms():
            # The request was completed long ago and its machines are in the list: a late copy of its transaction
            # created the record again.
            await self._delete_record(name)
        elif not provisioning.machines:
            await self._send_request(name, provisioning)  # a former leader recorded it, or the cloud did not respond
        elif all(self._is_known(machine) for machine in provisioning.machines):
            await self._delete_record(name)

    def _plan_requests(self) -> list[ScaleOutRequest]:
        unmet_demands = self._unmet_demands()
        rules = ScaleOutRules(
            types=self._machines.types(),
            is_paused=self._pool_backoff.is_paused,
            max_on_demand_tasks=self._max_on_demand_tasks(unmet_demands),
            max_machines=self._limits.max_machines - len(self._registry.entries),
        )
        return scale_out_requests(unmet_demands, rules)

    def _max_on_demand_tasks(self, unmet_demands: Sequence[UnmetDemand]) -> Callable[[UnmetDemand], int]:
        """Return the function that gives how many tasks of a demand may use on-demand machines in place of spot ones.

        The numbers are computed on first use, because the computation iterates over all machines and is not needed
        while there is spot capacity.
        """
        allowed: dict[int, int] | None = None

        def max_tasks(demand: UnmetDemand) -> int:
            nonlocal allowed
            if allowed is None:
                allowed = self._on_demand_allowance.max_tasks(unmet_demands)
            return allowed.get(id(demand), 0)

        return max_tasks

    async def _start_request(self, request: ScaleOutRequest, leadership_revision: ModRevision) -> bool:
        """Record a request and send it; return False if it can't be recorded."""
        self._sequence += 1
        # The leadership's revision makes the name unique among the requests of all leaders.
        name = f"r-{leadership_revision}-{self._sequence}"
        pool = request.pool
        log.info("scale out %s: %d %s in %s, %s", name, request.count, pool.type, pool.zone, pool.purchase_option())
        provisioning = ProvisioningRecord(
            type=pool.type, zone=pool.zone, spot=pool.spot, count=request.count, requested_at=self._clock.wall_ms()
        )
        if not await self._transactions.commit([Put(keys.provisioning(name), provisioning)]):
            return False
        await self._send_request(name, provisioning)
        return True

    def _is_known(self, machine: str) -> bool:
        """Return whether a provisioned machine was listed, has had contact with a shard owner, or is terminated."""
        entry = self._registry.entries.get(MachineId(machine))
        is_terminated = MachineId(machine) in self._registry.terminated
        return is_terminated or (
            entry is not None and (entry.listed_at is not None or entry.last_contact_at is not None)
        )

    async def _send_request(self, name: str, provisioning: ProvisioningRecord) -> None:
        """Send a recorded request to the cloud; its name makes it idempotent."""
        pool = pool_of(provisioning)
        request = ProvisionRequest(
            request=name, type=pool.type, zone=pool.zone, spot=pool.spot, count=provisioning.count
        )
        try:
            machines = await self._cloud.provision(request)
        except InsufficientCapacityError:
            log.info("scale out %s: no capacity for %s in %s, %s", name, pool.type, pool.zone, pool.purchase_option())
            self._pool_backoff.pause(pool)
            await self._delete_record(name)
            return
        except CloudUnavailableError as err:
            log.info("scale out %s: no response: %s", name, err)
            if self._clock.wall_ms() - provisioning.requested_at > NO_RESPONSE_TIMEOUT_MS:
                # If the cloud still executes it, its machines become known by the machine list and heartbeats.
                await self._delete_record(name)
            return
        log.info("scale out %s: provisioned machines %s", name, " ".join(machines))
        if len(machines) < provisioning.count:
            self._pool_backoff.pause(pool)
        for machine in machines:
            self._registry.add_requested(machine, pool)
        if machines:
            completed = msgspec.structs.replace(provisioning, machines=machines)
            await self._transactions.commit([Put(keys.provisioning(name), completed)])
        else:
            await self._delete_record(name)

    async def _delete_record(self, name: str) -> None:
        await self._transactions.commit([Delete(keys.provisioning(name))])
