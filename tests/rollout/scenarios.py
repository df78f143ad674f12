"""Helpers to run a staged rollout in a simulated day, and to restart controllers with other programs and settings."""

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
ONE_TASK_MACHINES = 60  # the plain record of a job with one task on each of so many machines exceeds 2 KiB


def operator(**more) -> OperatorSettings:  # noqa: ANN003
    return OperatorSettings(rollout=RolloutSettings(**({"enabled": True, "soak_s": SOAK_S} | more)))


def committed(world: World) -> tuple[int, str]:
    """Return the committed cluster version and phase."""
    item = world.state.items.get(keys.ROLLOUT)
    return (0, "finalized") if item is None else (item[0]["version"], item[0]["phase"])


async def wait_for_phase(world: World, version: int, phase: RolloutPhase, within_s: float = 90.0) -> None:
    """Wait until the version and phase are committed."""
    deadline = world.now() + within_s
    while committed(world) != (version, phase.value):
        assert world.now() < deadline, f"after {within_s} s: expected {version} {phase.value}, got {committed(world)}"
        await asyncio.sleep(0.1)


async def upgrade(
    world: World, labels: tuple[str, ...] = CONTROLLERS, restart_after_s: float = 1.5, every_s: float = 4.0
) -> None:
    """Restart the controllers with the current program, one every `every_s` seconds."""
    for label in labels:
        world.spawn(world.restart(label, restart_after_s, upgrade=True))
        await asyncio.sleep(every_s)


def roll_back(world: World, label: str, restart_after_s: float = 1.0) -> None:
    """Restart a controller with the program in production."""
    world.crash(label)
    world.old.add(label)
    world.spawn(world.restart(label, restart_after_s))


async def set_goal(world: World, goal: int) -> None:
    """Set the goal in the operator settings of all controllers, and restart them one by one."""
    world.operator = operator(goal=goal)
    await upgrade(world)


def wide_job(world: World, number: int, **more) -> dict:  # noqa: ANN003
    """Return a job on so many machines that its record is stored in the compact shape if that is allowed."""
    spec = world.job(number, **({"pieces": 40, "vcpus": 6.0, "builds": ["small"]} | more))
    world.durations[spec["id"]] = 25.0
    return spec


def stored_compact(world: World) -> list[str]:
    """Return the keys of the job records that are stored in the compact shape."""
    return [
        key
        for key, (value, _, _) in world.state.items.items()
        if key.startswith(keys.JOBS) and isinstance(value["spec"], list)
    ]


def play(
    scenario: Scenario, seed: int, old: tuple[str, ...] = CONTROLLERS, late_writes: float = 0.0, **settings
) -> World:  # noqa: ANN003
    """Run the scenario in a simulated day with narrow and wide jobs.

    Checks the invariants, and that no process read a record in a shape that it does not support.
    """

    def build_world() -> World:
        world = World(seed, capacity=60, scale=12.0, coming_limits=True, old=old, operator=operator(**settings))
        world.faults.late_commit_fraction = late_writes
        return world

    def wide_jobs(world: World) -> None:
        for number in range(3):
            world.spawn(submit_later(world, wide_job(world, 40 + number), 3.0 + 20.0 * number))

    world = play_day(build_world, scenario, wide_jobs, seconds=150.0, jobs=8)
    assert not world.unreadable_keys
    assert not world.state.refused_commits
    return world


async def submit_later(world: World, spec: dict, delay_s: float) -> None:
    await asyncio.sleep(delay_s)
    await world.follow(spec)
