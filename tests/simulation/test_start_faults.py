"""Controllers that load the key-value store during the first shard assignments: rules hold and work continues."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import pytest

from cloverplank.kvstore import keys
from cloverplank.leader.shard_assignment import SMALL_CPU_CORES
from cloverplank.net.messages import Response
from tests.membership.scenarios import DETECTOR_ENABLED
from tests.simulation.loop import run
from tests.simulation.scenario_actions import decline_assignments, leader, shard_owner
from tests.simulation.simulated_day import check
from tests.simulation.world import World

ZONE = "zone-0"
# With so few cores, the leader and the shard owner are different controllers.
SMALL_CPU = SMALL_CPU_CORES / 2
SHARDS_READ = f"/keys?under={keys.SHARDS}"  # the first read when a controller loads the key-value store


class SlowStartWorld(World):
    """A world in which the controller `slow` reads shards at once, and other keys only after a shard is assigned."""

    slow = "c-0"

    async def send(self, src, addr, method, path, body=None, timeout=2.0) -> Response:
        """Carry a request and its response."""
        is_later_read = path.startswith(f"/keys?under={keys.ROOT}") and not path.startswith(SHARDS_READ)
        if src == self.slow and is_later_read:
            while keys.shard(ZONE) not in self.state.items:
                await asyncio.sleep(0.005)
        return await super().send(src, addr, method, path, body, timeout)


def service(world: World) -> dict:
    return world.job(1, shape="service", lane="web", rank="prod", loaners=False, pieces=6)


# Guards against a shard owner that misses an assignment made while it loads: half of the services then never run.
@pytest.mark.parametrize("seed", range(4))
def test_controller_that_loads_during_the_first_assignments_serves_its_shard(seed: int) -> None:
    async def main() -> None:
        world = SlowStartWorld(seed, cpu=SMALL_CPU, controllers=2)
        await world.submit(service(world))
        await asyncio.sleep(30.0)
        assert world.state.items[keys.shard(ZONE)][0]["node"] == shard_owner(world)
        assert sum(len(machines) for machines in world.rules.running_on.values()) == 6
        check(world)

    run(main())


@dataclass(frozen=True, kw_only=True)
class StoreLoss:
    """How the shard owner loses contact with the key-value store.

    `refused`: whether its requests are refused; otherwise its messages are held or lost. `seconds`: the duration.
    `suspicion`: whether failure detection is enabled. `successor_crashes`: whether the next owner crashes during the
    loss and restarts at once.
    """

    refused: bool = False
    seconds: float = 45.0
    suspicion: bool = False
    successor_crashes: bool = False


async def cut_owner_off_from_store(world: World, loss: StoreLoss) -> None:
    """Cut only the shard owner off from the key-value store; the slow starter is the next owner of the shard."""
    owner = shard_owner(world)
    for label in world.labels:
        if label not in (owner, world.slow):
            decline_assignments(world, label, 60.0)
    await asyncio.sleep(2.0)
    if loss.refused:
        world.state.refused_clients = {owner}
    else:
        world.cut(owner, "state")
    for _ in range(4):
        world.boot("large", ZONE, spot=False)
    if loss.successor_crashes:
        await asyncio.sleep(6.0)
        world.spawn(world.restart(world.slow, 0.2))
    await asyncio.sleep(loss.seconds)
    world.heal()
    world.state.refused_clients = set()
    await asyncio.sleep(30.0)


def run_store_loss(seed: int, loss: StoreLoss) -> World:
    """Run a service whose shard moves to the slow starter; return the world, which holds the rule violations."""

    async def main() -> World:
        operator = DETECTOR_ENABLED if loss.suspicion else None
        world = SlowStartWorld(seed, cpu=SMALL_CPU, controllers=3, operator=operator)
        await world.submit(service(world))
        await asyncio.sleep(40.0)
        assert world.slow not in (leader(world), shard_owner(world)), f"seed {seed}: {world.slow} already has a role"
        await cut_owner_off_from_store(world, loss)
        return world

    return run(main())


# Guards against tasks that run twice: the new owner, loaded during the first assignments, knows neither the former
# owner nor the workers that still have a lease from it. Seen on Seoul's day "apart".
@pytest.mark.parametrize("seed", range(6))
def test_no_task_runs_twice_if_the_next_owner_loaded_during_the_first_assignments(seed: int) -> None:
    check(run_store_loss(seed, StoreLoss()))


# The same fault, with other ways in which the former owner loses the store and the next one takes over.
@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize(
    "loss",
    [
        pytest.param(StoreLoss(refused=True), id="refused"),
        pytest.param(StoreLoss(seconds=8.0), id="back before its grace period ends"),
        pytest.param(StoreLoss(seconds=70.0), id="back long after its workers' leases"),
        pytest.param(StoreLoss(suspicion=True), id="with failure detection"),
        pytest.param(StoreLoss(refused=True, suspicion=True), id="refused, with failure detection"),
        pytest.param(StoreLoss(successor_crashes=True), id="the next owner crashes"),
    ],
)
def test_no_task_runs_twice_however_the_former_owner_loses_the_store(seed: int, loss: StoreLoss) -> None:
    check(run_store_loss(seed, loss))
