"""Single faults in the simulated world: the rules hold and work continues."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest

from tests.simulation.scenario_actions import hang_machines, shard_owner
from tests.simulation.simulated_day import Scenario, check, day
from tests.simulation.single_faults import FAULTS
from tests.simulation.world import World

SERVICES, REPLICAS = 44, 18
LARGE_TASK_CPUS = 4.0


def running_tasks(world: World) -> int:
    """Count the running tasks; a task that runs on two machines counts twice."""
    return sum(len(machines) for machines in world.rules.running_on.values())


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__ if fault else "no_fault")
@pytest.mark.parametrize("zones", [1, 2])
async def test_rules_hold_under_single_faults(fault: Scenario | None, zones: int) -> None:
    world = World(seed=zones * 100 + FAULTS.index(fault), zones=zones)
    ends = await day(world, fault)
    check(world)
    assert list(ends.values()).count("done") >= 6, ends


@pytest.mark.parametrize("seed", range(6))
async def test_rules_hold_with_lost_late_and_duplicated_messages(seed: int) -> None:
    world = World(seed=seed, zones=1 + seed % 2, noise=0.06)
    await day(world, FAULTS[1 + seed])
    check(world)


async def test_spot_job_runs_on_demand_without_spot_capacity() -> None:
    """Guards against a job that waits indefinitely: without an objective, nothing requests an on-demand machine."""
    world = World(seed=1)
    world.cloud.left[world.zones[0], True] = 0
    spec = world.job(1, pieces=3, rank="idle")
    end = await asyncio.wait_for(world.follow(spec), 150)
    check(world)
    assert end == "done"


async def test_gang_restarts_as_a_whole_when_it_loses_a_member() -> None:
    world = World(seed=2)
    spec = world.job(1, shape="ensemble", pieces=4, vcpus=LARGE_TASK_CPUS)
    world.durations[spec["id"]] = 20.0
    work = asyncio.ensure_future(world.follow(spec))
    while running_tasks(world) < 4:
        await asyncio.sleep(0.5)
    next(m for m in world.machines.values() if m.tasks).die()
    end = await asyncio.wait_for(work, 150)
    check(world)
    assert end == "done"


def large_service(world: World, number: int) -> dict:
    """Create a service whose replicas each take half of a small machine."""
    return world.job(
        number,
        shape="service",
        lane="web",
        rank="prod",
        loaners=False,
        pieces=REPLICAS,
        vcpus=LARGE_TASK_CPUS,
        crew="red" if number % 3 else "blue",
    )


async def test_failover_of_a_shard_with_hundreds_of_machines() -> None:
    """The shard owner crashes and restarts at once, while machines hang for longer than a worker lease.

    No task runs twice, and afterwards every replica of every service runs.
    """
    world = World(seed=20, capacity=400, scale=60.0)
    specs = [large_service(world, number) for number in range(SERVICES)]
    await asyncio.gather(*(world.submit(spec) for spec in specs))
    await asyncio.sleep(30)
    busy = [m for m in world.machines.values() if m.tasks]
    world.spawn(world.restart(shard_owner(world), 0.2))
    await asyncio.sleep(1.0)
    hang_machines(world, busy[:20], 11)
    await asyncio.sleep(30)
    check(world)
    assert len(busy) >= 200
    assert running_tasks(world) == SERVICES * REPLICAS


def attempts_by_job(world: World) -> Counter[str]:
    """Return the highest number of placed attempts of each job, from the log of the key-value store."""
    attempts: Counter[str] = Counter()
    for event in world.state.log:
        value = event.get("value")
        if isinstance(value, dict) and "spec" in value:
            job = value["spec"]["id"]
            attempts[job] = max(attempts[job], value.get("next", 1) - 1)
    return attempts


async def test_guaranteed_job_is_not_preempted_by_a_job_that_it_precedes() -> None:
    """Guards against a job that is preempted hundreds of times by one of higher rank, which gets no capacity by it.

    The job of lower rank is within its team's guaranteed quota, the other one is not. In the scheduling order the
    guaranteed job comes first, so it took the capacity back each time.
    """
    world = World(seed=1, capacity=1)
    world.cloud.left = {(zone, True): 0 for zone in world.zones}  # one on-demand machine in all
    guaranteed = world.job(1, crew="red", rank="standard", pieces=6, vcpus=1.0)
    of_higher_rank = world.job(2, crew="blue", rank="urgent", pieces=6, vcpus=4.0)
    for spec in (guaranteed, of_higher_rank):
        world.durations[spec["id"]] = 12.0
    work = asyncio.ensure_future(world.follow(guaranteed))
    while running_tasks(world) < 6:
        await asyncio.sleep(0.5)
    ends = await asyncio.wait_for(asyncio.gather(work, world.follow(of_higher_rank)), 150)
    check(world)
    assert ends == ["done", "done"]
    assert attempts_by_job(world)[guaranteed["id"]] == 1


async def test_overdue_job_is_not_preempted_by_the_job_that_it_passed() -> None:
    """Guards against a job that is preempted again and again, dozens of times on a recorded day.

    Without a running task, the job is overdue and takes precedence over all others. Once it runs, it exceeds its team's
    guaranteed quota and is preempted for the next job in the order, whose capacity it then takes back.
    """
    world = World(seed=1, capacity=1)
    world.limits = {"red": 200.0, "blue": 8.0}
    overdue = [world.job(n, crew="blue", pieces=1, vcpus=8.0, guess_s=20.0, rank="idle") for n in (1, 2, 3)]
    backlog = [world.job(n, pieces=2, vcpus=5.0, guess_s=20.0, rank="idle") for n in range(10, 40)]
    for spec in overdue + backlog:
        world.durations[spec["id"]] = 30.0 if spec["crew"] == "blue" else 20.0
    await asyncio.gather(*(world.submit(spec) for spec in backlog[:6]))
    await asyncio.sleep(1)
    await asyncio.gather(*(world.submit(spec) for spec in overdue))
    for spec in backlog[6:]:
        await world.submit(spec)
        await asyncio.sleep(10)
    check(world)
    assert max(attempts_by_job(world).values()) <= 4
    assert any(world.all_done(spec["id"]) for spec in overdue)
