"""Machines that consolidation empties, in the simulated world."""

from __future__ import annotations

import asyncio

from cloverplank.basic_types import MachineId
from tests.simulation.loop import run
from tests.simulation.recovery import MAX_WAIT_BESIDE_CAPACITY_S
from tests.simulation.simulated_day import check
from tests.simulation.world import World

STARTUP_S = 60.0  # the replicas are old enough to be moved after this time
POLL_S = 0.5


def test_emptying_that_can_not_go_on_leaves_the_machine_to_other_jobs() -> None:
    """Guards against a job that waits forever beside a machine being emptied, whose next move waits for a replica."""

    async def work() -> World:
        world = World(seed=1, zones=2, capacity=1)
        service = world.job(1, shape="service", rank="prod", loaners=False, apart=True, pieces=4)
        assert await world.submit(service)
        await asyncio.sleep(STARTUP_S)
        machine_in = {machine.zone: machine for machine in world.machines.values() if machine.tasks}
        world.cloud.left = dict.fromkeys(world.cloud.left, -2)  # no machine replaces the one that fails
        machine_in["zone-1"].die()
        owner = next(controller for controller, _ in world.controllers.values() if "zone-0" in controller.shards)
        while not owner.store.jobs[service["id"]].record.missing_count():
            await asyncio.sleep(POLL_S)
        # Replicas of the other zone are missing from now on, while a machine of this one is half emptied.
        state = owner.shards["zone-0"].state
        state.emptying[MachineId(machine_in["zone-0"].id)] = state.clock.monotonic()
        job = world.job(2, yard="zone-0", loaners=False, pieces=1)
        assert await world.submit(job)
        await asyncio.sleep(MAX_WAIT_BESIDE_CAPACITY_S)
        assert world.has_started(job["id"])
        return world

    check(run(work()))
