"""Days on which requests that were executed and answered arrive once more."""

from __future__ import annotations

import asyncio

from tests.simulation.scenario_actions import busy_machines, cancel_running_jobs, hang_machines, target_controller
from tests.simulation.simulated_day import day
from tests.simulation.worker import Machine, Task
from tests.simulation.world import World

REPEATED_FRACTION = 0.5
FAILING_FRACTION = 0.3
FAULT_INTERVAL_S = 7.0
FAULTS = 7
JOBS = 24
BACK_WITHIN_A_SECOND_S = (0.1, 0.9)


async def machines_and_controllers_return_at_once(world: World) -> None:
    """Crash controllers and hang machines for less than a second each, and cancel jobs."""
    for number in range(FAULTS):
        await asyncio.sleep(FAULT_INTERVAL_S)
        pause_s = world.random.uniform(*BACK_WITHIN_A_SECOND_S)
        if number % 2:
            hang_machines(world, busy_machines(world)[:3], pause_s)
        else:
            world.spawn(world.restart(target_controller(world), pause_s))
        cancel_running_jobs(world, 1)


async def play_with_repeated_commands(
    seed: int, world_type: type[World] = World, *, other_requests: float = 0.0
) -> World:
    """Play a day on which tasks fail, and half of the answered command requests are repeated.

    `other_requests` is the fraction of all other answered requests that are repeated.
    """
    world = world_type(seed=seed, zones=1 + seed % 2, capacity=3 + seed % 4)
    world.targets_shard_owner = seed % 3 == 0
    world.faults.repeated_command_fraction = REPEATED_FRACTION
    world.faults.repeated_request_fraction = other_requests
    failures: dict[tuple[str, int], bool] = {}

    def fails(machine: Machine, task: Task) -> bool:
        return failures.setdefault((task.name, task.attempt), world.random.random() < FAILING_FRACTION)

    world.fails = fails
    await day(world, machines_and_controllers_return_at_once, jobs=JOBS)
    return world
