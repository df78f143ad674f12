"""Job store: staged records, the index by machine and change counts."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cloverplank.basic_types import JobId, MachineId, ModRevision, MonotonicTime, WallTimeMs, Zone
from cloverplank.jobs import ranges, records
from cloverplank.jobs.records import JobRecord, Placement, RecordChange
from cloverplank.jobs.store import CachedJob, JobStore, PendingChange
from tests.jobs.specs import spec

ZONE = Zone("a")
JOBS = ("run-0", "run-1")
MACHINES = tuple(MachineId(name) for name in "xyz")
CANCEL_PRIORITY = 1
PLACE_PRIORITY = 3


def test_change_that_the_watch_delivers_before_its_response_is_not_staged_twice() -> None:
    """Staged twice, the change would count two replicas as placed indefinitely, on top of the two that are placed."""
    store = JobStore()
    record = records.allocate({ZONE: 4})(JobRecord(spec(pieces=4, shape="service"), 0))
    assert record is not None
    store.apply(record.id, record, ModRevision(1))
    view = store.jobs[record.id]
    pending = PendingChange(
        records.place([Placement(MachineId("m-1"), ZONE, 2)], 1), PLACE_PRIORITY, MonotonicTime(0.0)
    )
    store.stage(view, pending)
    store.apply(record.id, view.staged, ModRevision(2))  # delivered by the watch
    assert view.staged.placed() == 2
    store.unstage(view, [pending])
    assert view.staged == view.record
    assert view.staged.missing_count() == 2


class JobStoreMachine(RuleBasedStateMachine):
    """Changes are staged, committed, dropped and delivered by the watch in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.store = JobStore()
        self.mod_revision = 0
        self.seen: dict[MachineId, tuple[int, list]] = {}
        for number, job in enumerate(JOBS):
            record = records.allocate({ZONE: 8})(JobRecord(spec(id=job, vcpus=1.0 + number), 0))
            assert record is not None
            self.commit(record)

    def commit(self, record: JobRecord) -> None:
        self.mod_revision += 1
        self.store.apply(record.id, record, ModRevision(self.mod_revision))

    def view(self, number: int) -> CachedJob:
        return self.store.jobs[JobId(JOBS[number])]

    def stage(self, view: CachedJob, change: RecordChange, priority: int = PLACE_PRIORITY) -> None:
        self.store.stage(view, PendingChange(change, priority, MonotonicTime(0.0)))

    @rule(number=st.integers(0, 1), machine=st.sampled_from(MACHINES), count=st.integers(1, 5))
    def place(self, number: int, machine: MachineId, count: int) -> None:
        view = self.view(number)
        self.stage(view, records.place([Placement(machine, ZONE, count)], view.staged.next_attempt))

    @rule(number=st.integers(0, 1), machine=st.sampled_from(MACHINES))
    def evict(self, number: int, machine: MachineId) -> None:
        self.stage(self.view(number), records.evict(machine, WallTimeMs(1)))

    @rule(number=st.integers(0, 1), merged=st.integers(0, 3), committed=st.booleans())
    def settle(self, number: int, merged: int, committed: bool) -> None:
        """Commit or drop the first pending changes."""
        view = self.view(number)
        settled = view.pending[:merged]
        if committed:
            record = view.record
            for pending in settled:
                record = pending.change(record) or record
            self.commit(record)
        self.store.unstage(view, settled)

    @rule(number=st.integers(0, 1))
    def cancel(self, number: int) -> None:
        self.stage(self.view(number), records.cancel(), CANCEL_PRIORITY)

    @invariant()
    def change_count_differs_after_each_change_on_a_machine(self) -> None:
        """A heartbeat is answered without reading the jobs if the change count is the same, so a change that is not
        counted would never reach the worker.
        """
        for machine in MACHINES:
            state = [
                (view.id, view.record.phase, view.record.runs_on.get(machine), view.staged.runs_on.get(machine))
                for view in self.store.jobs.values()
                if machine in view.record.runs_on or machine in view.staged.runs_on
            ]
            count = self.store.change_count(machine)
            if machine in self.seen:
                count_before, state_before = self.seen[machine]
                assert count_before != count or state_before == state
            self.seen[machine] = (count, state)

    @invariant()
    def index_and_loads_are_those_of_the_records(self) -> None:
        """A machine kept in the index of a job that left it before the commit would count as busy indefinitely."""
        for machine in MACHINES:
            views = list(self.store.jobs.values())
            on_machine = {view.id for view in views if machine in view.record.runs_on or machine in view.staged.runs_on}
            assert {view.id for view in self.store.jobs_on(machine)} == on_machine
            load = self.store.load(machine)
            tasks = [
                (view, sum(ranges.count(run.tasks) for run in view.staged.runs if run.machine == machine))
                for view in views
            ]
            assert load.tasks == sum(count for _, count in tasks)
            assert load.cpus == sum(view.record.spec.cpus * count for view, count in tasks)


TestJobStore = JobStoreMachine.TestCase
TestJobStore.settings = settings(max_examples=60, stateful_step_count=25)
