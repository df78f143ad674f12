"""Simulated days with a staged rollout, and what happens to controllers in them."""

from __future__ import annotations

import asyncio

from cloverplank.kvstore import keys
from cloverplank.records.rollout import RolloutPhase
from cloverplank.settings.operator import OperatorSettings
from cloverplank.settings.rollout import RolloutSettings
from tests.simulation.simulated_day import Scenario, play_day
from tests.simulation.world import World

CONTROLLERS = ("c-0", "c-1", "c-2")
SOAK_S = 6.0
ONE_TASK_MACHINES = 60  # machines with one task each: their plain record is larger than 2 KiB


def operator(**more) -> OperatorSettings:  # noqa: ANN003
    return OperatorSettings(rollout=RolloutSettings(**({"enabled": True, "soak_s": SOAK_S} | more)))


def committed(world: World) -> tuple[int, str]:
    """Return the cluster version and its phase."""
    item = world.state.items.get(keys.ROLLOUT)
    return (0, "finalized") if item is None else (item[0]["version"], item[0]["phase"])


async def wait_for_phase(world: World, version: int, phase: RolloutPhase, within_s: float = 90.0) -> None:
    """Wait until the version and its phase are committed."""
    deadline = world.now() + within_s
    while committed(world) != (version, phase.value):
        assert world.now() < deadline, f"{committed(world)} after {within_s} s, not {version} {phase.value}"
        await asyncio.sleep(0.1)


async def upgrade(
    world: World, labels: tuple[str, ...] = CONTROLLERS, after: float = 1.5, every_s: float = 4.0
) -> None:
    """Restart controllers with the present program, one after the other."""
    for label in labels:
        world.spawn(world.restart(label, after, upgrade=True))
        await asyncio.sleep(every_s)


def roll_back(world: World, label: str, after: float = 1.0) -> None:
    """Restart a controller with production's version."""
    world.crash(label)
    world.old.add(label)
    world.spawn(world.restart(label, after))


async def set_goal(world: World, goal: int) -> None:
    """Change the operators' file of all controllers and restart them one by one."""
    world.operator = operator(goal=goal)
    await upgrade(world)


def wide_job(world: World, number: int, **more) -> dict:  # noqa: ANN003
    """Return a job on so many machines that its record is stored compact where that is allowed."""
    spec = world.job(number, **({"pieces": 40, "vcpus": 6.0, "builds": ["small"]} | more))
    world.durations[spec["id"]] = 25.0
    return spec


def stored_compact(world: World) -> list[str]:
    """Return the keys of job records that are stored in the compact shape."""
    return [
        key
        for key, (value, _, _) in world.state.items.items()
        if key.startswith(keys.JOBS) and isinstance(value["spec"], list)
    ]


def play(
    scenario: Scenario, seed: int, old: tuple[str, ...] = CONTROLLERS, late_writes: float = 0.0, **settings
) -> World:  # noqa: ANN003
    """Play a simulated day of jobs, wide ones among them, during which the scenario runs.

    Checks the invariants, and that no process met a shape that it can't read.
    """

    def world_of() -> World:
        world = World(seed, capacity=60, scale=12.0, coming_limits=True, old=old, operator=operator(**settings))
        world.faults.late_commit_fraction = late_writes
        return world

    def wide_jobs(world: World) -> None:
        for number in range(3):
            world.spawn(submit_later(world, wide_job(world, 40 + number), 3.0 + 20.0 * number))

    world = play_day(world_of, scenario, wide_jobs, seconds=150.0, jobs=8)
    assert not world.unreadable_keys
    assert not world.state.refused_commits
    return world


async def submit_later(world: World, spec: dict, after: float) -> None:
    await asyncio.sleep(after)
    await world.follow(spec)
