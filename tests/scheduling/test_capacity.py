"""Bin packing into the free capacity of machines."""

from __future__ import annotations

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from cloverplank.basic_types import MachineId, WallTimeMs, Zone
from cloverplank.jobs.records import JobRecord, Placement
from cloverplank.scheduling.capacity import CapacityIndex, FreeCapacity
from cloverplank.wire.users import JobSpec
from tests.jobs.test_records import spec

ZONE = Zone("a")
ZONES = (ZONE, Zone("b"))
TYPES = ("large", "small")
AMOUNTS = st.integers(1, 4)
MACHINES = st.fixed_dictionaries(
    {
        "zone": st.sampled_from(ZONES),
        "type": st.sampled_from(TYPES),
        "spot": st.booleans(),
        "cpus": AMOUNTS,
        "gpus": st.integers(0, 2),
        "memory_gb": AMOUNTS,
        "empty": st.booleans(),
        "reserved": st.booleans(),
    }
)
JOBS = st.fixed_dictionaries(
    {
        "vcpus": AMOUNTS,
        "gpus": st.integers(0, 2),
        "ram_gb": AMOUNTS,
        "loaners": st.booleans(),
        "yard": st.sampled_from((None, *ZONES)),
        "builds": st.sampled_from((None, ["large"], ["small"], ["large", "small"])),
        "rank": st.sampled_from(("prod", "idle")),
    }
)
REQUESTS = st.tuples(JOBS, st.sampled_from(ZONES), st.booleans(), st.integers(1, 4))  # job, zone, urgent, tasks
IDLE_ON_DEMAND = {"type": "small", "spot": False, "cpus": 2, "gpus": 0, "memory_gb": 2, "empty": True}
SMALL_JOB = {"vcpus": 1, "gpus": 0, "ram_gb": 1, "yard": None, "builds": None, "rank": "idle"}
SPOT_JOB, ON_DEMAND_JOB = SMALL_JOB | {"loaners": True}, SMALL_JOB | {"loaners": False}
BUSY_MACHINE = IDLE_ON_DEMAND | {"empty": False, "zone": ZONE, "reserved": False}
IMPORTANT_JOB = ON_DEMAND_JOB | {"rank": "prod"}


def _may_use_reserved(job: JobSpec) -> bool:
    return job.rank == "prod"


def _capacity_index(machines: list[dict]) -> CapacityIndex:
    return CapacityIndex(
        [FreeCapacity(MachineId(f"m-{number}"), **machine) for number, machine in enumerate(machines)],
        may_use_reserved=_may_use_reserved,
    )


def _record(job: dict) -> JobRecord:
    return JobRecord(spec(pieces=6, **job), WallTimeMs(0))


def _uncached_fill(index: CapacityIndex, record: JobRecord, zone: Zone, tasks: int, urgent: bool) -> list[Placement]:
    """Fill without the cache of unplaceable jobs, so that all machines are searched for every job."""
    index._unplaceable.clear()
    return index.fill(record, zone, tasks, urgent=urgent)


# Guards against a job that is skipped although a machine has capacity, because a cached unplaceable job matches more
# jobs than it should.
@given(st.lists(MACHINES, max_size=6), st.lists(REQUESTS, max_size=8))
@example(
    [IDLE_ON_DEMAND | {"zone": ZONE, "reserved": False}],
    [(SPOT_JOB, ZONE, False, 1), (ON_DEMAND_JOB, ZONE, True, 1), (SPOT_JOB, ZONE, False, 1)],
)
@example([BUSY_MACHINE], [(ON_DEMAND_JOB | {"vcpus": 3}, ZONE, True, 1), (ON_DEMAND_JOB, ZONE, True, 1)])
@example([BUSY_MACHINE], [(ON_DEMAND_JOB | {"gpus": 1}, ZONE, True, 1), (ON_DEMAND_JOB, ZONE, True, 1)])
@example([BUSY_MACHINE], [(ON_DEMAND_JOB | {"ram_gb": 3}, ZONE, True, 1), (ON_DEMAND_JOB, ZONE, True, 1)])
@example([BUSY_MACHINE], [(ON_DEMAND_JOB | {"yard": ZONES[1]}, ZONE, True, 1), (ON_DEMAND_JOB, ZONE, True, 1)])
@example([BUSY_MACHINE], [(ON_DEMAND_JOB, ZONES[1], True, 1), (ON_DEMAND_JOB, ZONE, True, 1)])
@example([BUSY_MACHINE], [(ON_DEMAND_JOB | {"builds": ["large"]}, ZONE, True, 1), (ON_DEMAND_JOB, ZONE, True, 1)])
@example([BUSY_MACHINE | {"spot": True}], [(ON_DEMAND_JOB, ZONE, True, 1), (SPOT_JOB, ZONE, True, 1)])
@example([BUSY_MACHINE | {"reserved": True}], [(ON_DEMAND_JOB, ZONE, True, 1), (IMPORTANT_JOB, ZONE, True, 1)])
def test_cached_unplaceable_jobs_change_no_placement_under_any_constraint(
    machines: list[dict], requests: list[tuple[dict, Zone, bool, int]]
) -> None:
    cached, uncached = _capacity_index(machines), _capacity_index(machines)
    for job, zone, urgent, tasks in requests:
        record = _record(job)
        expected = _uncached_fill(uncached, record, zone, tasks, urgent)
        assert cached.fill(record, zone, tasks, urgent=urgent) == expected


# Guards against a job that is skipped although it may use a machine that the other index of the cycle has allocated.
@given(st.lists(MACHINES, max_size=6), st.lists(REQUESTS, max_size=8))
@example(
    [IDLE_ON_DEMAND | {"zone": ZONE, "reserved": False}],
    [(SPOT_JOB, ZONE, False, 1), (IMPORTANT_JOB, ZONE, True, 1), (SPOT_JOB, ZONE, False, 1)],
)
def test_capacity_taken_in_another_index_changes_no_placement(
    machines: list[dict], requests: list[tuple[dict, Zone, bool, int]]
) -> None:
    """Placement uses two indexes: important jobs fill the one with headroom, other jobs the one without."""
    cached, uncached, total = (_capacity_index(machines) for _ in range(3))
    for job, zone, urgent, tasks in requests:
        record = _record(job)
        if job["rank"] == "prod":
            for placement in total.fill(record, zone, tasks, urgent=urgent):
                cached.allocate(placement.machine, record.spec, placement.count)
                uncached.allocate(placement.machine, record.spec, placement.count)
            continue
        expected = _uncached_fill(uncached, record, zone, tasks, urgent)
        assert cached.fill(record, zone, tasks, urgent=urgent) == expected


@pytest.mark.parametrize(
    ("urgent", "expected"),
    [pytest.param(False, {"m-2"}, id="not urgent"), pytest.param(True, {"m-1", "m-2"}, id="urgent")],
)
def test_only_urgent_jobs_use_idle_on_demand_machines(urgent: bool, expected: set[str]) -> None:
    """Otherwise bursts would keep on-demand machines from being idle for long enough to be terminated."""
    record = JobRecord(spec(loaners=True, pieces=20), WallTimeMs(0))
    capacity_index = CapacityIndex(
        [
            FreeCapacity(MachineId("m-1"), ZONE, "small", False, 16.0, 0.0, 64.0),
            FreeCapacity(MachineId("m-2"), ZONE, "small", False, 4.0, 0.0, 64.0, empty=False),
        ]
    )
    placements = capacity_index.fill(record, ZONE, 20, urgent=urgent)
    assert {placement.machine for placement in placements} == expected
    assert len(placements) == len(expected)


def test_avoided_machine_is_not_counted_for_the_job_that_avoids_it_and_stays_open_to_others() -> None:
    """Guards against a gang planned on a machine that it then can't use, and against others passed over with it."""
    index = CapacityIndex(
        [FreeCapacity(MachineId("m-0"), **BUSY_MACHINE)],
        avoided_machines=lambda job: [MachineId("m-0")] if job == "run-000001" else [],
    )
    avoiding, other = (spec(id=f"run-00000{number}", **ON_DEMAND_JOB) for number in (1, 2))
    assert index.count_fitting(avoiding, ZONE, 2) == 0
    assert index.copy().fill(JobRecord(avoiding, WallTimeMs(0)), ZONE, 2) == []
    assert index.count_fitting(other, ZONE, 2) == 2
