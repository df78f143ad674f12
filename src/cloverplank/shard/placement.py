"""Placement within a shard: assigns tasks that the leader allocated to the shard's zone to machines."""

from __future__ import annotations

import logging
from collections.abc import Callable, Collection

from cloverplank.basic_types import NEVER, MachineId, MonotonicTime
from cloverplank.jobs import records
from cloverplank.jobs.dependencies import RANKS
from cloverplank.jobs.store import CachedJob, Decision
from cloverplank.kvstore.transaction_priority import TransactionPriority
from cloverplank.records.zones import ZoneHealth
from cloverplank.scheduling.capacity import CapacityIndex, FreeCapacity, fit_count
from cloverplank.scheduling.committed_headroom import CommittedHeadroom
from cloverplank.scheduling.cycle_capacity import CycleCapacity
from cloverplank.scheduling.queue import QueuedJob
from cloverplank.shard.capacity import ShardCapacity
from cloverplank.shard.preemption import Preemption, TurnoverRate, UnplacedTasks
from cloverplank.shard.record_changes import RecordChanges
from cloverplank.shard.recovery_throttle import RecoveryThrottle
from cloverplank.shard.shard_types import CHECKPOINT_MARGIN_S, refs_of_run
from cloverplank.shard.state import ShardState
from cloverplank.shard.task_stops import TaskStops
from cloverplank.shard.waiting_jobs import WaitingJobs, WaitReason

log = logging.getLogger(__name__)

# Minimum time between cycles that place arrays that are not urgent, for each machine in the shard. With hundreds of
# machines, tasks end all the time, and a transaction for every single one would delay those of urgent jobs.
ARRAYS_INTERVAL_PER_MACHINE_S = 0.002
MAX_ARRAYS_INTERVAL_S = 0.5
MAX_PLACED_PER_CYCLE = 400  # tasks of each job


class PlacementCycle:
    """Places the jobs of one shard in each scheduling cycle."""

    def __init__(
        self,
        state: ShardState,
        *,
        changes: RecordChanges,
        capacity: ShardCapacity,
        stops: TaskStops,
        turnover: TurnoverRate,
    ) -> None:
        self._state = state
        self._changes = changes
        self._capacity = capacity
        self._stops = stops
        self._turnover = turnover
        self._throttle: RecoveryThrottle | None = None  # set while the zone is recovering
        self._arrays_placed_at = NEVER
        self._waiting = WaitingJobs(state.zone, state.clock)
        self.replicas_lack_capacity = False  # as of the last cycle

    def run(self, queued_jobs: list[QueuedJob], headroom: CommittedHeadroom) -> None:
        """Place tasks that the leader allocated to this zone, in order, and preempt for those that lack capacity."""
        state = self._state
        jobs = self._jobs_to_place(queued_jobs, state.clock.monotonic())
        self.replicas_lack_capacity = False
        is_recovering = state.plan.health(state.zone) is ZoneHealth.RECOVERING
        self._throttle = RecoveryThrottle(state) if is_recovering else None
        if not jobs:
            return  # true of most cycles, which then do not index the machines
        min_cpus = min(queued_job.record.spec.cpus for queued_job, _ in jobs)
        total = self._capacity.index(min(min_cpus, headroom.min_cpus()))
        capacity = CycleCapacity(total, headroom, [state.zone])
        unplaced: list[UnplacedTasks] = []
        for queued_job, view in jobs:
            try:
                count = self._place_job(view, queued_job, capacity)
            except Exception:  # a software fault that one job triggers must not block the others
                log.exception("placement of job %s in zone %s failed", view.id, state.zone)
                continue
            if count > 0:
                unplaced.append(UnplacedTasks(queued_job, count))
        self.replicas_lack_capacity = any(tasks.queued_job.record.spec.service for tasks in unplaced)
        preemption = Preemption(state, queued_jobs, capacity=self._capacity, stops=self._stops, turnover=self._turnover)
        preemption.run(unplaced, state.starts_at_once)

    def _jobs_to_place(self, queued_jobs: list[QueuedJob], now: MonotonicTime) -> list[tuple[QueuedJob, CachedJob]]:
        """Return the jobs with more tasks allocated to this zone than placed in it."""
        state = self._state
        interval_s = min(MAX_ARRAYS_INTERVAL_S, ARRAYS_INTERVAL_PER_MACHINE_S * len(state.machines))
        with_arrays = now - self._arrays_placed_at >= interval_s
        if with_arrays:
            self._arrays_placed_at = now
            state.running_arrays = sum(
                1
                for queued_job in queued_jobs
                if not queued_job.record.spec.service and queued_job.record.placed(state.zone)
            )
        jobs: list[tuple[QueuedJob, CachedJob]] = []
        for queued_job in queued_jobs:
            view = state.store.get(queued_job.record.id)
            if view is None or not view.staged.missing_count():
                continue
            if not with_arrays and not view.record.spec.service and queued_job.rank > RANKS["urgent"]:
                continue
            queued_job.record = view.staged  # the leader may have allocated tasks in this same cycle
            if queued_job.deferred:
                continue
            if queued_job.record.allocation.get(state.zone, 0) > queued_job.record.placed(state.zone):
                jobs.append((queued_job, view))
        return jobs

    def _place_job(self, view: CachedJob, queued_job: QueuedJob, capacity: CycleCapacity) -> int:
        """Place as many tasks of a job as fit; return how many lack capacity."""
        zone = self._state.zone
        record, spec = queued_job.record, queued_job.record.spec
        wanted = min(record.allocation.get(zone, 0) - record.placed(zone), record.missing_count())
        if wanted <= 0:
            return 0
        obstacle = self._obstacle(view, record, wanted)
        if obstacle is not None:
            self._record_wait(record, wanted, lambda: obstacle)
            return 0
        max_starts = wanted if self._throttle is None else self._throttle.allowed_starts(wanted, gang=spec.gang)
        if max_starts <= 0:
            self._record_wait(record, wanted, lambda: WaitReason.ZONE_RECOVERING)
            return wanted
        placed = self._place_tasks(view, queued_job, capacity, max_starts)
        if placed:
            self._waiting.remove(record.id)
        else:
            self._record_wait(record, wanted, lambda: self._capacity_wait_reason(queued_job, capacity))
        return wanted - placed

    def _obstacle(self, view: CachedJob, record: records.JobRecord, wanted: int) -> WaitReason | None:
        """Return why no task of a job may be placed in this cycle, whatever the capacity, or None."""
        if self._state.failures.is_backing_off(record.id):
            return WaitReason.BACKING_OFF
        if view.has_pending(Decision.PLACEMENT):
            return WaitReason.PLACEMENT_PENDING
        if record.spec.gang and (record.runs or wanted < record.missing_count()):
            self._stop_gang(view)  # the remaining tasks are stopped before the gang starts again as a whole
            return WaitReason.GANG_STOPPING
        if self._state.limits.size_limits.remaining_runs(record) <= 0:
            return WaitReason.RECORD_FULL  # the job continues as tasks end
        return None

    def _place_tasks(self, view: CachedJob, queued_job: QueuedJob, capacity: CycleCapacity, max_starts: int) -> int:
        """Stage the placement of as many tasks of a job as fit, at most `max_starts`; return how many are placed."""
        zone = self._state.zone
        record, spec = queued_job.record, queued_job.record.spec
        usable = capacity.usable_by(spec)
        if spec.gang and usable.count_fitting(spec, zone, max_starts, urgent=queued_job.urgent) < max_starts:
            return 0
        max_placed = max_starts if spec.gang else min(max_starts, MAX_PLACED_PER_CYCLE)
        placements = self._allocate(queued_job, usable, max_placed)
        max_runs = self._state.limits.size_limits.remaining_runs(record)
        if len(placements) > max_runs and not spec.gang:
            # Keep the largest runs: a record above the size limit would be rejected as a whole again and again.
            placements = sorted(placements, key=lambda placement: -placement.count)[:max_runs]
        capacity.record(spec, placements)
        return self._stage(view, queued_job, placements) if placements else 0

    def _allocate(self, queued_job: QueuedJob, usable: CapacityIndex, max_tasks: int) -> list[records.Placement]:
        """Allocate capacity for up to `max_tasks` tasks, last on machines on which the job failed before."""
        record, zone = queued_job.record, self._state.zone
        suspected = self._state.failures.suspected_machines(record.id)
        allowed = self._machine_filter(record.spec.image, suspected)
        placements = usable.fill(record, zone, max_tasks, urgent=queued_job.urgent, allowed=allowed)
        if suspected:
            max_tasks -= sum(placement.count for placement in placements)
            allowed = self._machine_filter(record.spec.image, ())
            placements += usable.fill(record, zone, max_tasks, urgent=queued_job.urgent, allowed=allowed)
        return placements

    def _record_wait(self, record: records.JobRecord, tasks: int, reason: Callable[[], WaitReason]) -> None:
        """Record that tasks of a job are not placed; `reason` is called only if the wait is to be logged."""
        if self._waiting.record(record.id):
            self._waiting.log_wait(record.id, tasks, reason())

    def _capacity_wait_reason(self, queued_job: QueuedJob, capacity: CycleCapacity) -> WaitReason:
        """Return why a job found no capacity in this cycle."""
        spec = queued_job.record.spec
        usable = capacity.usable_by(spec)
        avoided = [usable.by_name.get(name) for name in usable.avoided_machines(spec)]
        if any(machine is not None and fit_count(spec, machine) > 0 for machine in avoided):
            return WaitReason.FAILED_MACHINES
        if capacity.total.count_fitting(spec, self._state.zone, 1, urgent=queued_job.urgent):
            return WaitReason.HEADROOM if self._throttle is None else WaitReason.ZONE_RECOVERING
        return WaitReason.NO_CAPACITY

    def _stage(self, view: CachedJob, queued_job: QueuedJob, placements: list[records.Placement]) -> int:
        """Stage the placements of a job, and return how many tasks they place."""
        record = queued_job.record
        count = sum(placement.count for placement in placements)
        if self._throttle is not None:
            self._throttle.record_starts(count)
        assignments = " ".join(f"{placement.machine}x{placement.count}" for placement in placements)
        log.debug("placement: job %s: %s", record.id, assignments)
        change = records.place(placements, record.next_attempt)
        self._changes.stage(view, change, TransactionPriority.PLACE, decision=Decision.PLACEMENT)
        return count

    def _machine_filter(self, image: str, excluded: Collection[MachineId]) -> Callable[[FreeCapacity], bool] | None:
        """Return a filter for machines that are not excluded and may start the image, or None if all may be used."""
        throttle = self._throttle
        if throttle is not None:
            return lambda capacity: capacity.machine not in excluded and throttle.may_use(capacity, image)
        return (lambda capacity: capacity.machine not in excluded) if excluded else None

    def _stop_gang(self, view: CachedJob) -> None:
        """Stop the remaining tasks of a gang that lost a member, after a checkpoint."""
        for run in view.record.runs:
            machine = self._state.machines.get(MachineId(run.machine))
            if machine is not None:
                grace_s = view.record.spec.save_s + CHECKPOINT_MARGIN_S
                for ref in refs_of_run(view.record, run):
                    self._stops.stop(ref, machine, grace_s=grace_s, reason="gang lost a member")
