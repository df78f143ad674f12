"""Conditions under which a shard owner may assume that all former owners have ended.

Only then does the owner count the leases of workers that it can't reach from that moment, and not from the end of the
grace period in which a former owner may respond to them without access to the key-value store.
"""

from __future__ import annotations

import asyncio
import random

import pytest

from cloverplank.basic_types import Clock, LeaseId, ModRevision, Zone
from cloverplank.controller.composition import Controller
from cloverplank.kvstore import keys
from cloverplank.leader.shard_assignment import SMALL_CPU_CORES
from cloverplank.records.cluster import NodeRecord, ShardRecord
from cloverplank.settings.platform import parse_platform
from cloverplank.shard.shard import Shard
from tests.simulation.loop import run
from tests.simulation.scenario_actions import decline_assignments, leader, shard_owner
from tests.simulation.simulated_day import check
from tests.simulation.transport import SimulatedTransport
from tests.simulation.world import World

ZONE = Zone("zone-0")
SMALL_CPU = SMALL_CPU_CORES / 2  # leader and shard owner are two controllers
OWN_LEASE = LeaseId(50)
WARM_UP_S = 40.0  # time after a controller's start until it knows every owner that may still be running


class StoppedController:
    """A controller that is not running: the test applies changes to its cache and runs its scheduling cycles."""

    def __init__(self) -> None:
        world = World(1, cpu=SMALL_CPU)
        for label in world.labels:
            world.crash(label)
        platform = parse_platform(world.settings_text("c-0", world.peers_text("c-0")))
        clock = Clock(world.now, world.now)
        self.controller = Controller(
            platform, world.operator, clock=clock, http=SimulatedTransport(world, "c-0"), rng=random.Random(1)
        )
        self.cache = self.controller.watch_cache
        self.controller.controller_lease.lease = OWN_LEASE
        self._revision = 0

    def _next_revision(self) -> ModRevision:
        self._revision += 1
        self.cache.revision = self._revision
        return ModRevision(self._revision)

    def add_member(self, node: str, lease: int) -> None:
        self.cache.put(keys.node(node), NodeRecord(ZONE, lease), self._next_revision())

    def expire_lease(self, node: str) -> None:
        """Delete the keys that are attached to a controller's lease."""
        revision = self._next_revision()
        self.cache.delete(keys.node(node), revision)
        stored = self.cache.get(keys.shard(ZONE), ShardRecord)
        if stored is not None and stored.record.node == node:
            self.cache.delete(keys.shard(ZONE), revision)

    def assign_shard(self, node: str, lease: int) -> None:
        self.cache.put(keys.shard(ZONE), ShardRecord(ZONE, node, lease), self._next_revision())

    def reload_cache(self) -> None:
        """Notify the controller that its cache was reloaded."""
        self.controller._on_key_changed("")

    def cycle(self) -> None:
        """Run the first steps of a scheduling cycle."""
        self.controller.owned.update()
        self.controller.owned.check_former_owners()

    @property
    def shard(self) -> Shard:
        return self.controller.shards[ZONE]


def run_scenario(scenario) -> None:
    """Run a scenario with a controller that has run for a while.

    `scenario`: a coroutine function that takes the controller.
    """

    async def main() -> None:
        controller = StoppedController()
        controller.reload_cache()
        controller.add_member("c-1", 11)
        controller.add_member("c-2", 12)
        controller.assign_shard("c-1", 11)
        for _ in range(int(WARM_UP_S)):
            controller.cycle()
            await asyncio.sleep(1.0)
        await scenario(controller)

    run(main())


def test_former_owner_that_joined_again_has_ended() -> None:
    async def scenario(controller: StoppedController) -> None:
        controller.expire_lease("c-1")
        controller.add_member("c-1", 21)
        controller.assign_shard("c-0", OWN_LEASE)
        controller.cycle()
        assert controller.shard.ownership.former_owners_ended

    run_scenario(scenario)


def test_former_owner_that_is_absent_may_still_answer_workers() -> None:
    async def scenario(controller: StoppedController) -> None:
        controller.expire_lease("c-1")
        controller.assign_shard("c-0", OWN_LEASE)
        controller.cycle()
        assert not controller.shard.ownership.former_owners_ended

    run_scenario(scenario)


# If an owner whose assignment began and ended between two cycles is not recorded, a task runs twice: that owner still
# renews the leases of its workers, but the new owner assumes that the leases have expired and the tasks have ended.
@pytest.mark.parametrize("owners_in_between", [["c-2"], ["c-2", "c-1", "c-2"]], ids=["one owner", "several owners"])
def test_former_owner_between_two_scheduling_cycles_may_still_answer_workers(owners_in_between: list[str]) -> None:
    async def scenario(controller: StoppedController) -> None:
        leases = {"c-1": 21, "c-2": 12}
        controller.expire_lease("c-1")
        controller.add_member("c-1", leases["c-1"])
        for node in owners_in_between:
            controller.assign_shard(node, leases[node])
            controller.expire_lease(node)  # the controller is cut off from the key-value store and continues to run
            leases[node] += 10
            if node == "c-1":
                controller.add_member(node, leases[node])
        controller.assign_shard("c-0", OWN_LEASE)
        controller.cycle()
        assert not controller.shard.ownership.former_owners_ended

    run_scenario(scenario)


# The same failure: owners whose assignments began and ended while the cache was reloaded are not recorded.
def test_former_owners_are_unknown_after_everything_was_read_again() -> None:
    async def scenario(controller: StoppedController) -> None:
        controller.expire_lease("c-1")
        controller.add_member("c-1", 21)
        controller.reload_cache()
        controller.assign_shard("c-0", OWN_LEASE)
        controller.cycle()
        assert not controller.shard.ownership.former_owners_ended

    run_scenario(scenario)


def test_owner_that_held_the_shard_for_long_is_remembered_from_the_end_of_its_assignment() -> None:
    async def scenario(controller: StoppedController) -> None:
        await asyncio.sleep(3 * WARM_UP_S)  # the controller runs no scheduling cycle during this time
        controller.expire_lease("c-1")
        controller.assign_shard("c-0", OWN_LEASE)
        controller.cycle()
        assert not controller.shard.ownership.former_owners_ended

    run_scenario(scenario)


async def owner_between_two_cycles_of_the_next(world: World) -> None:
    """Give the shard two consecutive former owners, the second one for less than a scheduling cycle of the third.

    The second one is cut off from the key-value store and keeps its workers; the third one can't reach these, and the
    cloud is down, so that no machine is terminated.
    """
    first, lead = shard_owner(world), leader(world)
    second, third = (label for label in world.labels if label not in (first, lead))
    workers = [machine for machine in world.machines.values() if machine.tasks]
    world.boot("large", ZONE, spot=False)
    await asyncio.sleep(14.0)
    world.cloud.down = True
    decline_assignments(world, third, 6.5)
    world.controllers[third][0].scheduling_loop.pause_after = lambda took_s: 10.0
    await asyncio.sleep(1.3)  # until the other controllers have received this by gossip
    world.crash(first)
    while not world.controllers[second][0].shards:
        await asyncio.sleep(0.02)
    world.start(first)
    decline_assignments(world, first, 60.0)
    world.cut(second, "state")
    for machine in world.machines.values():
        world.cut(third if machine in workers else second, machine.id)
    await asyncio.sleep(40.0)
    assert world.controllers[third][0].shards or world.rules.violations
    world.heal()
    world.cloud.down = False
    await asyncio.sleep(30.0)


# A task runs twice if the owner of a shard does not know of an owner between its former assignment and its own.
@pytest.mark.parametrize("seed", range(3))
def test_no_task_runs_twice_if_an_owner_came_and_went_between_two_cycles_of_the_next(seed: int) -> None:
    async def main() -> None:
        world = World(seed, cpu=SMALL_CPU, controllers=4)
        await world.submit(world.job(1, shape="service", lane="web", rank="prod", loaners=False, pieces=4))
        await asyncio.sleep(20.0)
        await owner_between_two_cycles_of_the_next(world)
        check(world)

    run(main())
