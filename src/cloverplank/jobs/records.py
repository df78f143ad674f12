"""Job records and all changes that may be made to them.

A change is a pure function that takes a record and returns the new record, or None if the change no longer applies. The
transaction that contains it is conditional on the record's mod revision, so a change is only ever committed to the
record it was computed from.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from enum import StrEnum
from functools import cached_property

import msgspec
from msgspec import Struct, field

from cloverplank.basic_types import Attempt, JobId, MachineId, TaskRef, WallTimeMs, Zone
from cloverplank.jobs import ranges
from cloverplank.jobs.ranges import Ranges
from cloverplank.wire.users import JobSpec

MAX_EVICTIONS = 20  # per record; only the newest are kept


class Phase(StrEnum):
    """The phase of a job."""

    OPEN = "open"
    CANCELLED = "cancelled"
    DONE = "done"


class Run(Struct, array_like=True, frozen=True):
    """Tasks placed on one machine by one transaction. They count until they are proven to have left the machine."""

    machine: str
    zone: str
    attempt: int
    tasks: Ranges


class Eviction(Struct, array_like=True, frozen=True):
    """Tasks evicted from a tainted machine. The entry is kept until as many replacements are healthy."""

    machine: str
    count: int
    evicted_at: int  # time of day, ms
    since_attempt: int


class JobRecord(Struct, frozen=True, omit_defaults=True, dict=True):
    """The record of an open job. It is immutable, so its counts are cached: each scheduling cycle reads all of them."""

    spec: JobSpec
    runnable_at: int = field(name="at")  # time of day, ms, of the submission or of a blocked job's release
    phase: Phase = Phase.OPEN
    next_attempt: int = field(name="next", default=1)  # attempt number of the next placement
    done: Ranges = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    allocation: dict[str, int] = field(default_factory=dict, name="allot")  # zone -> limit of tasks placed there
    evictions: list[Eviction] = field(default_factory=list, name="ev")
    submitted: int = 0  # time of day, ms, of the submission if the job was blocked at first, otherwise 0

    @cached_property
    def submitted_at(self) -> int:
        """Time of day, ms, from which the deadline counts. All other durations count from `runnable_at`."""
        return self.submitted or self.runnable_at

    @cached_property
    def id(self) -> JobId:
        """The job's id."""
        return JobId(self.spec.id)

    @cached_property
    def runs_on(self) -> dict[str, list[Run]]:
        """The runs by machine name."""
        by_machine: dict[str, list[Run]] = {}
        for run in self.runs:
            by_machine.setdefault(run.machine, []).append(run)
        return by_machine

    @cached_property
    def by_zone(self) -> dict[str, int]:
        """The number of tasks on machines, by zone."""
        counts: dict[str, int] = {}
        for run in self.runs:
            counts[run.zone] = counts.get(run.zone, 0) + ranges.count(run.tasks)
        return counts

    @cached_property
    def _placed(self) -> int:
        return sum(self.by_zone.values())

    @cached_property
    def done_count(self) -> int:
        """The number of done tasks."""
        return ranges.count(self.done)

    @cached_property
    def _held(self) -> int:
        placed = self._placed
        if self.phase is not Phase.OPEN:
            return placed
        unused = sum(max(0, limit - self.placed(zone)) for zone, limit in self.allocation.items())
        return placed + min(unused, self.missing_count())

    def placed(self, zone: str | None = None) -> int:
        """Return the number of tasks on machines, in one zone or in all."""
        return self._placed if zone is None else self.by_zone.get(zone, 0)

    def placed_on(self, machine: str) -> int:
        """Return the number of tasks on a machine."""
        return sum(ranges.count(run.tasks) for run in self.runs_on.get(machine, ()))

    def missing(self) -> Ranges:
        """Return the tasks that are neither done nor on a machine."""
        if self.phase is not Phase.OPEN:
            return []
        done_or_placed = ranges.union(self.done, *(run.tasks for run in self.runs))
        return ranges.without([0, self.spec.tasks - 1], done_or_placed)

    @cached_property
    def _missing(self) -> int:
        return self.spec.tasks - self.done_count - self._placed if self.phase is Phase.OPEN else 0

    def missing_count(self) -> int:
        """Return the number of tasks that are neither done nor on a machine."""
        return self._missing

    def held(self) -> int:
        """Return the number of tasks that count against the quota: placed ones, and allocated ones not yet placed."""
        return self._held

    def finished(self) -> bool:
        """Return whether the job has reached its final state."""
        if self.phase is Phase.CANCELLED:
            return not self.runs
        return self.done_count == self.spec.tasks

    def run_of(self, task: TaskRef, machine: str) -> Run | None:
        """Return the run that placed this attempt of a task on a machine, or None if the task is not on it."""
        for run in self.runs_on.get(machine, ()):
            if run.attempt == task.attempt and ranges.contains(run.tasks, task.index):
                return run
        return None


class BlockedJobRecord(Struct, frozen=True):
    """The record of a job that waits for its upstream jobs. None of its tasks is placed."""

    spec: JobSpec
    submitted_at: int = field(name="at")  # time of day, ms
    upstream: list[str] = field(name="needs")  # ids of the jobs that must be done first

    def released(self, now: WallTimeMs) -> JobRecord:
        """Return the record of the job after its release, for which all upstream jobs must be done."""
        return JobRecord(self.spec, now, submitted=self.submitted_at)


class FinalRecord(Struct, frozen=True):
    """The record of a finished job, which is stored indefinitely."""

    phase: Phase
    tasks: int


class Placement(Struct, frozen=True):
    """The number of a job's tasks that are to be placed on a machine."""

    machine: MachineId
    zone: Zone
    count: int


class TaskExit(Struct, frozen=True):
    """A task that is proven to have left its machine. `done`: it was successful."""

    index: int
    attempt: Attempt
    machine: MachineId
    done: bool


RecordChange = Callable[[JobRecord], "JobRecord | None"]


def cancel() -> RecordChange:
    """Return the change that cancels the job."""

    def change(record: JobRecord) -> JobRecord | None:
        if record.phase is not Phase.OPEN:
            return None
        return msgspec.structs.replace(record, phase=Phase.CANCELLED, allocation={}, evictions=[])

    return change


def allocate(wanted: Mapping[Zone, int]) -> RecordChange:
    """Return the change that sets the zone allocation computed by the leader.

    The record may have changed since the allocation was computed: tasks that were to move to another zone may have
    been placed in the first zone in the meantime. The change does not apply if the job would then hold more tasks than
    its team's quota was charged for.
    """
    total = sum(wanted.values())

    def change(record: JobRecord) -> JobRecord | None:
        if record.phase is not Phase.OPEN:
            return None
        # At least the placed tasks, since they count until they are proven to have left their machines.
        allocation = {zone: max(limit, record.placed(zone)) for zone, limit in wanted.items()}
        allocation = {zone: limit for zone, limit in allocation.items() if limit}
        if allocation == record.allocation:
            return None
        after = msgspec.structs.replace(record, allocation=allocation)
        return after if after.held() <= max(total, record.held()) else None

    return change


def zone_cap(spec: JobSpec) -> int:
    """Return the maximum number of a job's tasks in one zone."""
    return (spec.tasks + 1) // 2 if spec.spread else spec.tasks


def place(placements: list[Placement], attempt: int) -> RecordChange:
    """Return the change that places missing tasks on machines, lowest numbers first, under a new attempt number.

    It applies only while `attempt` is the record's next attempt; otherwise the record already has this placement, or
    another one that was not considered when this one was planned. The job's zone constraints are checked against the
    record, regardless of its allocation.
    """

    def change(record: JobRecord) -> JobRecord | None:
        if record.phase is not Phase.OPEN or record.next_attempt != attempt:
            return None
        missing = record.missing()
        runs = list(record.runs)
        placed: dict[str, int] = {}
        for placement in placements:
            zone = placement.zone
            if zone not in placed:
                placed[zone] = record.placed(zone)
            if record.spec.one_zone and any(run.zone != zone for run in runs):
                continue
            available = min(record.allocation.get(zone, 0), zone_cap(record.spec)) - placed[zone]
            taken, missing = ranges.take(missing, min(placement.count, available))
            if taken:
                placed[zone] += ranges.count(taken)
                runs.append(Run(placement.machine, zone, record.next_attempt, taken))
        if len(runs) == len(record.runs) or (record.spec.gang and missing):
            return None  # a gang is placed as a whole or not at all
        return msgspec.structs.replace(record, runs=runs, next_attempt=record.next_attempt + 1)

    return change


def _without_exited(runs: Iterable[Run], exited: Mapping[tuple[str, int], list[int]]) -> list[Run]:
    """Return the runs without the exited tasks, which are keyed by machine and attempt."""
    result = []
    for run in runs:
        numbers = exited.get((run.machine, run.attempt))
        if numbers is None:
            result.append(run)
            continue
        left = ranges.without(run.tasks, ranges.from_numbers(numbers))
        if left:
            result.append(msgspec.structs.replace(run, tasks=left))
    return result


class TaskExits:
    """A change that removes exited tasks from their machines, and adds the successful ones to the done tasks.

    Later exits may be joined to it until it is committed: one change with a hundred tasks iterates over the record
    once, a hundred changes with one task each do so a hundred times.
    """

    def __init__(self, exits: Iterable[TaskExit]) -> None:
        self._exits: dict[tuple[MachineId, Attempt, int], TaskExit] = {}
        self._add(exits)

    def _add(self, exits: Iterable[TaskExit]) -> None:
        for task_exit in exits:
            # Only the first exit of a task attempt counts.
            self._exits.setdefault((task_exit.machine, task_exit.attempt, task_exit.index), task_exit)

    def join(self, later: TaskExits) -> None:
        """Add the exits of a later change to the same record."""
        self._add(later._exits.values())

    def __call__(self, record: JobRecord) -> JobRecord | None:
        """Return the record without the exited tasks, or None if none of them is on its machine."""
        exited: dict[tuple[str, int], list[int]] = {}
        done: list[int] = []
        for task_exit in self._exits.values():
            if record.run_of(TaskRef(record.id, task_exit.index, task_exit.attempt), task_exit.machine) is None:
                continue
            exited.setdefault((task_exit.machine, task_exit.attempt), []).append(task_exit.index)
            if task_exit.done:
                done.append(task_exit.index)
        if not exited:
            return None
        all_done = ranges.union(record.done, ranges.from_numbers(done))
        phase = record.phase
        if phase is Phase.OPEN and ranges.count(all_done) == record.spec.tasks:
            phase = Phase.DONE
        return msgspec.structs.replace(record, runs=_without_exited(record.runs, exited), done=all_done, phase=phase)


def exit_tasks(exits: list[TaskExit]) -> TaskExits:
    """Return the change that removes exited tasks from their machines."""
    return TaskExits(exits)


def evict(machine: str, now: WallTimeMs) -> RecordChange:
    """Return the change that removes all tasks from a tainted machine, on which they are proven to have ended."""

    def change(record: JobRecord) -> JobRecord | None:
        evicted = record.placed_on(machine)
        if not evicted:
            return None
        runs = [run for run in record.runs if run.machine != machine]
        evictions = record.evictions
        if record.phase is Phase.OPEN:
            evictions = [*evictions, Eviction(machine, evicted, now, record.next_attempt)][-MAX_EVICTIONS:]
        return msgspec.structs.replace(record, runs=runs, evictions=evictions)

    return change


def drop_evictions(now: WallTimeMs, max_age_ms: int, *, replaced: bool) -> RecordChange:
    """Return the change that drops eviction entries: all if the tasks are `replaced`, otherwise expired ones."""

    def change(record: JobRecord) -> JobRecord | None:
        left = [] if replaced else [entry for entry in record.evictions if now - entry.evicted_at < max_age_ms]
        if len(left) == len(record.evictions):
            return None
        return msgspec.structs.replace(record, evictions=left)

    return change
