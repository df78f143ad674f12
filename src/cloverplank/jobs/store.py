"""Cache of the open jobs, with the pending changes of this controller.

Each job has a committed record and a staged one, which is the committed record with this controller's own pending
changes applied. Free capacity of machines is computed from staged records. Quotas count the larger of the two, since a
pending change may still fail.
"""

from __future__ import annotations

from asyncio import Future
from collections.abc import Callable, Iterator
from enum import Enum

from msgspec import Struct, field

from cloverplank.basic_types import NEVER, JobId, MachineId, ModRevision, MonotonicTime
from cloverplank.jobs.records import JobRecord, Phase, RecordChange, Run, TaskExits
from cloverplank.wire.kvstore import Compare

MAX_CHANGE_COUNTS = 10_000
MAX_GOSSIPED_CANCELLATIONS = 2_000


class ChangeOutcome(Enum):
    """The outcome of a pending change."""

    COMMITTED = "committed"
    NOT_APPLICABLE = "not applicable"  # the record has changed since, or the key-value store rejects the change
    CONFLICT = "conflict"  # a key that the change is conditional on has changed


class Decision(Enum):
    """A kind of scheduling decision, of which each job has at most one pending at a time."""

    ALLOCATION = "allocation"
    PLACEMENT = "placement"


class PendingChange(Struct, eq=False):
    """A change that is not committed yet; it is merged with the other pending changes of its job."""

    change: RecordChange
    priority: int
    ready_at: MonotonicTime  # it is not sent before this time
    conditions: list[Compare] = field(default_factory=list)
    future: Future[ChangeOutcome] | None = None
    decision: Decision | None = None  # the decision that the change carries out

    def settle(self, outcome: ChangeOutcome) -> None:
        """Pass the outcome to the coroutine that waits for it."""
        if self.future is not None and not self.future.done():
            self.future.set_result(outcome)


class CachedJob(Struct, eq=False):
    """An open job with its committed and its staged record."""

    id: JobId
    record: JobRecord
    mod_revision: ModRevision
    staged: JobRecord
    pending: list[PendingChange] = field(default_factory=list)
    in_flight: bool = False
    stale: bool = False  # a transaction on the key conflicted: the key is read again before the next one
    rejections: int = 0  # consecutive transactions rejected by the store as malformed or too large
    retry_at: MonotonicTime = MonotonicTime(0.0)  # no transaction is sent before this time

    def has_pending(self, *decisions: Decision) -> bool:
        """Return whether a change for one of these decisions is pending."""
        return any(pending.decision in decisions for pending in self.pending)

    def held(self) -> int:
        """Return the number of tasks that count against the quota."""
        return max(self.record.held(), self.staged.held())


class MachineLoad(Struct, frozen=True):
    """The resources and images that the staged records use on one machine."""

    cpus: float = 0.0
    gpus: float = 0.0
    memory_gb: float = 0.0
    tasks: int = 0
    images: frozenset[str] = frozenset()


EMPTY_LOAD = MachineLoad()


def _ignore_job_change(view: CachedJob | None, job: JobId) -> None:
    """Do nothing. The default listener."""


def _never_complete() -> MonotonicTime:
    return NEVER


class JobStore:
    """Open jobs by id, with an index by machine.

    `changed` is called after each change of a job, with None as the cached job if the job was removed.
    `complete_until` returns the time up to which the store contains every committed change.
    """

    def __init__(
        self,
        *,
        changed: Callable[[CachedJob | None, JobId], None] = _ignore_job_change,
        complete_until: Callable[[], MonotonicTime] = _never_complete,
    ) -> None:
        self.jobs: dict[JobId, CachedJob] = {}
        # The jobs of each machine are keys in the order in which they came to it, so that no order depends on hashes.
        self.by_machine: dict[MachineId, dict[JobId, None]] = {}
        self._loads: dict[MachineId, MachineLoad] = {}  # cached until a job on the machine changes
        self._changes = 0
        self._change_counts: dict[MachineId, int] = {}
        self._default_change_count = 0  # of machines that are not in `_change_counts`
        self._gossiped_cancellations: dict[JobId, MonotonicTime] = {}  # with the time of receipt
        self._complete_until = complete_until
        self._changed = changed

    def __iter__(self) -> Iterator[CachedJob]:
        return iter(self.jobs.values())

    def get(self, job: JobId) -> CachedJob | None:
        """Return an open job, None where the job is not open."""
        return self.jobs.get(job)

    # -- cancellations by gossip

    def note_gossiped_cancellation(self, job: JobId, now: MonotonicTime) -> None:
        """Record that a peer has reported the job's cancellation as committed.

        Its tasks are stopped and no more are started, without waiting for the watch. It has no other effect: the record
        is not changed.
        """
        view = self.jobs.get(job)
        if job in self._gossiped_cancellations or (view is not None and view.record.phase is not Phase.OPEN):
            return
        while len(self._gossiped_cancellations) >= MAX_GOSSIPED_CANCELLATIONS:
            del self._gossiped_cancellations[next(iter(self._gossiped_cancellations))]
        self._gossiped_cancellations[job] = now
        if view is not None:
            for name in {**view.record.runs_on, **view.staged.runs_on}:
                self._count_change(MachineId(name))
            self._changed(view, job)

    def cancelled_by_gossip(self, job: JobId) -> bool:
        """Return whether the job counts as cancelled because of gossip alone.

        A cancellation is committed before a peer reports it. Once the store contains every change committed by the time
        of receipt, the record is up to date without the gossip, and a false report no longer has any effect.
        """
        gossiped_at = self._gossiped_cancellations.get(job)
        return gossiped_at is not None and self._complete_until() <= gossiped_at

    def should_run(self, view: CachedJob) -> bool:
        """Return whether tasks of the job may be started and running ones continue."""
        return view.record.phase is Phase.OPEN and not self.cancelled_by_gossip(view.id)

    # -- machines

    def jobs_on(self, machine: MachineId) -> list[CachedJob]:
        """Return the jobs that have tasks on the machine in their staged or committed record."""
        return [self.jobs[job] for job in self.by_machine.get(machine, ()) if job in self.jobs]

    def load(self, machine: MachineId) -> MachineLoad:
        """Return the load of the staged records on the machine."""
        load = self._loads.get(machine)
        if load is not None:
            return load
        if machine not in self.by_machine:
            return EMPTY_LOAD
        load = self._loads[machine] = self._computed_load(machine)
        return load

    def _computed_load(self, machine: MachineId) -> MachineLoad:
        cpus = gpus = memory_gb = 0.0
        total_tasks = 0
        images = set()
        for view in self.jobs_on(machine):
            spec, tasks = view.record.spec, view.staged.placed_on(machine)
            if tasks:
                cpus += spec.cpus * tasks
                gpus += spec.gpus * tasks
                memory_gb += spec.memory_gb * tasks
                total_tasks += tasks
                images.add(spec.image)
        return MachineLoad(cpus, gpus, memory_gb, total_tasks, frozenset(images))

    def change_count(self, machine: MachineId) -> int:
        """Return a number that changes with each change of a record that has or had tasks on the machine."""
        return self._change_counts.get(machine, self._default_change_count)

    def _count_change(self, machine: MachineId) -> None:
        self._loads.pop(machine, None)
        self._changes += 1
        if len(self._change_counts) >= MAX_CHANGE_COUNTS:
            self._change_counts.clear()
            self._default_change_count = self._changes
        self._change_counts[machine] = self._changes

    def _index(self, view: CachedJob, record: JobRecord | None, staged: JobRecord | None) -> None:
        """Update the index and the change counts after a change of a job.

        `record` and `staged` are the job's records before the change. Only machines on which the job has changed are
        counted: a commit of one task of a large array must not count as a change of every machine that runs other tasks
        of the array.
        """
        is_removed = self.jobs.get(view.id) is not view
        runs_before, staged_before = _runs_on(record), _runs_on(staged)
        runs_now = _runs_on(None if is_removed else view.record)
        staged_now = _runs_on(None if is_removed else view.staged)
        on_all_machines = (
            is_removed
            or record is None
            or staged is None
            or record.phase is not view.record.phase
            or staged.phase is not view.staged.phase
        )
        for name in {**runs_before, **staged_before, **runs_now, **staged_now}:
            if (
                not on_all_machines
                and runs_before.get(name) == runs_now.get(name)
                and staged_before.get(name) == staged_now.get(name)
            ):
                continue
            machine = MachineId(name)
            self._count_change(machine)
            if name in runs_now or name in staged_now:
                self.by_machine.setdefault(machine, {})[view.id] = None
            elif machine in self.by_machine:
                self.by_machine[machine].pop(view.id, None)
                if not self.by_machine[machine]:
                    del self.by_machine[machine]

    # -- changes

    def _restage(self, view: CachedJob) -> None:
        staged = view.record
        for pending in view.pending:
            staged = pending.change(staged) or staged
        view.staged = staged

    def apply(self, job: JobId, record: JobRecord, mod_revision: ModRevision) -> None:
        """Add or replace a committed record, unless the cached one is as new.

        The record comes from a watch, a read or a transaction of this controller.
        """
        view = self.jobs.get(job)
        if view is None:
            view = self.jobs[job] = CachedJob(job, record, mod_revision, record)
            self._index(view, None, None)
        elif mod_revision <= view.mod_revision:
            return
        else:
            record_before, staged_before = view.record, view.staged
            view.record, view.mod_revision, view.stale = record, mod_revision, False
            self._restage(view)
            self._index(view, record_before, staged_before)
        self._changed(view, job)

    def remove(self, job: JobId, mod_revision: ModRevision) -> None:
        """Remove a job whose key was deleted at this revision. Its pending changes no longer apply."""
        view = self.jobs.get(job)
        if view is None or mod_revision <= view.mod_revision:
            return
        del self.jobs[job]
        self._index(view, view.record, view.staged)
        for pending in view.pending:
            pending.settle(ChangeOutcome.NOT_APPLICABLE)
        view.pending.clear()
        self._changed(None, job)

    def stage(self, view: CachedJob, pending: PendingChange) -> None:
        """Add a pending change to the staged record."""
        after = pending.change(view.staged) or view.staged
        if not _join_last(view, pending):
            view.pending.append(pending)
        if after.runs is view.staged.runs:
            view.staged = after
            return
        # Pass the previous staged record, so that machines that the job has left are removed from the index.
        staged_before, view.staged = view.staged, after
        self._index(view, view.record, staged_before)

    def unstage(self, view: CachedJob, settled: list[PendingChange]) -> None:
        """Remove settled changes and compute the staged record from the others."""
        staged_before = view.staged
        view.pending = [pending for pending in view.pending if not any(pending is each for each in settled)]
        self._restage(view)
        if self.jobs.get(view.id) is view:
            self._index(view, view.record, staged_before)


def _join_last(view: CachedJob, pending: PendingChange) -> bool:
    """Join task exits to the last pending change if it consists of task exits too. Return whether that was possible.

    Otherwise each exit would iterate over the record, and do so again after each change of the record. Changes that are
    part of a transaction in flight are not modified.
    """
    if view.in_flight or not view.pending:
        return False
    last = view.pending[-1]
    if not isinstance(last.change, TaskExits) or not isinstance(pending.change, TaskExits):
        return False
    if last.future is not None or pending.future is not None or last.conditions != pending.conditions:
        return False
    last.change.join(pending.change)
    last.ready_at = min(last.ready_at, pending.ready_at)
    last.priority = min(last.priority, pending.priority)
    return True


def _runs_on(record: JobRecord | None) -> dict[str, list[Run]]:
    return {} if record is None else record.runs_on
