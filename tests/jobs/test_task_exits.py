"""Task exits of one job are joined to one change, so that the work does not grow with the square of the tasks."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverplank.basic_types import Attempt, JobId, MachineId, ModRevision, MonotonicTime, Zone
from cloverplank.jobs import records
from cloverplank.jobs.records import JobRecord, Phase, Placement, TaskExit
from cloverplank.jobs.store import CachedJob, JobStore, PendingChange
from cloverplank.wire.kvstore import Compare
from tests.jobs.specs import spec

JOB = JobId("run-000001")
DONE_PRIORITY = 4
TASKS = 24
MACHINES = 6
MANY_TASKS = 300


def placed_record(tasks: int = TASKS, machines: int = MACHINES) -> JobRecord:
    """Return a record with all tasks placed, the same number on each machine."""
    record = JobRecord(spec(id=JOB, pieces=tasks), 1000, allocation={"a": tasks})
    per_machine = tasks // machines
    placements = [Placement(MachineId(f"m-{n:06d}"), Zone("a"), per_machine) for n in range(machines)]
    placed = records.place(placements, record.next_attempt)(record)
    assert placed is not None
    assert placed.missing_count() == 0
    return placed


def task_exit(index: int, *, done: bool = True, per_machine: int = 1) -> TaskExit:
    return TaskExit(index, Attempt(1), MachineId(f"m-{index // per_machine:06d}"), done)


def exit_change(index: int, ready_at: float = 0.0, conditions: list[Compare] | None = None) -> PendingChange:
    return PendingChange(
        records.exit_tasks([task_exit(index)]), DONE_PRIORITY, MonotonicTime(ready_at), conditions or []
    )


@pytest.fixture
def store() -> JobStore:
    return JobStore()


@pytest.fixture
def view(store: JobStore) -> CachedJob:
    """A job of two tasks on two machines."""
    store.apply(JOB, placed_record(2, 2), ModRevision(1))
    return store.jobs[JOB]


@given(st.lists(st.tuples(st.integers(0, TASKS - 1), st.booleans()), max_size=40))
def test_joined_exits_give_the_record_of_single_ones(exits: list[tuple[int, bool]]) -> None:
    """Exits come in any order, with repetitions, and a later heartbeat may contradict an earlier one."""
    changes = [
        records.exit_tasks([task_exit(index, done=done, per_machine=TASKS // MACHINES)]) for index, done in exits
    ]
    single = placed_record()
    for change in changes:
        single = change(single) or single
    joined = records.exit_tasks([])
    for change in changes:
        joined.join(change)
    assert (joined(placed_record()) or placed_record()) == single


@pytest.fixture
def records_visited(monkeypatch: pytest.MonkeyPatch) -> list[JobRecord]:
    """The records to which task exits are applied, one entry per application."""
    applied: list[JobRecord] = []
    apply: Callable[[records.TaskExits, JobRecord], JobRecord | None] = records.TaskExits.__call__

    def counted(change: records.TaskExits, record: JobRecord) -> JobRecord | None:
        applied.append(record)
        return apply(change, record)

    monkeypatch.setattr(records.TaskExits, "__call__", counted)
    return applied


def test_pending_exits_are_one_change(store: JobStore, records_visited: list[JobRecord]) -> None:
    """Each event on a job applies its pending changes again: with one change per task, hundreds of tasks would take up
    the processor time of a shard owner.
    """
    store.apply(JOB, placed_record(MANY_TASKS, MANY_TASKS), ModRevision(1))
    view = store.jobs[JOB]
    for index in range(MANY_TASKS):
        store.stage(view, exit_change(index, 5.0 - index / 1000))
    assert len(records_visited) == MANY_TASKS  # each exit once, when it is staged
    assert len(view.pending) == 1
    assert view.pending[0].ready_at == MonotonicTime(5.0 - (MANY_TASKS - 1) / 1000)
    records_visited.clear()
    store.apply(JOB, placed_record(MANY_TASKS, MANY_TASKS), ModRevision(2))
    assert len(records_visited) == 1
    assert view.staged.phase is Phase.DONE
    assert view.record.phase is Phase.OPEN


def test_exits_do_not_join_a_transaction_in_flight(store: JobStore, view: CachedJob) -> None:
    """The transaction is already sent: an exit that joined it would count as committed and be lost."""
    store.stage(view, exit_change(0))
    view.in_flight = True
    store.stage(view, exit_change(1))
    assert len(view.pending) == 2
    store.unstage(view, view.pending[:1])
    assert view.staged.done == [1, 1]


def test_exits_under_different_shard_assignments_are_not_joined(store: JobStore, view: CachedJob) -> None:
    """Each exit is dropped together with the shard assignment under which it was staged."""
    store.stage(view, exit_change(0, conditions=[Compare("c/block/a", 3)]))
    store.stage(view, exit_change(1, conditions=[Compare("c/block/b", 4)]))
    assert len(view.pending) == 2
