"""Copies of command requests that were executed and answered: none of them starts a task."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from cloverplank.net.messages import Response
from tests.simulation.network import COMMANDS_PATH
from tests.simulation.simulated_day import check
from tests.simulation.worker import Machine
from tests.simulation.world import World

MAX_WAIT_S = 90.0
FILLER_INTERVAL_S = 0.5
BACK_AFTER_S = 0.6


class CopyingWorld(World):
    """A world that keeps every command request that a worker has answered."""

    def begin(self, **job: object) -> None:
        """Create the watched job, whose first attempt fails if `self.fails` is set."""
        self.answered: list[tuple[Machine, bytes]] = []
        self.fillers = 0
        self.spec = self.job(1, **({"pieces": 1, "vcpus": 1.0} | job))

    async def send(self, src, addr, method, path, body=None, timeout=2.0) -> Response:
        """Carry a request and its response, and keep the request if it holds commands."""
        response = await super().send(src, addr, method, path, body, timeout)
        if path == COMMANDS_PATH and body:
            self.answered.append((self.machines[self._host(addr)], body))
        return response

    @property
    def task(self) -> str:
        return f"{self.spec['id']}/0"

    async def until(self, condition: Callable[[], bool], *, with_fillers: bool = False) -> None:
        """Wait until a condition holds; short jobs make the owner send commands, and acknowledgements with them."""
        deadline = self.now() + MAX_WAIT_S
        while not condition():
            assert self.now() < deadline
            if with_fillers:
                await self.submit_filler()
            await asyncio.sleep(FILLER_INTERVAL_S if with_fillers else 0.02)

    async def submit_filler(self) -> None:
        self.fillers += 1
        spec = self.job(1000 + self.fillers, pieces=4, vcpus=0.5)
        self.durations[spec["id"]] = 1.0
        await self.submit(spec)

    async def first_start(self, runs_s: float) -> Machine:
        """Submit the watched job on a machine that has its image, and return the machine once the task runs there."""
        await self.submit_filler()
        await self.until(lambda: any(m.images and not m.unfinished_tasks() for m in self.machines.values()))
        self.durations[self.spec["id"]] = runs_s
        await self.submit(self.spec)
        await self.until(lambda: bool(self.rules.running_on.get(self.task)))
        await asyncio.sleep(0.1)
        return self.machines[next(iter(self.rules.running_on[self.task]))]

    async def forgotten_by(self, machine: Machine) -> None:
        """Wait until the first attempt has been acknowledged on its machine."""
        key = next(key for key in machine.tasks if key[0] == self.task)
        await self.until(lambda: key not in machine.tasks, with_fillers=True)

    async def deliver_copies(self) -> None:
        """Deliver every answered request once more, and check that no task starts and no rule is broken."""
        starts = self.rules.starts
        started = [body for _, body in self.answered if self.task in str(msgspec.msgpack.decode(body)["orders"])]
        assert started, "the task was not started by a direct command"
        for machine, body in list(self.answered):
            if machine.alive:
                await machine.commands(body)
        check(self)
        assert self.rules.starts == starts


def fail_first_attempt(world: CopyingWorld) -> None:
    world.fails = lambda machine, task: (task.name, task.attempt) == (world.task, 1)


async def test_copied_start_does_not_run_a_failed_task_again_beside_its_replacement() -> None:
    world = CopyingWorld(seed=1)
    world.begin()
    fail_first_attempt(world)
    machine = await world.first_start(runs_s=2.0)
    world.durations[world.spec["id"]] = 200.0
    await world.forgotten_by(machine)
    await world.until(lambda: bool(world.rules.running_on[world.task]), with_fillers=True)
    await world.deliver_copies()
