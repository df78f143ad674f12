"""Faults in every phase of a rollout in the simulated world; its invariants are checked continuously."""

from __future__ import annotations

import asyncio

import pytest

from cloverplank.records.rollout import RolloutPhase
from tests.rollout.scenarios import CONTROLLERS, committed, play, roll_back, set_goal, stored_compact, wait_for_phase
from tests.simulation.job_graphs import diamond, submit_in_turn, wait_for_end
from tests.simulation.scenario_actions import leader
from tests.simulation.world import World


async def inject_in_each_phase(world: World, fault) -> list[str]:  # noqa: ANN001
    """Inject the fault once in each phase, when the phase is first observed; return the phases."""
    injected: list[str] = []
    while committed(world) != (1, "finalized"):
        phase = committed(world)[1]
        if phase != "finalized" and phase not in injected:
            injected.append(phase)
            await fault(world)
        await asyncio.sleep(0.1)
    return injected


async def leader_restarts(world: World) -> None:
    world.spawn(world.restart(leader(world), 2.0))
    await asyncio.sleep(3)


async def quick_restarts(world: World) -> None:
    for label in CONTROLLERS:
        world.spawn(world.restart(label, world.random.uniform(0.05, 0.4)))
        await asyncio.sleep(0.6)


async def store_outage(world: World) -> None:
    world.state.outage(True)
    await asyncio.sleep(7)
    world.state.outage(False)


async def store_refuses_leader(world: World) -> None:
    world.state.refused_clients = {leader(world)}
    await asyncio.sleep(9)
    world.state.refused_clients = set()


async def partition_from_store_and_peers(world: World) -> None:
    """Cut the leader off from everything except its workers until its lease expires, then let it join again."""
    label = leader(world)
    for other in ("state", *(other for other in CONTROLLERS if other != label)):
        world.cut(label, other)
    await asyncio.sleep(9)
    world.heal()


async def jobs_cancelled(world: World) -> None:
    """Submit and cancel jobs while the phase changes; jobs complete, and blocked jobs become runnable."""
    for job in world.running_jobs()[:2]:
        world.spawn(world.cancel_job(job))
    specs = diamond(world, 200 + 10 * len(world.jobs))
    await submit_in_turn(world, specs)
    world.spawn(wait_for_end(world, specs[-1]))


@pytest.mark.parametrize(
    "fault",
    [
        leader_restarts,
        quick_restarts,
        store_outage,
        store_refuses_leader,
        partition_from_store_and_peers,
        jobs_cancelled,
    ],
    ids=lambda fault: fault.__name__,
)
def test_rollout_completes_despite_a_fault_in_every_phase(fault) -> None:  # noqa: ANN001
    async def scenario(world: World) -> None:
        injected = await inject_in_each_phase(world, fault)
        assert set(injected) >= {"prepared", "soak", "active"}

    play(scenario, 58, old=(), soak_s=20.0)


@pytest.mark.parametrize("fault", [leader_restarts, quick_restarts, store_outage], ids=lambda fault: fault.__name__)
def test_retreat_completes_despite_a_fault(fault) -> None:  # noqa: ANN001
    """The fault is injected while compact records are rewritten."""

    async def scenario(world: World) -> None:
        await wait_for_phase(world, 1, RolloutPhase.FINALIZED)
        while not stored_compact(world):
            await asyncio.sleep(0.1)
        goal_change = world.spawn(set_goal(world, 0))
        await wait_for_phase(world, 1, RolloutPhase.RETREATING)
        await fault(world)
        await goal_change
        await wait_for_phase(world, 0, RolloutPhase.FINALIZED)
        assert not stored_compact(world)
        roll_back(world, "c-1")
        await asyncio.sleep(5)

    play(scenario, 60, old=())
