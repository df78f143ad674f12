"""Task outcomes: exits that heartbeats show are committed before workers may forget them."""

from __future__ import annotations

import logging
from collections.abc import Callable

from cloverplank.basic_types import JobId, TaskRef
from cloverplank.jobs import records
from cloverplank.jobs.records import Phase, TaskExit
from cloverplank.jobs.store import CachedJob
from cloverplank.kvstore.transaction_priority import TransactionPriority
from cloverplank.shard.machine import Machine
from cloverplank.shard.record_changes import RecordChanges
from cloverplank.shard.shard_types import ExitReason, TaskState, placed_refs
from cloverplank.shard.state import ShardState
from cloverplank.wire.workers import TaskStatus

log = logging.getLogger(__name__)

# Completed tasks of one job are collected for one transaction during at least this time, and longer if so many arrays
# run that their transactions would exceed a fraction of the write rate. The capacity that they free is available at
# once.
MIN_MERGE_INTERVAL_S = 0.25
MAX_MERGE_INTERVAL_S = 2.5
MAX_EXIT_WRITES_FRACTION = 0.2


class TaskOutcomes:
    """Commits the exits of a shard's tasks.

    `record_freed_cpus`: is called with the number of cpus that an array task has freed.
    """

    def __init__(
        self,
        state: ShardState,
        changes: RecordChanges,
        record_freed_cpus: Callable[[float], None],
    ) -> None:
        self._state = state
        self._changes = changes
        self._record_freed_cpus = record_freed_cpus

    def stage_exits(self, machine: Machine) -> None:
        """Stage the exits of tasks that the machine's newest heartbeat shows."""
        state = self._state
        exits: dict[JobId, list[TaskExit]] = {}
        for ref, task in machine.tasks.items():
            view = state.store.get(ref.job)
            if view is None or view.staged.run_of(ref, machine.id) is None:
                continue
            if task.state == TaskState.RUNNING and ref not in machine.seen_running:
                self._record_running(machine, ref, view)
            if task.state == TaskState.ENDED:
                exits.setdefault(ref.job, []).append(self._record_exit(machine, ref, task, view))
        self._add_absent_tasks(machine, exits)
        for job, job_exits in exits.items():
            self._stage(state.store.jobs[job], job_exits)
        if exits:
            state.request_cycle()

    def _record_running(self, machine: Machine, ref: TaskRef, view: CachedJob) -> None:
        machine.seen_running.add(ref)
        log.debug("task %s attempt %d runs on machine %s", ref.name, ref.attempt, machine.id)
        machine_type = self._state.machine_types().get(machine.type)
        spec = view.record.spec
        machine.remember_image(spec.image, spec.image_gb, machine_type.cache_gb if machine_type is not None else 0.0)

    def _record_exit(self, machine: Machine, ref: TaskRef, task: TaskStatus, view: CachedJob) -> TaskExit:
        if not view.record.spec.service:
            self._record_freed_cpus(view.record.spec.cpus)
        if task.reason == ExitReason.ERROR:
            self._state.failures.record_failure(ref.job, machine.id)
        elif task.reason == ExitReason.DONE:
            self._state.failures.record_success(ref.job, machine.id)
        self._state.stops.pop(ref, None)
        log.debug("task %s attempt %d on machine %s ended: %s", ref.name, ref.attempt, machine.id, task.reason)
        return TaskExit(ref.index, ref.attempt, machine.id, task.reason == ExitReason.DONE)

    def _add_absent_tasks(self, machine: Machine, exits: dict[JobId, list[TaskExit]]) -> None:
        """Add tasks of cancelled jobs that are placed on the machine but absent from it, and so have ended."""
        for view in self._state.store.jobs_on(machine.id):
            if view.staged.phase is Phase.OPEN:
                continue
            for ref in placed_refs(view.staged, machine.id):
                if ref not in machine.tasks and not machine.may_start_late(ref):
                    task_exit = TaskExit(ref.index, ref.attempt, machine.id, done=False)
                    exits.setdefault(view.id, []).append(task_exit)

    def _stage(self, view: CachedJob, exits: list[TaskExit]) -> None:
        """Stage the exits of one job: at once if a task must run again or the job is complete, otherwise merged."""
        done_count = sum(1 for task_exit in exits if task_exit.done)
        is_last = done_count >= view.staged.missing_count() + view.staged.placed()
        change = records.exit_tasks(exits)
        if is_last or done_count < len(exits):
            self._changes.stage(view, change, TransactionPriority.PLACE)
        else:
            self._changes.stage(view, change, TransactionPriority.DONE, delay_s=self._merge_interval_s())

    def _merge_interval_s(self) -> float:
        max_exits_per_s = MAX_EXIT_WRITES_FRACTION * self._state.limits.write_rps
        return min(MAX_MERGE_INTERVAL_S, max(MIN_MERGE_INTERVAL_S, self._state.running_arrays / max_exits_per_s))
