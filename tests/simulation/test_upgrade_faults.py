"""Rolling upgrades from production's version in the simulated world, with faults during the upgrade."""

from __future__ import annotations

import asyncio

import pytest

from tests.simulation.job_graphs import diamond, submit_in_turn, wait_for_end, wait_until_ready
from tests.simulation.scenario_actions import leader
from tests.simulation.simulated_day import check, day
from tests.simulation.world import World


async def upgrade_in_turn(world: World, every_s: float) -> None:
    """Upgrade the controllers one after another, with a restart of the next one every `every_s` seconds."""
    for label in list(world.labels):
        world.spawn(world.restart(label, 1.5, upgrade=True))
        await asyncio.sleep(every_s)


async def rolling_upgrade(world: World) -> None:
    """Upgrade all controllers in turn, without a fault."""
    await asyncio.sleep(10)
    await upgrade_in_turn(world, 8.0)


async def rolling_upgrade_with_crash_and_outage(world: World) -> None:
    """Restart a controller that is not upgraded yet, and take the store down while the last one is upgraded."""
    await asyncio.sleep(10)
    world.spawn(world.restart("c-0", 1.0, upgrade=True))
    await asyncio.sleep(5)
    world.spawn(world.restart("c-2", 0.2))
    await asyncio.sleep(5)
    world.spawn(world.restart("c-1", 1.0, upgrade=True))
    await asyncio.sleep(4)
    world.state.outage(True)
    world.spawn(world.restart("c-2", 1.0, upgrade=True))
    await asyncio.sleep(10)
    world.state.outage(False)


async def rolling_upgrade_with_refusal(world: World) -> None:
    """Have the store refuse the leader while leadership moves between versions."""
    await asyncio.sleep(10)
    world.spawn(world.restart("c-1", 0.2, upgrade=True))
    await asyncio.sleep(3)
    world.state.refused_clients = {leader(world)}
    await asyncio.sleep(9)
    world.state.refused_clients = set()
    for _ in range(3):
        world.spawn(world.restart(leader(world), 0.3))
        await asyncio.sleep(3)
    await upgrade_in_turn(world, 3.0)


@pytest.mark.parametrize(
    "fault", [rolling_upgrade, rolling_upgrade_with_crash_and_outage, rolling_upgrade_with_refusal]
)
@pytest.mark.parametrize("seed", [31, 32])
async def test_versions_serve_side_by_side(fault, seed: int) -> None:
    """All controllers start as production's version; job graphs are submitted after the last upgrade."""
    world = World(seed=seed, coming_limits=True, old=("c-0", "c-1", "c-2"))

    async def upgrade(world: World) -> None:
        await fault(world)
        assert not world.old
        await wait_until_ready(world)
        assert all("cp/wait/" not in key for key in world.state.items)
        specs = diamond(world, 200)
        await submit_in_turn(world, specs)
        world.lower_store_limits()
        upgraded.append([await wait_for_end(world, spec) for spec in specs])

    upgraded: list[list] = []
    await day(world, upgrade, seconds=90.0, jobs=10)
    check(world)
    assert upgraded == [["done"] * 4]
    assert world.state.items["cp/format"][0] == {"version": 1}
    assert not world.state.refused_commits
