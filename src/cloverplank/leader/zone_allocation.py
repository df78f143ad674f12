"""Zone allocation: the number of tasks that each job may run in each zone, under the teams' quotas."""

from __future__ import annotations

import logging
from collections.abc import Callable

from msgspec import Struct, field

from cloverplank.autoscaling.headroom_reader import HeadroomReader
from cloverplank.basic_types import Clock, JobId, MachineId, Zone
from cloverplank.jobs import records
from cloverplank.jobs.records import Phase
from cloverplank.jobs.store import CachedJob, Decision, PendingChange
from cloverplank.kvstore import keys
from cloverplank.kvstore.controller_lease import ControllerLease
from cloverplank.kvstore.transaction_priority import TransactionPriority
from cloverplank.kvstore.transaction_queue import TransactionQueue
from cloverplank.kvstore.watch_cache import WatchCache
from cloverplank.leader.cluster_capacity import ClusterCapacity
from cloverplank.leader.pool_backoff import PoolBackoff
from cloverplank.scheduling import quotas
from cloverplank.scheduling.cycle_capacity import CycleCapacity
from cloverplank.scheduling.headroom import HeadroomEstimator
from cloverplank.scheduling.queue import QueuedJob
from cloverplank.scheduling.quotas import Quota, UnmetDemand
from cloverplank.wire.kvstore import Compare
from cloverplank.zones.recovery_plan import RecoveryPlan

log = logging.getLogger(__name__)

MAX_BLOCKED_JOBS = 20  # further jobs blocked by the headroom are not noted, since they are exempted one after another


class ClusterQuotas(Struct, frozen=True):
    """The weight of each zone and the quota of each team, as configured."""

    zone_weights: dict[Zone, float]
    team_quotas: dict[str, Quota]


class _AllocationCycle(Struct, eq=False):
    """The inputs and the unmet demands of one scheduling cycle."""

    conditions: list[Compare]
    max_tasks: dict[JobId, int]  # how many tasks each job may have within its team's quota
    headroom_jobs: list[QueuedJob]  # as large as the capacity to provision in advance
    capacity: CycleCapacity
    can_scale_out: Callable[[Zone], bool]
    unmet_demands: list[UnmetDemand] = field(default_factory=list)
    blocked_by_headroom: dict[JobId, list[Zone]] = field(default_factory=dict)


class ZoneAllocator:
    """Allocates tasks to zones while this controller leads.

    `unmet_demands`, `blocked_by_headroom` and `needed_machines` are results of the latest cycle: the tasks that lack
    capacity, some of the jobs that lack it only because the headroom is kept, with the zones of their unmet demands,
    and the machines whose capacity is allocated to queued jobs.
    """

    def __init__(
        self,
        cluster_quotas: ClusterQuotas,
        *,
        clock: Clock,
        controller_lease: ControllerLease,
        watch_cache: WatchCache,
        queue: TransactionQueue,
        headroom_estimator: HeadroomEstimator,
        headroom_reader: HeadroomReader,
        capacity: ClusterCapacity,
        pool_backoff: PoolBackoff,
    ) -> None:
        self._zone_weights = cluster_quotas.zone_weights
        self._team_quotas = cluster_quotas.team_quotas
        self._clock = clock
        self._controller_lease = controller_lease
        self._queue = queue
        self._store = watch_cache.store
        self._headroom_estimator = headroom_estimator
        self._headroom_reader = headroom_reader
        self._capacity = capacity
        self._pool_backoff = pool_backoff
        self.unmet_demands: list[UnmetDemand] = []
        self.blocked_by_headroom: dict[JobId, list[Zone]] = {}
        self.needed_machines: set[MachineId] = set()

    def run_cycle(self, queued_jobs: list[QueuedJob], plan: RecoveryPlan) -> None:
        """Allocate the tasks of the queued jobs to zones and stage the changed allocations."""
        mod_revision = self._controller_lease.leadership_revision()
        if mod_revision is None:
            return
        max_tasks = self._max_tasks(queued_jobs)
        headroom = self._headroom_reader.current()
        headroom_jobs = self._headroom_estimator.queued_jobs(self._clock.wall_ms())
        min_cpus = min(
            (job.record.spec.cpus for job in [*headroom_jobs, *queued_jobs] if job.record.missing_count()), default=0.0
        )
        min_cpus = min(min_cpus, headroom.min_cpus())
        cycle = _AllocationCycle(
            conditions=[Compare(keys.LEADER, mod_revision)],
            max_tasks=max_tasks,
            headroom_jobs=headroom_jobs,
            capacity=CycleCapacity(self._capacity.index(plan, min_cpus), headroom, list(self._zone_weights)),
            can_scale_out=lambda zone: not self._pool_backoff.has_paused_pool(zone) and plan.can_scale_out(zone),
        )
        self._allocate_all(queued_jobs, cycle)
        self.unmet_demands = cycle.unmet_demands
        self.blocked_by_headroom = cycle.blocked_by_headroom
        self.needed_machines = {capacity.machine for capacity in cycle.capacity.total if capacity.used}

    def _max_tasks(self, queued_jobs: list[QueuedJob]) -> dict[JobId, int]:
        """Return how many tasks each queued job may have, given what jobs outside the queue still hold."""
        held_outside_queue: dict[str, Quota] = {}
        for view in self._store.jobs.values():
            if view.staged.phase is not Phase.OPEN or self._store.cancelled_by_gossip(view.id):
                spec, held = view.record.spec, view.held()
                before = held_outside_queue.get(spec.team, Quota(0.0, 0.0))
                held_outside_queue[spec.team] = Quota(before.cpus + held * spec.cpus, before.gpus + held * spec.gpus)
        return quotas.task_limits(
            queued_jobs, lambda job: self._store.jobs[job].held(), self._team_quotas, held_outside_queue
        )

    def _allocate_all(self, queued_jobs: list[QueuedJob], cycle: _AllocationCycle) -> None:
        demands_before_headroom: int | None = None
        for queued_job in queued_jobs:
            if demands_before_headroom is None and self._follows_headroom(queued_job):
                demands_before_headroom = len(cycle.unmet_demands)
            if queued_job.record.missing_count() and not queued_job.deferred:
                self._allocate(queued_job, cycle)
        # Provisioning for the headroom takes precedence over that for work beyond guaranteed quotas: otherwise the
        # machines that a backlog of such work needs would come first.
        position = len(cycle.unmet_demands) if demands_before_headroom is None else demands_before_headroom
        cycle.unmet_demands[position:position] = self._headroom_demands(cycle)

    def _follows_headroom(self, queued_job: QueuedJob) -> bool:
        """Return whether machines are provisioned for a job only after those for the headroom."""
        serves = self._headroom_estimator.serves(queued_job.record.spec)
        return not (queued_job.guaranteed or queued_job.overdue or serves)

    def _allocate(self, queued_job: QueuedJob, cycle: _AllocationCycle) -> None:
        record = queued_job.record
        view = self._store.jobs[record.id]
        try:
            split = quotas.split_over_zones(
                queued_job,
                cycle.max_tasks[view.id],
                self._zone_weights,
                cycle.capacity.usable_by(queued_job.record.spec),
                cycle.can_scale_out,
            )
        except Exception:
            # A fault that one job triggers must not block the allocation of all others.
            log.exception("job %s can't be allocated to zones", view.id)
            return
        cycle.capacity.record(record.spec, split.placements)
        cycle.unmet_demands += split.unmet_demands
        if split.unmet_demands and self._is_blocked_by_headroom(queued_job, cycle):
            cycle.blocked_by_headroom[record.id] = [demand.zone for demand in split.unmet_demands]
        if not quotas.record_covers_allocation(record, split.allocation) and not view.has_pending(
            Decision.ALLOCATION, Decision.PLACEMENT
        ):
            self._stage(view, split.allocation, cycle)

    def _is_blocked_by_headroom(self, queued_job: QueuedJob, cycle: _AllocationCycle) -> bool:
        """Return whether a job without capacity has to leave free some that it could use."""
        if len(cycle.blocked_by_headroom) >= MAX_BLOCKED_JOBS or not queued_job.urgent:
            return False  # jobs that are not urgent wait for spot machines
        spec = queued_job.record.spec
        if not cycle.capacity.leaves_headroom_free(spec):
            return False
        needed = queued_job.record.missing_count() if spec.gang else 1
        return any(
            cycle.capacity.total.count_fitting(spec, zone, needed) >= needed
            for zone in self._zone_weights
            if spec.zone in (None, zone)
        )

    def _stage(self, view: CachedJob, allocation: dict[Zone, int], cycle: _AllocationCycle) -> None:
        pending = PendingChange(
            records.allocate(allocation),
            int(TransactionPriority.PLACE),
            self._clock.monotonic(),
            cycle.conditions,
            decision=Decision.ALLOCATION,
        )
        self._queue.stage(view, pending)

    def _headroom_demands(self, cycle: _AllocationCycle) -> list[UnmetDemand]:
        """Return the headroom for which no machine has capacity, given what all jobs use."""
        result: list[UnmetDemand] = []
        for queued_job in cycle.headroom_jobs:
            split = quotas.split_over_zones(
                queued_job, queued_job.record.spec.tasks, self._zone_weights, cycle.capacity.total, cycle.can_scale_out
            )
            result += split.unmet_demands
        return result
