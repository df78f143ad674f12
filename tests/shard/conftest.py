"""Fixtures of the shard tests: a simulated cluster in which a service runs on the machines of one shard."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import pytest

from cloverplank.basic_types import MachineId, MonotonicTime, Zone
from cloverplank.controller.composition import Controller
from cloverplank.shard.machine import Machine
from cloverplank.shard.shard import Shard
from tests.simulation.loop import run
from tests.simulation.world import World

REPLICAS = 6
STARTUP_S = 30  # all replicas run after this time


@dataclass(frozen=True)
class ServiceCluster:
    """A simulated cluster that runs a service."""

    world: World
    spec: dict[str, Any]

    @property
    def owner(self) -> Controller:
        """The first controller that owns a shard."""
        return next(controller for controller, _ in self.world.controllers.values() if controller.shards)

    @property
    def owner_name(self) -> str:
        return next(label for label, (controller, _) in self.world.controllers.items() if controller.shards)

    @property
    def shard(self) -> Shard:
        return next(iter(self.owner.shards.values()))

    @property
    def busy_worker(self):
        """The first worker that runs tasks."""
        return next(worker for worker in self.world.machines.values() if worker.alive and worker.tasks)

    def running(self) -> int:
        return running_tasks(self.world)


def running_tasks(world: World) -> int:
    return sum(len(machines) for machines in world.rules.running_on.values())


@pytest.fixture
def run_service() -> Callable[..., Any]:
    """Run a scenario in a cluster whose service has started. The same seed repeats the same run."""

    def run_scenario(scenario: Callable[[ServiceCluster], Awaitable[Any]], *, seed: int) -> Any:
        async def main() -> Any:
            world = World(seed=seed)
            spec = world.job(1, shape="service", lane="web", rank="prod", loaners=False, pieces=REPLICAS)
            await world.submit(spec)
            await asyncio.sleep(STARTUP_S)
            return await scenario(ServiceCluster(world, spec))

        return run(main())

    return run_scenario


@pytest.fixture
def machine() -> Machine:
    """A machine that has not sent a heartbeat yet."""
    return Machine(MachineId("m-1"), Zone("a"), MonotonicTime(0.0))
