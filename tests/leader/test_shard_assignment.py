"""Shard assignment: which controller the leader prefers. On small machines, leader and shard owner are separate."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from cloverplank.basic_types import ModRevision, NodeId
from cloverplank.kvstore import keys
from cloverplank.leader.shard_assignment import SMALL_CPU_CORES, START_GRACE_S, AssignmentCandidate
from cloverplank.records.cluster import NodeRecord
from tests.simulation.loop import run
from tests.simulation.world import World

SMALL_CPU = SMALL_CPU_CORES / 2
LARGE_CPU = SMALL_CPU_CORES * 2
HEALTHY = AssignmentCandidate(
    NodeId("c-0"), NodeRecord("zone-0", 7), ModRevision(1), in_zone=True, healthy=True, role_count=0, worker_count=0
)


def leader(world: World) -> str:
    return next(
        label
        for label, (controller, _) in world.controllers.items()
        if controller.controller_lease.leadership_revision()
    )


def shard_owners(world: World) -> dict[str, str]:
    return {zone: label for label, (controller, _) in world.controllers.items() for zone in controller.shards}


@pytest.mark.parametrize("seed", range(3))
def test_leader_owns_no_shard_while_another_controller_of_the_zone_is_healthy(seed: int) -> None:
    """On a small machine, one process can't handle both a zone's heartbeats and the leader's scheduling cycles."""

    async def main() -> None:
        world = World(seed, cpu=SMALL_CPU)
        await asyncio.sleep(6.0)
        first = shard_owners(world)["zone-0"]
        assert first != leader(world)
        world.crash(first)
        await asyncio.sleep(8.0)
        assert shard_owners(world)["zone-0"] not in (first, leader(world))

    run(main())


def test_leader_owns_the_shard_if_no_other_controller_is_left() -> None:
    async def main() -> None:
        world = World(1, cpu=SMALL_CPU)
        await asyncio.sleep(6.0)
        last = leader(world)
        for label in [label for label in world.labels if label != last]:
            world.crash(label)
        await asyncio.sleep(10.0)
        assert shard_owners(world) == {"zone-0": last}

    run(main())


@pytest.mark.parametrize(
    ("better", "worse"),
    [
        pytest.param({"role_count": 2}, {"healthy": False}, id="health takes precedence over roles"),
        pytest.param({}, {"role_count": 1}, id="fewer roles are preferred"),
        pytest.param(
            {"healthy": False, "role_count": 3}, {"in_zone": False}, id="zone takes precedence over health and roles"
        ),
        pytest.param({"worker_count": 5}, {}, id="more workers are preferred"),
    ],
)
def test_candidate_preference(better: dict, worse: dict) -> None:
    """A controller that has just stopped still holds its lease, so health takes precedence over load."""
    preferred = msgspec.structs.replace(HEALTHY, **better)
    assert preferred.preference() > msgspec.structs.replace(HEALTHY, **worse).preference()


@pytest.mark.parametrize("seed", range(3))
def test_leader_owns_the_shard_on_large_machines(seed: int) -> None:
    """If the leader owns the shard, a job's zone allocation and its placement take a single commit."""

    async def main() -> None:
        world = World(seed, cpu=LARGE_CPU)
        await asyncio.sleep(6.0)
        assert shard_owners(world) == {"zone-0": leader(world)}

    run(main())


def start_late(world: World, delays_s: dict[str, float]) -> None:
    """Delay the start of controllers of a new world, each by its number of seconds, as on a busy machine."""
    for label, delay_s in delays_s.items():
        world.crash(label)
        world.loop.call_later(delay_s, world.start, label)


def first_assignment(world: World, zone: str) -> tuple[str, str]:
    """Return the first owner of a zone's shard, and the leader that assigned it."""
    assigning_leader = ""
    for change in world.state.log:
        if change.get("put") == keys.LEADER:
            assigning_leader = change["value"]["node"]
        if change.get("put") == keys.shard(zone):
            return change["value"]["node"], assigning_leader
    raise AssertionError(f"shard {zone} was never assigned to a controller")


async def wait_until_assigned(world: World, zone: str, within_s: float) -> float:
    """Wait until a zone's shard has an owner, and return how many seconds that took.

    Raises TimeoutError after `within_s` seconds.
    """
    began_at = world.now()
    async with asyncio.timeout(within_s):
        while keys.shard(zone) not in world.state.items:
            await asyncio.sleep(0.05)
    return world.now() - began_at


# Guards against a first leader that assigns the shard to itself while its peers are still starting: it keeps both roles.
@pytest.mark.parametrize(
    "delays_s",
    [
        pytest.param({"c-1": 0.3, "c-2": 0.6}, id="both a little late"),
        pytest.param({"c-1": 3.0, "c-2": 5.0}, id="both late"),
        pytest.param({"c-1": 8.0, "c-2": 8.0}, id="both very late"),
        pytest.param({"c-2": 4.0}, id="one late"),
    ],
)
def test_first_leader_leaves_the_shard_to_controllers_that_start_late(delays_s: dict[str, float]) -> None:
    async def main() -> None:
        world = World(3, cpu=SMALL_CPU)
        start_late(world, delays_s)
        await wait_until_assigned(world, "zone-0", START_GRACE_S + 2.0)
        owner, assigning_leader = first_assignment(world, "zone-0")
        assert owner != assigning_leader

    run(main())


def test_first_leader_owns_the_shard_soon_if_no_other_controller_ever_starts() -> None:
    async def main() -> None:
        world = World(3, cpu=SMALL_CPU)
        for label in ("c-1", "c-2"):
            world.crash(label)
        took_s = await wait_until_assigned(world, "zone-0", START_GRACE_S + 2.0)
        assert took_s >= START_GRACE_S / 2
        assert first_assignment(world, "zone-0") == ("c-0", "c-0")

    run(main())


def test_wait_for_peers_ends_with_the_first_heartbeat_of_a_worker() -> None:
    """Machines may be up within a second, and without a shard owner no controller responds to their heartbeats."""

    async def main() -> None:
        world = World(3, cpu=SMALL_CPU)
        for label in ("c-1", "c-2"):
            world.crash(label)
        world.boot("small", "zone-0", spot=False)
        first_heartbeat_after_s = max(machine.up_at for machine in world.machines.values()) - world.now()
        assert (
            await wait_until_assigned(world, "zone-0", START_GRACE_S) < first_heartbeat_after_s + 2.5 * world.report_s
        )
        assert first_heartbeat_after_s + 2.5 * world.report_s < START_GRACE_S + 3.0

    run(main())


def test_first_leader_does_not_own_the_shard_of_a_zone_without_controllers() -> None:
    """The only controllers that can own the shard are in another zone, and the leader's peers start late.

    A leader must wait for them there, too, instead of assigning the shard to itself.
    """

    async def main() -> None:
        world = World(3, cpu=SMALL_CPU, zones=2, controllers=4)
        world.home = dict.fromkeys(world.labels, "zone-0")
        for label in world.labels:
            world.crash(label)
        world.start("c-0")
        for number, label in enumerate(("c-1", "c-2", "c-3")):
            world.loop.call_later(3.0 + number, world.start, label)
        for zone in world.zones:
            await wait_until_assigned(world, zone, START_GRACE_S + 2.0)
            owner, assigning_leader = first_assignment(world, zone)
            assert owner != assigning_leader

    run(main())


def test_shard_is_assigned_if_the_leader_is_replaced_while_it_waits() -> None:
    async def main() -> None:
        world = World(3, cpu=SMALL_CPU)
        start_late(world, {"c-1": 2.0, "c-2": 6.0})
        await asyncio.sleep(1.5)
        assert keys.shard("zone-0") not in world.state.items
        world.spawn(world.restart("c-0", 7.0))
        await wait_until_assigned(world, "zone-0", 2 * START_GRACE_S)
        owner, assigning_leader = first_assignment(world, "zone-0")
        assert owner != assigning_leader

    run(main())


@pytest.mark.parametrize("seed", range(4))
def test_workers_wait_no_longer_for_an_owner_after_all_controllers_restart(seed: int) -> None:
    """Two of three controllers do not restart: while workers run, the third must not wait for them."""

    async def main() -> None:
        world = World(seed, cpu=SMALL_CPU)
        await world.submit(world.job(1, shape="service", lane="web", rank="prod", loaners=False, pieces=4))
        await asyncio.sleep(20.0)
        assert any(machine.tasks for machine in world.machines.values())
        for label in world.labels:
            world.crash(label)
        world.state.expire()
        await asyncio.sleep(6.0)  # longer than the leases of the controllers
        world.state.expire()
        assert keys.shard("zone-0") not in world.state.items
        world.start("c-0")
        assert await wait_until_assigned(world, "zone-0", START_GRACE_S) < 1.5

    run(main())
