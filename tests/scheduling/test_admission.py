"""Admission control, compared with a search over all splits of generated jobs over zones."""

from __future__ import annotations

from itertools import product

from hypothesis import given
from hypothesis import strategies as st

from cloverplank.scheduling.admission import rejection_reason
from cloverplank.scheduling.quotas import Quota
from cloverplank.wire.cloud import MachineType
from cloverplank.wire.users import JobSpec
from tests.jobs.test_records import spec
from tests.simulation.loop import run
from tests.simulation.world import World

ZONES = ["a", "b", "c"]
TYPES = [
    MachineType("small", 4.0, 16.0, 1.0, zones=["a"]),
    MachineType("large", 8.0, 64.0, 2.0, zones=["a", "b"]),
    MachineType("gpu", 8.0, 64.0, 9.0, gpus=2.0),
]


def can_run(job: JobSpec, zones: list[str], limit: Quota) -> bool:
    """Return whether the tasks that must run at the same time can be split over zones, by trying every split."""
    tasks = 1 if job.shape == "batch" else job.tasks
    if tasks * job.cpus > limit.cpus or tasks * job.gpus > limit.gpus:
        return False
    fits = {
        zone
        for zone in zones
        for machine_type in TYPES
        if (not machine_type.zones or zone in machine_type.zones)
        and (job.types is None or machine_type.name in job.types)
        and job.zone in (None, zone)
        and machine_type.cpus >= job.cpus
        and machine_type.gpus >= job.gpus
        and machine_type.memory_gb >= job.memory_gb
    }
    for counts in product(range(tasks + 1), repeat=len(zones)):
        split = {zone: count for zone, count in zip(zones, counts, strict=True) if count}
        if sum(counts) != tasks or not split.keys() <= fits:
            continue
        if (job.one_zone or job.shape == "ensemble") and len(split) > 1:
            continue
        if job.spread and max(counts) > (job.tasks + 1) // 2:
            continue
        return True
    return False


@given(
    st.builds(
        lambda **more: spec(crew="red", **more),
        shape=st.sampled_from(["batch", "service", "ensemble"]),
        pieces=st.integers(1, 5),
        vcpus=st.sampled_from([1.0, 5.0, 9.0]),
        gpus=st.sampled_from([0.0, 1.0, 3.0]),
        ram_gb=st.sampled_from([1.0, 32.0, 100.0]),
        together=st.booleans(),
        apart=st.booleans(),
        yard=st.sampled_from([None, *ZONES, "nowhere"]),
        builds=st.none() | st.lists(st.sampled_from(["small", "large", "gpu", "other"]), max_size=2),
    ),
    st.integers(1, 3),
    st.sampled_from([Quota(6.0, 2.0), Quota(20.0, 4.0), Quota(100.0, 0.0)]),
)
def test_job_is_refused_exactly_if_no_split_can_ever_run_it(job: JobSpec, count: int, limit: Quota) -> None:
    zones = ZONES[:count]
    assert bool(rejection_reason(job, {"red": limit}, TYPES, zones)) is not can_run(job, zones, limit)


def test_repeated_submission_of_an_accepted_job_is_never_refused() -> None:
    async def main() -> None:
        world = World(seed=80)
        job = world.job(1, pieces=2)
        assert await world.submit(job)
        for change in ({"crew": "none"}, {"vcpus": 900.0}, {"pieces": 0}, {"shape": "heap"}, {"yard": "nowhere"}):
            for label in world.labels:
                status, value = await world.ask("POST", "/api/jobs", job | change, label)
                assert (status, value["id"]) == (200, job["id"])

    run(main())


def test_impossible_or_malformed_job_is_refused() -> None:
    async def main() -> None:
        world = World(seed=80)
        assert await world.submit(world.job(1, pieces=2))
        status, _ = await world.ask("POST", "/api/jobs", world.job(2, crew="none"))
        assert status == 422
        status, _ = await world.ask("POST", "/api/jobs", {"id": "run-000003"})
        assert status == 400

    run(main())
