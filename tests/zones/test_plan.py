"""The order of work while a zone is lost or recovers, by generated queues."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cloverplank.basic_types import MachineId, WallTimeMs, Zone
from cloverplank.jobs.records import Eviction, JobRecord
from cloverplank.records.zones import ALL_MACHINES_PER_CENT, ZoneHealth, ZoneRecord, initial_zone_record
from cloverplank.scheduling.queue import QueuedJob, scheduling_order
from cloverplank.settings.zones import MAX_HOLD_S
from cloverplank.zones.health import ADMISSION_STEPS
from cloverplank.zones.plan import MAX_WITHHELD_S, ClassOrder, Importance, PlanLimits, StartRateLimiter, ZonePlan
from tests.jobs.test_records import spec

ZONE = Zone("zone-1")
NOW = WallTimeMs(1_700_000_000_000)
JOBS = st.builds(
    lambda number, rank, shape, due, age_s, evicted_s, pieces: JobRecord(
        spec(id=f"run-{number:06d}", rank=rank, shape=shape, due_s=due, pieces=pieces),
        NOW - int(age_s * 1000),
        evictions=[] if evicted_s is None else [Eviction("m-000001", 1, NOW - int(evicted_s * 1000), 1)],
    ),
    st.integers(0, 10**6),
    st.sampled_from(["prod", "urgent", "standard", "idle"]),
    st.sampled_from(["batch", "batch", "service"]),
    st.sampled_from([None, 20.0, 300.0]),
    st.floats(0, 300),
    st.sampled_from([None, 1.0, 40.0]),
    st.integers(1, 5),
)
USUAL_ORDER = ClassOrder()


def remaining_time(record: JobRecord, now: WallTimeMs) -> float | None:
    due = record.spec.deadline_s
    return None if due is None else due - (now - record.runnable_at) / 1000


def plan_of(state: ZoneHealth, admitted: int = 0, classes: ClassOrder = USUAL_ORDER) -> ZonePlan:
    records = {
        ZONE: ZoneRecord("zone-1", state, NOW - 5000, admitted, lost_at=NOW - 5000),
        Zone("zone-0"): initial_zone_record("zone-0"),
    }
    return ZonePlan(records, PlanLimits(30_000, 30.0, 10), classes, NOW, remaining_time)


def queue_of(records: list[JobRecord]) -> list[QueuedJob]:
    unique = {record.id: record for record in records}
    return scheduling_order(unique.values(), {"red": (10.0, 0.0)}, {"red": 100.0}, NOW)


def ids_of(queued_jobs: list[QueuedJob]) -> list[str]:
    return [queued_job.record.id for queued_job in queued_jobs]


@given(st.lists(JOBS, max_size=20))
def test_evacuation_serves_every_job_in_the_documented_order(records: list[JobRecord]) -> None:
    queued_jobs = queue_of(records)
    plan = plan_of(ZoneHealth.LOST)
    arranged = plan.arrange(queued_jobs)
    assert sorted(ids_of(arranged)) == sorted(ids_of(queued_jobs))
    not_overdue = [queued_job for queued_job in arranged if queued_job.overdue == 0]
    importances = [plan.importance(queued_job) for queued_job in not_overdue]
    assert importances == sorted(importances)
    deadlines = [
        remaining_time(queued_job.record, NOW)
        for queued_job in not_overdue
        if plan.importance(queued_job) is Importance.DEADLINE
    ]
    assert deadlines == sorted(deadlines)
    for queued_job in arranged:
        if queued_job.deferred:
            evictions = [eviction.evicted_at for eviction in queued_job.record.evictions]
            waiting_ms = NOW - max([queued_job.record.runnable_at, *evictions])
            assert plan.importance(queued_job) is Importance.BULK
            assert not queued_job.overdue
            assert waiting_ms < MAX_HOLD_S * 1000
    assert ids_of(plan.arrange(queued_jobs)) == ids_of(plan.arrange(queued_jobs[::-1]))


@given(st.lists(JOBS, max_size=20))
def test_order_is_unchanged_without_a_lost_zone(records: list[JobRecord]) -> None:
    queued_jobs = queue_of(records)
    for state in (ZoneHealth.HEALTHY, ZoneHealth.IMPAIRED):
        assert plan_of(state).arrange(queued_jobs) == queued_jobs
        assert not any(queued_job.deferred for queued_job in queued_jobs)


@given(st.integers(0, 10**6), st.sampled_from(ADMISSION_STEPS))
def test_admitted_machine_stays_admitted_at_higher_steps(number: int, step: int) -> None:
    name = MachineId(f"m-{number:06d}")
    admitted = [plan_of(ZoneHealth.RECOVERING, per_cent).admits(ZONE, name, 0.0) for per_cent in ADMISSION_STEPS]
    assert admitted == sorted(admitted)
    assert admitted[-1]
    assert plan_of(ZoneHealth.LOST).admits(ZONE, name, MAX_WITHHELD_S)
    assert not plan_of(ZoneHealth.LOST).admits(ZONE, name, 0.0)
    assert plan_of(ZoneHealth.LOST).admits(Zone("zone-0"), name, 0.0)


def test_steps_admit_about_their_fraction_of_thousands_of_machines() -> None:
    names = [MachineId(f"m-{number:06d}") for number in range(4000)]
    for step in ADMISSION_STEPS:
        plan = plan_of(ZoneHealth.RECOVERING, step)
        fraction = sum(plan.admits(ZONE, name, 0.0) for name in names) / len(names)
        assert abs(fraction - step / ALL_MACHINES_PER_CENT) < 0.03


def test_class_order_overrides_the_importance_of_jobs() -> None:
    bulk = JobRecord(spec(id="run-000001", lane="first-of-all", rank="idle"), NOW)
    service = JobRecord(spec(id="run-000002", lane="test-desk", shape="service"), NOW)
    plan = plan_of(ZoneHealth.LOST, classes=ClassOrder(frozenset({"first-of-all"}), frozenset({"test-desk"})))
    by_id = {queued_job.record.id: queued_job for queued_job in plan.arrange(queue_of([bulk, service]))}
    assert list(by_id) == ["run-000001", "run-000002"]
    assert by_id["run-000002"].deferred
    assert not by_id["run-000001"].deferred


@given(st.lists(st.tuples(st.floats(0.0, 3.0), st.integers(0, 50)), max_size=30))
def test_starts_stay_within_their_rate(requests: list[tuple[float, int]]) -> None:
    pace, now, made = StartRateLimiter(0.0), 0.0, 0
    for elapsed_s, wanted in requests:
        now += elapsed_s
        starts = min(wanted, pace.available(10.0, now))
        pace.take(starts)
        made += starts
        assert made <= 10.0 * now + 10.0
