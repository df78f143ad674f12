"""Copies of command requests that were executed and answered: none of them starts a task.

Each test delivers all answered requests once more, after an event that changes what the start commands in them mean.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
import pytest

from cloverplank.net.messages import Response
from tests.simulation.network import COMMANDS_PATH
from tests.simulation.scenario_actions import hang_machines, shard_owner
from tests.simulation.simulated_day import check
from tests.simulation.worker import Machine
from tests.simulation.world import World

MAX_WAIT_S = 90.0
FILLER_INTERVAL_S = 0.5
BACK_AFTER_S = 0.6
LONG_S = 200.0  # longer than any test
NOTICE_S = 5.0


class CopyingWorld(World):
    """A world with one watched job, that keeps every command request that a worker has answered."""

    def begin(self) -> None:
        """Create the watched job."""
        self.answered: list[tuple[Machine, bytes]] = []
        self.fillers = 0
        self.started: list[tuple[str, str, int]] = []  # the machine, task and attempt of each start
        self._record_starts()
        self.spec = self.job(1, pieces=1, vcpus=1.0)
        self.task = f"{self.spec['id']}/0"

    def _record_starts(self) -> None:
        real = self.rules.task_started

        def recorded(name: str, attempt: int, machine: Machine) -> None:
            self.started.append((machine.id, name, attempt))
            real(name, attempt, machine)

        self.rules.task_started = recorded

    async def send(self, src, addr, method, path, body=None, timeout=2.0) -> Response:
        """Carry a request and its response, and keep the request if it holds commands."""
        response = await super().send(src, addr, method, path, body, timeout)
        if path == COMMANDS_PATH and body:
            self.answered.append((self.machines[self._host(addr)], body))
        return response

    async def until(self, condition: Callable[[], bool], *, with_fillers: bool = False) -> None:
        """Wait until a condition holds; short jobs make the owner send commands, and acknowledgements with them."""
        deadline = self.now() + MAX_WAIT_S
        while not condition():
            assert self.now() < deadline
            if with_fillers:
                await self.submit_filler()
            await asyncio.sleep(FILLER_INTERVAL_S if with_fillers else 0.02)

    async def submit_filler(self) -> None:
        """Submit a job of four short tasks."""
        self.fillers += 1
        spec = self.job(1000 + self.fillers, pieces=4, vcpus=0.5)
        self.durations[spec["id"]] = 1.0
        await self.submit(spec)

    async def first_start(self, runs_s: float) -> Machine:
        """Submit the watched job while a machine has its image; return the machine that was sent its first attempt."""
        await self.submit_filler()
        await self.until(lambda: any(m.images and not m.unfinished_tasks() for m in self.machines.values()))
        self.durations[self.spec["id"]] = runs_s
        await self.submit(self.spec)
        await self.until(lambda: any((self.task, 1) in m.tasks for m in self.machines.values()))
        return next(m for m in self.machines.values() if (self.task, 1) in m.tasks)

    async def acknowledged_by(self, machine: Machine) -> None:
        """Wait until the worker has forgotten the first attempt."""
        await self.until(lambda: (self.task, 1) not in machine.tasks, with_fillers=True)

    async def deliver_copies(self) -> None:
        """Deliver every answered request once more; check that no attempt in them starts and no rule is broken."""
        sent = {
            (machine.id, command["piece"], command["try"])
            for machine, body in self.answered
            for command in msgspec.msgpack.decode(body)["orders"]
            if command["verb"] == "start"
        }
        assert any(task == self.task for _, task, _ in sent), "the task was not started by a direct command"
        started_before = len(self.started)
        for machine, body in list(self.answered):
            if machine.alive:
                await machine.commands(body)
        check(self)
        assert not sent & set(self.started[started_before:])


async def fails(world: CopyingWorld) -> Machine:
    """Let the first attempt fail, and its replacement run."""
    world.fails = lambda machine, task: (task.name, task.attempt) == (world.task, 1)
    machine = await world.first_start(runs_s=2.0)
    world.durations[world.spec["id"]] = LONG_S
    await world.acknowledged_by(machine)
    await world.until(lambda: bool(world.rules.running_on[world.task]), with_fillers=True)
    return machine


async def is_done(world: CopyingWorld) -> Machine:
    """Let the job complete."""
    machine = await world.first_start(runs_s=2.0)
    await world.acknowledged_by(machine)
    return machine


async def is_moved(world: CopyingWorld) -> Machine:
    """Move the task off its machine, which the cloud announces to reclaim and then leaves."""
    machine = await world.first_start(runs_s=LONG_S)
    machine.warning_until = world.now() + NOTICE_S
    machine.changed.set()
    await world.until(lambda: not world.rules.running_on[world.task])
    machine.warning_until = None
    machine.changed.set()
    await world.acknowledged_by(machine)
    await world.until(lambda: bool(world.rules.running_on[world.task]), with_fillers=True)
    return machine


async def is_cancelled(world: CopyingWorld) -> Machine:
    """Cancel the job while it runs."""
    machine = await world.first_start(runs_s=LONG_S)
    assert await world.cancel_job(world.spec["id"]) == "cancelled"
    await world.acknowledged_by(machine)
    return machine


async def is_refused(world: CopyingWorld) -> Machine:
    """Let the worker refuse the first start, since it does not find the job yet."""
    spec = dict(world.spec)
    world.jobs.pop(spec["id"])
    machine = await world.first_start(runs_s=LONG_S)
    assert machine.tasks[world.task, 1].cause == "no_such"
    world.jobs[spec["id"]] = spec
    await world.acknowledged_by(machine)
    await world.until(lambda: bool(world.rules.running_on.get(world.task)), with_fillers=True)
    return machine


async def is_evicted(world: CopyingWorld) -> Machine:
    """Cut the machine off for longer than its lease, until the replacement runs; the cloud terminates nothing."""
    machine = await world.first_start(runs_s=LONG_S)
    spare = world.machines[world.boot(machine.type, machine.zone, machine.spot)]
    await world.until(lambda: spare.sequence > 1)
    world.cloud.down = True
    world.cut(machine.id, "*")
    await world.until(lambda: world.rules.running_on[world.task] not in (set(), {machine.id}))
    world.heal()
    await asyncio.sleep(world.report_s)
    world.cloud.down = False
    assert (world.task, 1) not in machine.tasks
    return machine


Event = Callable[[CopyingWorld], Awaitable[Machine]]
EVENTS = (fails, is_done, is_moved, is_cancelled, is_refused, is_evicted)


@pytest.fixture(params=EVENTS, ids=lambda event: event.__name__)
def event(request: pytest.FixtureRequest) -> Event:
    """What ends the first attempt; returns the machine that it was sent to, once that has forgotten it."""
    return request.param


async def test_copied_start_does_not_run_a_failed_task_again_beside_its_replacement() -> None:
    world = CopyingWorld(seed=1)
    world.begin()
    await fails(world)
    await world.deliver_copies()


async def test_copied_start_does_not_start_a_task_again_after_it(event: Event) -> None:
    world = CopyingWorld(seed=2)
    world.begin()
    await event(world)
    await world.deliver_copies()


async def test_copied_start_after_the_owner_is_back_within_a_second(event: Event) -> None:
    world = CopyingWorld(seed=3)
    world.begin()
    await event(world)
    owner = shard_owner(world)
    world.crash(owner)
    await world.deliver_copies()
    await world.restart(owner, BACK_AFTER_S)
    await world.deliver_copies()
    await world.until(lambda: bool(world.controllers[owner][0].owned.shards) or shard_owner(world) != owner)
    await asyncio.sleep(world.report_s)
    await world.deliver_copies()


async def test_copied_start_after_the_machine_is_back_within_a_second(event: Event) -> None:
    world = CopyingWorld(seed=4)
    world.begin()
    machine = await event(world)
    hang_machines(world, [machine], BACK_AFTER_S)
    await world.deliver_copies()
    await asyncio.sleep(BACK_AFTER_S)
    await world.deliver_copies()


async def test_copied_start_after_the_token_was_renewed(event: Event) -> None:
    world = CopyingWorld(seed=5)
    world.begin()
    work = asyncio.ensure_future(event(world))
    while not work.done():
        for controller, _ in world.controllers.values():
            for shard in controller.shards.values():
                shard.ownership.token_renewal_wanted = True
        await asyncio.sleep(1.0)
    work.result()
    await world.deliver_copies()
