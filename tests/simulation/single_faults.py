"""Scenarios of one fault each, which run while the jobs of a simulated day arrive and run."""

from __future__ import annotations

import asyncio

from tests.simulation.scenario_actions import busy_machines, hang_machines, shard_owner
from tests.simulation.simulated_day import Scenario
from tests.simulation.world import World


async def shard_owner_crashes(world: World) -> None:
    """Crash the shard owner three times; each time it restarts at once or after its lease has expired."""
    for pause in (20, 6, 9):
        await asyncio.sleep(pause)
        world.spawn(world.restart(shard_owner(world), world.random.choice([0.2, 6.0])))


async def all_controllers_crash(world: World) -> None:
    """Crash all controllers at once; each restarts after 0.1, 0.4 or 5 s."""
    await asyncio.sleep(22)
    for label in world.labels:
        world.spawn(world.restart(label, world.random.choice([0.1, 0.4, 5.0])))


async def store_outage(world: World) -> None:
    """Take the key-value store down for longer than a controller's lease."""
    await asyncio.sleep(20)
    world.state.outage(True)
    await asyncio.sleep(14)
    world.state.outage(False)


async def store_refuses_shard_owner_around_outage(world: World) -> None:
    """Let the store refuse the shard owner for 24 s, with an outage for all controllers for 6 s of them."""
    await asyncio.sleep(18)
    world.state.refused_clients = {shard_owner(world)}
    await asyncio.sleep(8)
    world.state.outage(True)
    await asyncio.sleep(6)
    world.state.outage(False)
    await asyncio.sleep(10)
    world.state.refused_clients = set()


async def shard_owner_partitioned(world: World) -> None:
    """Partition the shard owner from all other hosts."""
    await asyncio.sleep(20)
    world.cut(shard_owner(world), "*")
    await asyncio.sleep(25)
    world.heal()


async def shard_owner_partitioned_from_workers(world: World) -> None:
    """Partition the shard owner from the workers only."""
    await asyncio.sleep(20)
    world.cut(shard_owner(world), "workers")
    await asyncio.sleep(20)
    world.heal()


async def shard_owner_partitioned_from_store(world: World) -> None:
    """Partition the shard owner from the key-value store only."""
    await asyncio.sleep(20)
    world.cut(shard_owner(world), "state")
    await asyncio.sleep(30)
    world.heal()


async def machines_hang(world: World) -> None:
    """Hang machines until just before, at, and after the expiry of their leases."""
    for length in (7.0, 8.5, 12.0):
        await asyncio.sleep(12)
        machines = busy_machines(world)
        for machine in machines[:2]:
            machine.hung = True
        await asyncio.sleep(length)
        for machine in machines[:2]:
            machine.hung = False


async def spot_machines_reclaimed_in_cloud_outage(world: World) -> None:
    """Reclaim all spot machines, half of them without notice, while the cloud is down."""
    await asyncio.sleep(18)
    world.cloud.down = True
    for number, machine in enumerate([m for m in world.machines.values() if m.spot and m.alive]):
        if number % 2:
            machine.reclaim()
        else:
            machine.warning_until = world.now() + 6
            world.loop.call_later(6, machine.reclaim)
    await asyncio.sleep(12)
    world.cloud.down = False


async def machines_die(world: World) -> None:
    """Fail a machine with tasks, three times."""
    for _ in range(3):
        await asyncio.sleep(10)
        if busy_machines(world):
            busy_machines(world)[0].die()


async def machines_receive_nothing(world: World) -> None:
    """Partition the inbound side of machines for 6 to 30 s: heartbeats arrive, responses and commands do not."""
    for length in (6.0, 20.0, 30.0):
        await asyncio.sleep(9)
        busy = [machine.id for machine in busy_machines(world)[:2]]
        world.faults.receives_nothing.update(busy)
        await asyncio.sleep(length)
        world.faults.receives_nothing.difference_update(busy)


async def machines_receive_nothing_in_cloud_outage(world: World) -> None:
    """Partition the inbound side of machines and crash the shard owner, while no release can prove their tasks gone."""
    await asyncio.sleep(16)
    world.cloud.down = True
    world.faults.receives_nothing.update([machine.id for machine in busy_machines(world)[:2]])
    await asyncio.sleep(8)
    world.spawn(world.restart(shard_owner(world), 0.1))
    await asyncio.sleep(45)
    world.cloud.down = False
    world.faults.receives_nothing.clear()


async def late_heartbeat_copies(world: World) -> None:
    """Deliver late copies of half of all heartbeats, while machines fail and hang and the shard owner crashes."""
    world.faults.late_heartbeat_copy_fraction = 0.5
    await asyncio.sleep(18)
    for number, machine in enumerate(busy_machines(world)[:3]):
        if number % 2:
            machine.die()
        else:
            hang_machines(world, [machine], 11)
    world.spawn(world.restart(shard_owner(world), 0.2))
    await asyncio.sleep(15)
    world.spawn(world.restart(shard_owner(world), 5.0))
    await asyncio.sleep(20)
    world.faults.late_heartbeat_copy_fraction = 0.0


async def shard_owner_reaches_only_workers(world: World) -> None:
    """Partition the shard owner from the key-value store and the other controllers, but not from its workers."""
    await asyncio.sleep(18)
    isolated = shard_owner(world)
    for other in ["state", *(label for label in world.labels if label != isolated)]:
        world.cut(isolated, other)
    await asyncio.sleep(40)
    world.heal()


async def shard_owner_alone_reaches_workers(world: World) -> None:
    """Partition the shard owner from the store and its peers, and the peers from workers: none can fence them."""
    await asyncio.sleep(18)
    isolated = shard_owner(world)
    world.cut(isolated, "state")
    for other in world.labels:
        if other != isolated:
            world.cut(isolated, other)
            world.cut(other, "workers")
    await asyncio.sleep(45)
    world.heal()


async def immediate_restarts_during_election(world: World) -> None:
    """Restart two controllers after 0.05 to 0.4 s, six times, while their requests are still in flight."""
    await asyncio.sleep(18)
    for _ in range(6):
        for label in world.random.sample(world.labels, 2):
            world.spawn(world.restart(label, world.random.uniform(0.05, 0.4)))
        await asyncio.sleep(world.random.uniform(0.2, 4.0))


FAULTS: list[Scenario | None] = [
    None,
    shard_owner_crashes,
    all_controllers_crash,
    store_outage,
    store_refuses_shard_owner_around_outage,
    shard_owner_partitioned,
    shard_owner_partitioned_from_workers,
    shard_owner_partitioned_from_store,
    machines_hang,
    spot_machines_reclaimed_in_cloud_outage,
    machines_die,
    machines_receive_nothing,
    machines_receive_nothing_in_cloud_outage,
    late_heartbeat_copies,
    shard_owner_reaches_only_workers,
    shard_owner_alone_reaches_workers,
    immediate_restarts_during_election,
]
