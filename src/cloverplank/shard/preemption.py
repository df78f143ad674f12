"""Preemption: stops tasks of some jobs so that tasks of others can be placed."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from cloverplank.basic_types import Clock, JobId, MachineId, TaskRef
from cloverplank.jobs.records import JobRecord, Phase
from cloverplank.scheduling.capacity import FreeCapacity, fit_count, matches_constraints
from cloverplank.scheduling.queue import QueuedJob, is_protected
from cloverplank.shard.capacity import ShardCapacity
from cloverplank.shard.machine import Machine
from cloverplank.shard.shard_types import CHECKPOINT_MARGIN_S, TaskState
from cloverplank.shard.state import ShardState
from cloverplank.shard.task_stops import TaskStops
from cloverplank.wire.users import JobSpec

PENDING_STOP_TTL_S = 15.0  # capacity that an older stop request should free is no longer expected
IMMINENT_CAPACITY_S = 1.0  # jobs wait for capacity that ending array tasks will free within this time
TURNOVER_WINDOW_S = 5
PREEMPTIBLE_STATES = (TaskState.RUNNING, TaskState.PULLING)


class TurnoverRate:
    """Rate at which ending array tasks free cpus, in cpus per second, averaged over the last seconds.

    With hundreds of machines, tasks end all the time. Preempting others for capacity that is about to become free
    anyway only loses their work.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._freed: dict[int, float] = {}  # cpus by second of the clock

    def record_freed(self, cpus: float) -> None:
        """Record that a task of an array has ended."""
        second = int(self._clock.monotonic())
        self._freed[second] = self._freed.get(second, 0.0) + cpus
        if len(self._freed) > 2 * TURNOVER_WINDOW_S:
            self._freed = {at: amount for at, amount in self._freed.items() if at >= second - TURNOVER_WINDOW_S}

    def rate(self) -> float:
        """Return the cpus freed per second, averaged over the last whole seconds."""
        now = int(self._clock.monotonic())
        in_window = (amount for at, amount in self._freed.items() if now - TURNOVER_WINDOW_S <= at < now)
        return sum(in_window) / TURNOVER_WINDOW_S


class UnplacedTasks(Struct, eq=False):
    """Tasks of a job for which no machine has capacity."""

    queued_job: QueuedJob
    count: int


class Victim(Struct, eq=False):
    """A task that may be preempted."""

    ref: TaskRef
    machine: Machine
    record: JobRecord
    guaranteed: bool
    rank: int


class Resources(Struct):
    """Amounts of the resources that tasks need."""

    cpus: float = 0.0
    gpus: float = 0.0
    memory_gb: float = 0.0

    def add(self, spec: JobSpec, tasks: int) -> None:
        """Add the needs of the given number of tasks; a negative number subtracts."""
        self.cpus += tasks * spec.cpus
        self.gpus += tasks * spec.gpus
        self.memory_gb += tasks * spec.memory_gb

    def copy(self) -> Resources:
        """Return an independent copy."""
        return Resources(self.cpus, self.gpus, self.memory_gb)


class Preemption:
    """Preempts tasks in one scheduling cycle.

    A job preempts tasks of lower rank; within its team's guaranteed quota, also tasks of other teams beyond theirs.
    """

    def __init__(
        self,
        state: ShardState,
        queued_jobs: list[QueuedJob],
        *,
        capacity: ShardCapacity,
        stops: TaskStops,
        turnover: TurnoverRate,
    ) -> None:
        self._state = state
        self._capacity = capacity
        self._stops = stops
        self._turnover = turnover
        running = [
            queued_job
            for queued_job in queued_jobs
            if not queued_job.record.spec.service and queued_job.record.placed(state.zone)
        ]
        self._lowest_rank = max((queued_job.rank for queued_job in running), default=-1)
        self._teams_above_quota = {queued_job.record.spec.team for queued_job in running if not queued_job.guaranteed}
        self._queued_jobs = {queued_job.record.id: queued_job for queued_job in queued_jobs}
        self._victims: dict[MachineId, list[Victim]] = {}
        self._pending: dict[MachineId, Resources] = {}  # resources that stop requests will free

    def run(self, unplaced: list[UnplacedTasks], starts_at_once: Callable[[JobSpec], bool]) -> None:
        """Preempt for tasks without capacity, in order.

        `starts_at_once`: returns whether a job should not wait for capacity that ending tasks free.
        """
        candidates = [tasks for tasks in unplaced if self._has_possible_victims(tasks.queued_job)]
        if not candidates:
            return
        imminent_cpus = self._turnover.rate() * IMMINENT_CAPACITY_S
        self._add_pending_stops()
        capacities = self._capacity.index().by_name
        for tasks in candidates:
            spec = tasks.queued_job.record.spec
            needed_cpus = tasks.count * spec.cpus
            if needed_cpus <= imminent_cpus and not starts_at_once(spec):
                imminent_cpus -= needed_cpus
            else:
                self._preempt_for(tasks, capacities)

    def _has_possible_victims(self, queued_job: QueuedJob) -> bool:
        """Return whether some task may be preempted for the job.

        Under a backlog this is False for most jobs, and no machine has to be searched for them.
        """
        other_teams = self._teams_above_quota - {queued_job.record.spec.team}
        return self._lowest_rank > queued_job.rank or (queued_job.guaranteed and bool(other_teams))

    def _add_pending_stops(self) -> None:
        """Add the capacity that stop requests already sent will free, so that it is used first."""
        state = self._state
        now = state.clock.monotonic()
        for ref, stop in state.stops.items():
            view = state.store.get(ref.job)
            machine = state.machines.get(stop.machine)
            if (
                view is not None
                and machine is not None
                and ref in machine.tasks
                and now - stop.requested_at < PENDING_STOP_TTL_S
            ):
                self._pending.setdefault(machine.id, Resources()).add(view.record.spec, 1)

    def _preempt_for(self, tasks: UnplacedTasks, capacities: dict[MachineId, FreeCapacity]) -> None:
        spec = tasks.queued_job.record.spec
        missing = tasks.count
        avoided = self._state.failures.avoided_machines(tasks.queued_job.record.id)
        for machine in self._state.machines.values():
            if missing <= 0:
                break
            capacity = None if machine.id in avoided else capacities.get(machine.id)
            if capacity is None or not matches_constraints(spec, machine.type, self._state.zone, spot=machine.spot):
                continue
            if machine.id not in self._victims:
                self._victims[machine.id] = self._victims_on(machine)
            if self._victims[machine.id] or machine.id in self._pending:
                missing -= self._preempt_on(machine, tasks.queued_job, missing, capacity)

    def _victims_on(self, machine: Machine) -> list[Victim]:
        """Return the tasks on a machine that may be preempted for some job, in the order of preemption.

        Replicas are not preempted for arrays: instead of taking their capacity, a guaranteed quota is met by scaling
        out, as the last resort.
        """
        state = self._state
        now = state.clock.wall_ms()
        victims = []
        for ref, task in machine.tasks.items():
            view = state.store.get(ref.job)
            if view is None or ref in state.stops or task.state not in PREEMPTIBLE_STATES:
                continue
            record = view.record
            if record.spec.service or record.phase is not Phase.OPEN or record.run_of(ref, machine.id) is None:
                continue
            if is_protected(record, ref.index, now):
                continue
            queued_job = self._queued_jobs.get(JobId(ref.job))
            if queued_job is None:
                queued_job = QueuedJob(record, guaranteed=False)
            victims.append(Victim(ref, machine, record, queued_job.guaranteed, queued_job.rank))
        victims.sort(key=lambda victim: (victim.guaranteed, -victim.rank, -victim.record.runnable_at, victim.ref))
        return victims

    def _preempt_on(self, machine: Machine, queued_job: QueuedJob, missing: int, capacity: FreeCapacity) -> int:
        """Stop the fewest tasks that let as many of the missing tasks fit as possible; return how many fit."""
        spec = queued_job.record.spec
        freed = self._pending.setdefault(machine.id, Resources()).copy()
        best_fit, best_freed = min(missing, _fit_count(spec, capacity, freed)), freed.copy()
        chosen: list[Victim] = []
        best_chosen = 0
        for victim in self._victims[machine.id]:
            if best_fit >= missing:
                break
            if victim.ref in self._state.stops or not _may_preempt(queued_job, victim):
                continue
            chosen.append(victim)
            freed.add(victim.record.spec, 1)
            fit = min(missing, _fit_count(spec, capacity, freed))
            if fit > best_fit:
                best_fit, best_chosen, best_freed = fit, len(chosen), freed.copy()
        for victim in chosen[:best_chosen]:
            victim_spec = victim.record.spec
            grace_s = victim_spec.save_s + CHECKPOINT_MARGIN_S if victim_spec.checkpoint_s > 0 else 0.0
            reason = f"preempted by {queued_job.record.id}"
            self._stops.stop(victim.ref, victim.machine, grace_s=grace_s, reason=reason)
        if best_fit:
            best_freed.add(spec, -best_fit)
            self._pending[machine.id] = best_freed
        return best_fit


def _may_preempt(queued_job: QueuedJob, victim: Victim) -> bool:
    """Return whether a job takes precedence over the victim, by rank or by its team's guaranteed quota."""
    is_of_other_team = victim.record.spec.team != queued_job.record.spec.team
    return victim.rank > queued_job.rank or (queued_job.guaranteed and not victim.guaranteed and is_of_other_team)


def _fit_count(spec: JobSpec, capacity: FreeCapacity, freed: Resources) -> int:
    """Return how many tasks fit on a machine once the resources are freed."""
    after = FreeCapacity(
        capacity.machine,
        capacity.zone,
        capacity.type,
        capacity.spot,
        capacity.cpus + freed.cpus,
        capacity.gpus + freed.gpus,
        capacity.memory_gb + freed.memory_gb,
    )
    return fit_count(spec, after)
