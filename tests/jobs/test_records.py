"""Job records under generated changes, and quotas and placements computed from job records."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cloverplank.basic_types import MachineId, WallTimeMs, Zone
from cloverplank.jobs import ranges, records
from cloverplank.jobs.records import JobRecord, Phase, Placement, RecordChange, TaskExit
from cloverplank.scheduling import quotas
from cloverplank.scheduling.capacity import CapacityIndex, FreeCapacity
from cloverplank.scheduling.queue import FAR_OVERDUE_MS, QueuedJob, scheduling_order
from cloverplank.scheduling.quotas import Quota
from tests.jobs.specs import spec

A, B = Zone("a"), Zone("b")
ZONES = [A, B]
TASKS = 8
MAX_TASKS_PER_ZONE = 4  # half of the eight tasks of a job that is spread over zones


def placement(machine: str, zone: Zone, count: int) -> Placement:
    return Placement(MachineId(machine), zone, count)


class JobRecordMachine(RuleBasedStateMachine):
    """The leader and shard owners change one record; the leader computes some changes from a stale read."""

    def __init__(self) -> None:
        super().__init__()
        self.record = JobRecord(spec(apart=True), 0)
        self.read_before = self.record
        self.charged = 0  # tasks that the team's quota was charged for
        self.attempts: set[tuple[int, int]] = set()

    def apply(self, change: RecordChange) -> bool:
        after = change(self.record)
        if after is None:
            return False
        self.record = after
        return True

    @rule()
    def read(self) -> None:
        self.read_before = self.record

    @rule(extra=st.integers(0, 8), share=st.integers(0, 8))
    def allocate(self, extra: int, share: int) -> None:
        """Allocate from a stale read, as when a transaction is built again after a conflict."""
        placed = {zone: self.read_before.placed(zone) for zone in ZONES}
        extra = min(extra, self.read_before.missing_count())
        extra_in_a = min(share, extra)
        wanted = {A: placed[A] + extra_in_a, B: placed[B] + extra - extra_in_a}
        wanted = {zone: min(count, MAX_TASKS_PER_ZONE) for zone, count in wanted.items()}
        # The leader charges the larger of the committed and the new number of tasks.
        self.charged = max(self.record.held(), sum(wanted.values()))
        self.apply(records.allocate(wanted))

    @rule(zone=st.sampled_from(ZONES), count=st.integers(1, 8), machine=st.sampled_from("xyz"))
    def place(self, zone: Zone, count: int, machine: str) -> None:
        before = self.record
        if self.apply(records.place([placement(zone + machine, zone, count)], before.next_attempt)):
            assert self.record.held() <= before.held()
            assert self.record.placed(zone) <= self.record.allocation.get(zone, 0)
            new_runs = self.record.runs[len(before.runs) :]
            new = {(task, run.attempt) for run in new_runs for task in ranges.numbers(run.tasks)}
            assert not new & self.attempts  # no attempt number of a task is reused
            self.attempts |= new

    @rule(data=st.data(), done=st.booleans())
    def exit_task(self, data: st.DataObject, done: bool) -> None:
        if self.record.runs:
            run = data.draw(st.sampled_from(self.record.runs))
            task_exit = TaskExit(run.tasks[0], run.attempt, run.machine, done)
            held_before = self.record.held()
            assert self.apply(records.exit_tasks([task_exit]))
            assert self.record.held() <= held_before
            assert not self.apply(records.exit_tasks([task_exit]))  # a repeated heartbeat changes nothing

    @rule(machine=st.sampled_from([zone + name for zone in ZONES for name in "xyz"]))
    def evict(self, machine: str) -> None:
        held_before = self.record.held()
        if self.apply(records.evict(machine, WallTimeMs(1))):
            assert self.record.held() <= held_before
            assert all(run.machine != machine for run in self.record.runs)

    @rule(now=st.integers(0, 10), replaced=st.booleans())
    def settle(self, now: int, replaced: bool) -> None:
        self.apply(records.drop_evictions(WallTimeMs(now), 5, replaced=replaced))

    @invariant()
    def every_task_is_in_one_place(self) -> None:
        record = self.record
        tasks = [*ranges.numbers(record.done), *ranges.numbers(record.missing())]
        for run in record.runs:
            tasks += ranges.numbers(run.tasks)
        assert sorted(tasks) == list(range(TASKS))
        assert record.finished() == (record.phase is Phase.DONE)

    @invariant()
    def quota_and_zone_spread_are_kept(self) -> None:
        assert self.record.held() <= self.charged or self.record.phase is Phase.DONE
        assert all(self.record.placed(zone) <= MAX_TASKS_PER_ZONE for zone in ZONES)

    @invariant()
    def encoding_keeps_the_record(self) -> None:
        assert msgspec.msgpack.decode(msgspec.msgpack.encode(self.record), type=JobRecord) == self.record


TestJobRecord = JobRecordMachine.TestCase
TestJobRecord.settings = settings(max_examples=60, stateful_step_count=25)


def applied(change: RecordChange, record: JobRecord) -> JobRecord:
    """Return the record after a change that must apply."""
    after = change(record)
    assert after is not None
    return after


def allocated(tasks: int, **fields: object) -> JobRecord:
    """Return a record with the given number of tasks allocated to zone a."""
    return applied(records.allocate({A: tasks}), JobRecord(spec(**fields), 0))


def test_allocation_after_a_conflict_does_not_raise_what_the_job_holds() -> None:
    """Tasks that were to move to zone b are placed in zone a in the meantime: both zones' tasks would be charged."""
    record = allocated(4)
    move = records.allocate({B: 4})
    placed = applied(records.place([placement("m-1", A, 4)], record.next_attempt), record)
    assert move(placed) is None


def test_job_of_one_zone_is_not_placed_in_another_while_tasks_are_in_the_first() -> None:
    record = allocated(4, together=True)
    record = applied(records.place([placement("m-1", A, 4)], record.next_attempt), record)
    record = msgspec.structs.replace(record, allocation={A: 4, B: 4})
    assert records.place([placement("m-2", B, 4)], record.next_attempt)(record) is None


@pytest.mark.parametrize(
    ("placements", "applies"),
    [
        pytest.param([placement("m-1", A, 7)], False, id="too few placements"),
        pytest.param([placement("m-1", A, 4), placement("m-2", A, 4)], True, id="placements for all tasks"),
    ],
)
def test_gang_is_placed_as_a_whole_or_not_at_all(placements: list[Placement], applies: bool) -> None:
    record = allocated(TASKS, shape="ensemble")
    assert (records.place(placements, record.next_attempt)(record) is not None) == applies


def test_record_of_a_large_job_array_stays_small() -> None:
    record = allocated(90_000, pieces=100_000)
    record = applied(records.place([placement("m-1", A, 300)], record.next_attempt), record)
    assert record.missing() == [300, 99_999]
    assert len(msgspec.json.encode(record)) < 1000


@given(st.data())
def test_totals_keep_every_team_within_its_quota(data: st.DataObject) -> None:
    queued_jobs, held = [], {}
    limits = {"red": Quota(20.0, 0.0), "blue": Quota(7.0, 0.0)}
    capacity = {"red": 20.0, "blue": 7.0}
    for number in range(data.draw(st.integers(1, 8))):
        team = data.draw(st.sampled_from(["red", "blue"]))
        cpus = data.draw(st.sampled_from([1.0, 2.0, 4.0]))
        job = spec(id=f"run-{number}", crew=team, vcpus=cpus, pieces=data.draw(st.integers(1, 9)))
        allocation = data.draw(st.integers(0, min(job.tasks, int(capacity[team] / cpus))))
        capacity[team] -= allocation * cpus
        record = records.allocate({A: allocation})(JobRecord(job, number)) or JobRecord(job, number)
        queued_jobs.append(QueuedJob(record, False))
        held[job.id] = record.held()
    totals = quotas.task_limits(queued_jobs, lambda job: held[job], limits)
    for team, limit in limits.items():
        # A lowered total frees no quota before it is committed.
        charged = sum(
            max(held[queued.record.id], totals[queued.record.id]) * queued.record.spec.cpus
            for queued in queued_jobs
            if queued.record.spec.team == team
        )
        assert charged <= limit.cpus + 1e-6


@given(st.integers(0, 50), st.dictionaries(st.sampled_from("abcd"), st.floats(0, 10), min_size=1), st.data())
def test_split_by_weight_gives_out_all_that_fits(amount: int, weights: dict[str, float], data: st.DataObject) -> None:
    caps = {zone: data.draw(st.integers(0, 20)) for zone in weights}
    split = quotas.split_by_weight(amount, weights, caps)
    assert sum(split.values()) == min(amount, sum(caps.values()))
    assert all(0 <= split[zone] <= caps[zone] for zone in split)


def test_split_follows_the_static_weights() -> None:
    assert quotas.split_by_weight(9, {"a": 1.0, "b": 2.0}, {"a": 99, "b": 99}) == {"a": 3, "b": 6}


@given(st.integers(1, 30), st.lists(st.tuples(st.integers(0, 8), st.booleans(), st.booleans()), max_size=6))
def test_placement_never_takes_more_than_the_free_capacity(limit: int, sizes: list) -> None:
    capacities = [
        FreeCapacity(MachineId(f"m-{n}"), A, "g8", spot, float(size), 0.0, 99.0, up=up)
        for n, (size, spot, up) in enumerate(sizes)
    ]
    record = JobRecord(spec(vcpus=3.0, loaners=False, pieces=40), 0)
    free = {capacity.machine: capacity.cpus for capacity in capacities}
    placements = CapacityIndex(capacities).fill(record, A, limit)
    assert sum(p.count for p in placements) == min(limit, sum(int(size / 3) for size, spot, _ in sizes if not spot))
    assert all(p.count * 3.0 <= free[p.machine] + 1e-6 for p in placements)
    assert all(capacity.cpus >= -1e-6 for capacity in capacities)


def test_scheduling_order_is_guarantee_then_rank_then_age() -> None:
    jobs = [
        JobRecord(spec(id="run-1", crew="red", rank="standard", pieces=4), 5),
        JobRecord(spec(id="run-2", crew="red", rank="standard", pieces=4), 6),
        JobRecord(spec(id="run-3", crew="blue", rank="prod", pieces=4), 9),
        JobRecord(spec(id="run-4", crew="red", rank="idle", pieces=1), 1),
    ]
    queued_jobs = scheduling_order(jobs, {"red": (4.0, 0.0), "blue": (0.0, 0.0)})
    assert [(queued.record.id, queued.guaranteed) for queued in queued_jobs] == [
        ("run-1", True),
        ("run-3", False),
        ("run-2", False),
        ("run-4", False),
    ]


@given(
    st.lists(st.tuples(st.integers(0, 8), st.integers(0, 8), st.booleans(), st.booleans()), max_size=8),
    st.lists(
        st.tuples(st.integers(1, 5), st.integers(1, 5), st.booleans(), st.booleans(), st.integers(1, 6)), max_size=8
    ),
)
@example([(1, 1, False, True)], [(1, 1, True, False, 1), (1, 1, False, False, 1)])
def test_cached_unplaceable_jobs_change_no_placement(machines: list, jobs: list) -> None:
    """Under a backlog, a scheduling cycle skips jobs if a less demanding one found no capacity."""

    def capacity_index() -> CapacityIndex:
        return CapacityIndex(
            FreeCapacity(f"m-{n}", "a", "g8", spot, float(cpus), 0.0, float(memory), empty=empty)  # type: ignore[arg-type]
            for n, (cpus, memory, spot, empty) in enumerate(machines)
        )

    cached, uncached = capacity_index(), capacity_index()
    for cpus, memory, spot, urgent, tasks in jobs:
        record = JobRecord(spec(vcpus=float(cpus), ram_gb=float(memory), loaners=spot, pieces=6), 0)
        uncached._unplaceable.clear()
        expected = uncached.fill(record, "a", tasks, urgent=urgent)  # type: ignore[arg-type]
        assert cached.fill(record, "a", tasks, urgent=urgent) == expected  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("waited_ms", "done", "goes_first"),
    [
        pytest.param(5_000, [], False, id="waits for a short time"),
        pytest.param(FAR_OVERDUE_MS + 1, [], True, id="far overdue"),
        pytest.param(FAR_OVERDUE_MS + 1, [0, 0], False, id="far overdue with a done task"),
    ],
)
def test_large_job_without_a_started_task_goes_first_once_it_is_far_overdue(
    waited_ms: int, done: ranges.Ranges, goes_first: bool
) -> None:
    """A stream of guaranteed and of small jobs must not overtake a large one indefinitely."""
    large = JobRecord(spec(id="run-1", crew="red", rank="standard", pieces=400, guess_s=90.0), 0, done=done)
    small = [JobRecord(spec(id=f"run-{n}", crew="blue", rank="urgent", pieces=1), waited_ms) for n in (2, 3)]
    queued_jobs = scheduling_order(
        [large, *small], {"blue": (9.0, 0.0)}, {"red": 9.0, "blue": 9.0}, WallTimeMs(waited_ms)
    )
    assert (queued_jobs[0].record.id == "run-1") == goes_first


@pytest.fixture
def partly_done() -> JobRecord:
    """A job of ten tasks: six are allocated to zone a and placed (four are done), four are allocated to zone b."""
    record = JobRecord(spec(pieces=10, vcpus=1.0), 1, allocation={A: 6, B: 4})
    record = applied(records.place([placement("m", A, 6)], 1), record)
    return applied(records.exit_tasks([TaskExit(task, 1, "m", True) for task in range(4)]), record)


@pytest.mark.parametrize(
    ("wanted", "covered"),
    [
        pytest.param({A: 2, B: 4}, True, id="equal to the unfinished tasks"),
        pytest.param({A: 2, B: 3}, False, id="less: quota has to be released for other jobs"),
        pytest.param({A: 7, B: 4}, False, id="more: the job may get more quota"),
    ],
)
def test_done_tasks_leave_no_smaller_allocation_to_commit(
    partly_done: JobRecord, wanted: dict[Zone, int], covered: bool
) -> None:
    """Committing a smaller allocation after each task exit, at a higher priority than completions, uses up the rate of
    changes: if that rate falls by a third, placements of lower ranks wait a minute although hundreds of machines are
    free.
    """
    assert bool(quotas.record_covers_allocation(partly_done, wanted)) == covered


def test_done_tasks_are_not_held(partly_done: JobRecord) -> None:
    assert partly_done.held() == 6
    assert applied(records.evict("m", WallTimeMs(5)), partly_done).held() == partly_done.held()


@given(st.data())
def test_job_never_holds_more_while_its_allocation_stays(data: st.DataObject) -> None:
    """Tasks are placed, exit and are evicted in any order while the allocation exceeds what the job has left."""
    record = JobRecord(spec(pieces=12, vcpus=1.0), 1, allocation={A: 8, B: 4})
    for step in range(data.draw(st.integers(1, 12))):
        held_before = record.held()
        zone, count = data.draw(st.sampled_from([(A, 3), (B, 2)]))
        change_type = data.draw(st.sampled_from(["place", "end", "evict"]))
        machine = f"{zone}{step % 3}"
        if change_type == "place":
            change = records.place([placement(machine, zone, count)], record.next_attempt)
        elif change_type == "evict":
            change = records.evict(machine, WallTimeMs(5))
        else:
            done = data.draw(st.booleans())
            change = records.exit_tasks(
                [TaskExit(run.tasks[0], run.attempt, run.machine, done) for run in record.runs[:2]]
            )
        record = change(record) or record
        assert record.held() <= held_before
