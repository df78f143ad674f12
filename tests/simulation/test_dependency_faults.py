"""Faults while jobs are blocked: each job ends as its upstream jobs determine, and no commit exceeds a limit."""

from __future__ import annotations

import asyncio

import pytest

from tests.simulation.job_graphs import chain, diamond, submit_in_turn, wait_for_end, wait_until_ready
from tests.simulation.scenario_actions import leader
from tests.simulation.simulated_day import check, day
from tests.simulation.world import World


async def leader_crashes_at_each_completion(world: World) -> None:
    """Crash the leader when a job has ended, before its dependent jobs are released."""
    ended: set[str] = set()
    for _ in range(600):
        now = {job for job in world.rules.accepted if world.all_done(job)}
        if now - ended and len(ended) % 3 == 0:
            world.spawn(world.restart(leader(world), world.random.choice([0.1, 4.0])))
        ended |= now
        await asyncio.sleep(0.1)


async def cancelled_at_completion(world: World) -> None:
    """Cancel half of the jobs as their last tasks end, which may be before or after their completion is committed."""
    ended: set[str] = set()
    for _ in range(600):
        now = {job for job in world.rules.accepted if world.all_done(job)}
        for job in sorted(now - ended):
            if world.random.random() < 0.5:
                world.spawn(world.cancel_job(job))
        ended |= now
        await asyncio.sleep(0.1)


async def store_outage_longer_than_cancel_limit(world: World) -> None:
    """Cancel upstream jobs just before an outage that is longer than `cancel_s`."""
    await asyncio.sleep(14)
    for spec in list(world.jobs.values()):
        if not spec.get("waits_on") and spec["id"] in world.rules.accepted and world.random.random() < 0.5:
            world.spawn(world.cancel_job(spec["id"]))
    await asyncio.sleep(0.2)
    world.state.outage(True)
    await asyncio.sleep(world.cancel_s + 4)
    world.state.outage(False)


async def store_refuses_leader(world: World) -> None:
    """Have the store refuse requests of the leader only, while jobs are cancelled."""
    await asyncio.sleep(12)
    world.state.refused_clients = {leader(world)}
    for job in world.running_jobs()[:3]:
        world.spawn(world.cancel_job(job))
    await asyncio.sleep(14)
    world.state.refused_clients = set()


async def all_controllers_restart(world: World) -> None:
    """Restart all controllers twice."""
    for pause in (12, 9):
        await asyncio.sleep(pause)
        for label in world.labels:
            world.spawn(world.restart(label, world.random.choice([0.1, 0.4, 5.0])))


async def late_commits(world: World) -> None:
    """Delay commits and drop their responses, while jobs are cancelled."""
    world.faults.late_commit_fraction = 0.15
    for job in world.running_jobs()[:2]:
        world.spawn(world.cancel_job(job))
    await asyncio.sleep(40)
    world.faults.late_commit_fraction = 0.0


async def store_limits_lowered_during_cancellation(world: World) -> None:
    """Lower the store's limits while jobs are cancelled, then crash the leader."""
    await asyncio.sleep(12)
    for job in world.running_jobs()[:2]:
        world.spawn(world.cancel_job(job))
    world.lower_store_limits()
    await asyncio.sleep(4)
    world.spawn(world.restart(leader(world), 0.2))


async def run_job_graphs(world: World, fault=None) -> None:
    """Run diamonds and chains of jobs concurrently with other jobs during a fault, and check how each job ends."""
    await wait_until_ready(world)
    pipelines = [diamond(world, 100), diamond(world, 110), chain(world, 120, {}, {}, {"crew": "blue"}, {})]
    pipelines.append(chain(world, 130, {"pieces": 3}, {"pieces": 3}))
    work = [asyncio.ensure_future(submit_in_turn(world, specs)) for specs in pipelines]
    await day(world, fault, seconds=80.0, jobs=5)
    await asyncio.gather(*work)
    for specs in pipelines:
        ends = [await wait_for_end(world, spec) for spec in specs]
        assert None not in ends, (ends, world.rules.notes)
        for spec, end in zip(specs, ends, strict=True):
            if any(world.rules.final_states.get(up) == "cancelled" for up in world.upstream(spec["id"])):
                assert end == "cancelled"
    check(world)


@pytest.mark.parametrize(
    "fault",
    [
        None,
        leader_crashes_at_each_completion,
        cancelled_at_completion,
        store_outage_longer_than_cancel_limit,
        store_refuses_leader,
        all_controllers_restart,
        late_commits,
        store_limits_lowered_during_cancellation,
    ],
    ids=lambda t: getattr(t, "__name__", "no_fault"),
)
@pytest.mark.parametrize("seed", [21, 22])
async def test_dependencies_hold_under_faults(fault, seed: int) -> None:
    world = World(seed=seed, coming_limits=True)
    await run_job_graphs(world, fault)
    assert not world.state.refused_commits
