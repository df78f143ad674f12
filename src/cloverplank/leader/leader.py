"""The leader: allocates tasks to zones under quotas, assigns shards, and scales the cluster out and in."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from msgspec import Struct

from cloverplank.autoscaling.cloud import CloudClient
from cloverplank.autoscaling.headroom_reader import HeadroomReader
from cloverplank.basic_types import Clock, Zone
from cloverplank.kvstore.controller_lease import ControllerLease
from cloverplank.kvstore.transaction_queue import TransactionQueue
from cloverplank.kvstore.watch_cache import WatchCache
from cloverplank.leader.cluster_capacity import ClusterCapacity
from cloverplank.leader.cluster_machines import ClusterMachines
from cloverplank.leader.headroom_exemptions import HeadroomExemptions
from cloverplank.leader.headroom_publisher import HeadroomPublisher
from cloverplank.leader.machine_list import MachineListReader
from cloverplank.leader.on_demand_allowance import OnDemandAllowance
from cloverplank.leader.pool_backoff import PoolBackoff
from cloverplank.leader.scale_in import ScaleIn
from cloverplank.leader.scale_out import ScaleOut, ScaleOutLimits
from cloverplank.leader.shard_assignment import ShardAssigner
from cloverplank.leader.transactions import LeaderTransactions
from cloverplank.leader.zone_allocation import ClusterQuotas, ZoneAllocator
from cloverplank.scheduling.failure_history import FailureHistory
from cloverplank.scheduling.headroom import HeadroomEstimator
from cloverplank.scheduling.objectives import ServiceLevelObjectives
from cloverplank.scheduling.queue import QueuedJob
from cloverplank.scheduling.quotas import team_quotas
from cloverplank.scheduling.turnover import ArrayTurnover
from cloverplank.settings.operator import OperatorSettings
from cloverplank.settings.platform import PlatformSettings
from cloverplank.zones.recovery_plan import RecoveryPlan

log = logging.getLogger(__name__)

MACHINE_LIST_INTERVAL_S = 2.0
SCALING_INTERVAL_S = 0.5
HEADROOM_INTERVAL_S = 1.0


class LeaderDependencies(Struct, frozen=True):
    """The components of the controller that the leader uses."""

    clock: Clock
    controller_lease: ControllerLease
    watch_cache: WatchCache
    queue: TransactionQueue
    machines: ClusterMachines
    cloud: CloudClient
    headroom_estimator: HeadroomEstimator
    headroom_reader: HeadroomReader
    turnover: ArrayTurnover
    failures: FailureHistory
    objectives: ServiceLevelObjectives
    shard_assigner: ShardAssigner


class Leader:
    """Runs on every controller; its components act only while its lease makes this controller the leader."""

    def __init__(
        self, platform: PlatformSettings, operator: OperatorSettings, dependencies: LeaderDependencies
    ) -> None:
        facts = platform.facts
        transactions = LeaderTransactions(
            dependencies.controller_lease,
            dependencies.watch_cache,
            dependencies.queue,
            max_changes=facts.state.lowest().txn_ops,
        )
        pool_backoff = PoolBackoff(dependencies.clock, operator.refused_pause_s)
        self.shard_assigner = dependencies.shard_assigner
        self._zone_allocator = _build_zone_allocator(platform, operator, dependencies, pool_backoff)
        self._scale_out = ScaleOut(
            ScaleOutLimits(int(operator.rent_limit), facts.cloud.list_lag_s),
            clock=dependencies.clock,
            controller_lease=dependencies.controller_lease,
            watch_cache=dependencies.watch_cache,
            cloud=dependencies.cloud,
            machines=dependencies.machines,
            transactions=transactions,
            pool_backoff=pool_backoff,
            on_demand_allowance=_build_on_demand_allowance(platform, operator, dependencies),
            unmet_demands=lambda: self._zone_allocator.unmet_demands,
        )
        self._scale_in = ScaleIn(
            operator,
            clock=dependencies.clock,
            controller_lease=dependencies.controller_lease,
            store=dependencies.watch_cache.store,
            cloud=dependencies.cloud,
            machines=dependencies.machines,
            transactions=transactions,
            needed_machines=lambda: self._zone_allocator.needed_machines,
            led_for_s=dependencies.shard_assigner.led_for_s,
        )
        self._headroom_publisher = HeadroomPublisher(
            clock=dependencies.clock,
            controller_lease=dependencies.controller_lease,
            watch_cache=dependencies.watch_cache,
            transactions=transactions,
            estimator=dependencies.headroom_estimator,
            reader=dependencies.headroom_reader,
            exemptions=HeadroomExemptions(
                [Zone(zone) for zone in facts.zones],
                int(operator.rent_limit),
                clock=dependencies.clock,
                store=dependencies.watch_cache.store,
                machines=dependencies.machines,
                pool_backoff=pool_backoff,
                turnover=dependencies.turnover,
                blocked_jobs=lambda: self._zone_allocator.blocked_by_headroom,
            ),
            value_bytes=facts.state.lowest().value_bytes(),
        )
        self._machine_list = MachineListReader(
            controller_lease=dependencies.controller_lease,
            watch_cache=dependencies.watch_cache,
            cloud=dependencies.cloud,
            registry=dependencies.machines.registry,
            list_lag_s=facts.cloud.list_lag_s,
        )

    def run_cycle(self, queued_jobs: list[QueuedJob], plan: RecoveryPlan) -> None:
        """Allocate the tasks of the queued jobs to zones, and record the tasks that lack capacity as unmet demands."""
        self._zone_allocator.run_cycle(queued_jobs, plan)

    async def run(self) -> None:
        """Poll the machine list, scale the cluster and commit the headroom, indefinitely.

        They run concurrently, because the list of thousands of machines takes many pages.
        """
        await asyncio.gather(
            _run_periodically(self._machine_list.poll, MACHINE_LIST_INTERVAL_S, "reading the machine list"),
            _run_periodically(self._scale, SCALING_INTERVAL_S, "scaling"),
            _run_periodically(self._headroom_publisher.publish, HEADROOM_INTERVAL_S, "committing the headroom"),
        )

    async def _scale(self) -> None:
        await self._scale_out.scale_out()
        await self._scale_in.scale_in()


async def _run_periodically(work: Callable[[], Awaitable[None]], interval_s: float, description: str) -> None:
    """Do the work indefinitely, `interval_s` seconds apart; a failure is logged and does not end the loop."""
    while True:
        try:
            await work()
        except Exception:
            # This is the outermost level of the loop, which must survive any fault.
            log.exception("%s failed; trying again in %.1f s", description, interval_s)
        await asyncio.sleep(interval_s)


def _build_zone_allocator(
    platform: PlatformSettings, operator: OperatorSettings, dependencies: LeaderDependencies, pool_backoff: PoolBackoff
) -> ZoneAllocator:
    facts = platform.facts
    cluster_quotas = ClusterQuotas(
        zone_weights={Zone(zone): operator.weight(zone) for zone in facts.zones},
        team_quotas=team_quotas(facts.teams),
    )
    return ZoneAllocator(
        cluster_quotas,
        clock=dependencies.clock,
        controller_lease=dependencies.controller_lease,
        watch_cache=dependencies.watch_cache,
        queue=dependencies.queue,
        headroom_estimator=dependencies.headroom_estimator,
        headroom_reader=dependencies.headroom_reader,
        capacity=ClusterCapacity(
            clock=dependencies.clock,
            watch_cache=dependencies.watch_cache,
            machines=dependencies.machines,
            failures=dependencies.failures,
        ),
        pool_backoff=pool_backoff,
    )


def _build_on_demand_allowance(
    platform: PlatformSettings, operator: OperatorSettings, dependencies: LeaderDependencies
) -> OnDemandAllowance:
    return OnDemandAllowance(
        [Zone(zone) for zone in platform.facts.zones],
        operator.trusted_capacity,
        clock=dependencies.clock,
        watch_cache=dependencies.watch_cache,
        machines=dependencies.machines,
        objectives=dependencies.objectives,
    )
