"""Tests of the handover of shards from controllers that crash, pause or lose links."""

from __future__ import annotations

import asyncio
import dataclasses

import msgspec
import pytest

from cloverplank.basic_types import NodeId
from cloverplank.kvstore import keys
from cloverplank.membership.verdicts import PeerState
from cloverplank.settings.failure_detection import FailureDetectionSettings
from cloverplank.settings.operator import OperatorSettings
from cloverplank.settings.rollout import RolloutSettings
from cloverplank.settings.zones import ZoneSettings
from cloverplank.shard import machine as machines
from cloverplank.shard.shard import Shard
from tests.membership.scenarios import handovers, play, separate_shard_owner
from tests.simulation.overlapping_faults import leader_refused_then_store_outage
from tests.simulation.scenario_actions import leader, shard_owner
from tests.simulation.simulated_day import Scenario
from tests.simulation.world import World
from tests.zones.scenarios import cut_and_restore_zone


async def owner_crashes(world: World) -> None:
    await asyncio.sleep(15)
    owner = await separate_shard_owner(world)
    await asyncio.sleep(5)
    crashed_at = world.now()
    world.crash(owner)
    while world.state.items[f"cp/block/{world.zones[0]}"][0]["node"] == owner:
        await asyncio.sleep(0.02)
        assert world.now() - crashed_at < 3.5, "the shard was not handed over before the lease expired"
    await asyncio.sleep(2)
    world.start(owner)
    assert [verdict["node"] for verdict in handovers(world)] == [owner]
    await asyncio.sleep(8)


@pytest.mark.parametrize("seed", [91, 92])
def test_crashed_owner_loses_its_shard_before_its_lease_expires(seed: int) -> None:
    play(owner_crashes, seed, cpu=0.2)


async def owner_reaches_only_the_store(world: World) -> None:
    """Cut the shard owner off from peers and workers; it still renews its lease in the key-value store."""
    await asyncio.sleep(15)
    owner = await separate_shard_owner(world)
    await asyncio.sleep(5)
    for other in world.labels:
        world.cut(owner, other)
    world.cut(owner, "workers")
    await asyncio.sleep(10)
    assert [verdict["node"] for verdict in handovers(world)] == [owner]
    assert world.state.items[f"cp/block/{world.zones[0]}"][0]["node"] != owner
    assert owner in {key.removeprefix(keys.NODES) for key in world.state.items if key.startswith(keys.NODES)}
    world.heal()
    await asyncio.sleep(5)
    assert not world.controllers[owner][0].shards
    assert world.controllers[leader(world)][0].failure_detector.is_damped(NodeId(owner))


@pytest.mark.parametrize("seed", [93, 94])
def test_owner_that_reaches_only_the_store_loses_its_shard_once_and_is_damped(seed: int) -> None:
    play(owner_reaches_only_the_store, seed, cpu=0.2)


async def link_between_leader_and_owner_is_down(world: World) -> None:
    """Cut the link between leader and shard owner; the third controller reaches both, and workers reach the owner."""
    await asyncio.sleep(15)
    owner, lead = await separate_shard_owner(world), leader(world)
    world.cut(owner, lead)
    await asyncio.sleep(15)
    states = [
        world.controllers[observer][0].failure_detector._states[NodeId(peer)]
        for (observer, peer) in ((owner, lead), (lead, owner))
    ]
    assert PeerState.FAULTY not in states
    assert PeerState.SUSPECTED in states
    world.heal()
    await asyncio.sleep(5)
    assert not handovers(world)


def test_two_controllers_that_suspect_each_other_are_not_judged_faulty() -> None:
    play(link_between_leader_and_owner_is_down, 95, cpu=0.2)


async def flapping_links(world: World) -> None:
    await asyncio.sleep(15)
    owner = shard_owner(world)
    for _ in range(6):
        world.cut(owner, world.random.choice([other for other in world.labels if other != owner]))
        await asyncio.sleep(2)
        world.heal()
        await asyncio.sleep(1.5)


async def leader_and_owner_restart(world: World) -> None:
    await asyncio.sleep(15)
    for label in {leader(world), shard_owner(world)}:
        world.spawn(world.restart(label, 6.0))
    await asyncio.sleep(20)


async def owner_restarts_within_a_second(world: World) -> None:
    await asyncio.sleep(15)
    for _ in range(4):
        world.spawn(world.restart(shard_owner(world), world.random.uniform(0.1, 0.6)))
        await asyncio.sleep(5)


async def crash_then_store_outage(world: World) -> None:
    """Stop the shard owner for 6 s, and make the key-value store unavailable 3 s after the stop."""
    await asyncio.sleep(15)
    world.spawn(world.restart(await separate_shard_owner(world), 6.0))
    await asyncio.sleep(3.0)
    world.state.outage(True)
    await asyncio.sleep(10)
    world.state.outage(False)
    await asyncio.sleep(10)


@pytest.mark.parametrize(
    "fault",
    [
        flapping_links,
        leader_and_owner_restart,
        owner_restarts_within_a_second,
        crash_then_store_outage,
        leader_refused_then_store_outage,
    ],
    ids=lambda fault: fault.__name__,
)
@pytest.mark.parametrize("seed", [96, 97])
def test_rules_hold_under_controller_faults(fault: Scenario, seed: int) -> None:
    world = play(fault, seed, cpu=0.2)
    assert len(handovers(world)) <= 6


@pytest.mark.parametrize("noise", [0.1, 0.5])
def test_rules_hold_under_lost_delayed_and_repeated_messages(noise: float) -> None:
    """`noise` is the fraction of messages that are lost, late or repeated; the link delay rises every 3 s as well."""

    async def fault(world: World) -> None:
        await asyncio.sleep(15)
        for step in range(8):
            world.noise, world.faults.max_link_delay_s = noise, 0.1 * step
            await asyncio.sleep(3)
        world.noise = world.faults.max_link_delay_s = 0.0

    play(fault, 98, cpu=0.2)


def test_verdict_and_assignment_are_one_transaction_even_if_it_is_carried_out_late() -> None:
    async def fault(world: World) -> None:
        world.faults.late_commit_fraction = 0.3
        await asyncio.sleep(15)
        world.spawn(world.restart(await separate_shard_owner(world), 12.0))
        await asyncio.sleep(15)
        world.faults.late_commit_fraction = 0.0
        await asyncio.sleep(15)

    world = play(fault, 99, cpu=0.2)
    assignments = {entry["stamp"] for entry in world.state.log if entry.get("put", "").startswith(keys.SHARDS)}
    verdicts = {entry["stamp"] for entry in world.state.log if entry.get("put", "").startswith(keys.VERDICTS)}
    assert verdicts <= assignments


@pytest.mark.parametrize("controllers", [1, 2, 5])
def test_rules_hold_in_clusters_of_other_sizes(controllers: int) -> None:
    async def fault(world: World) -> None:
        await asyncio.sleep(15)
        for label in world.labels[-2:]:
            world.spawn(world.restart(label, 7.0))
        await asyncio.sleep(20)

    play(fault, 100, controllers=controllers)


def test_rules_hold_for_a_handover_during_zone_loss_and_rollout() -> None:
    async def fault(world: World) -> None:
        await asyncio.sleep(12)
        world.spawn(world.restart(shard_owner(world), 5.0))
        await cut_and_restore_zone(world, 20.0)

    operator = OperatorSettings(
        rollout=RolloutSettings(True, soak_s=10.0),
        zones=ZoneSettings(True, quiet_s=2.0, step_s=2.0),
        suspicion=FailureDetectionSettings(True),
    )
    play(fault, 101, operator, zones=2, capacity=12, scale=4.0)


def test_disabled_detector_keeps_and_commits_nothing() -> None:
    async def fault(world: World) -> None:
        await asyncio.sleep(15)
        world.spawn(world.restart(shard_owner(world), 6.0))
        await asyncio.sleep(10)
        assert not any(controller.failure_detector._peers for controller, _ in world.controllers.values())

    assert not handovers(play(fault, 102, OperatorSettings()))


async def owner_isolated_with_its_workers(world: World) -> None:
    """Cut the shard owner off from the key-value store and its peers, and every second machine from the other controllers.

    The owner continues to serve its workers, and the other controllers reach only half of them.
    """
    for job in world.durations:
        world.durations[job] = 60.0
    await asyncio.sleep(15)
    owner = await separate_shard_owner(world)
    await asyncio.sleep(5)
    for other in [*world.labels, "state"]:
        world.cut(owner, other)
    for machine in list(world.machines.values())[::2]:
        for other in world.labels:
            if other != owner:
                world.cut(machine.id, other)
    await asyncio.sleep(25)
    assert [verdict["node"] for verdict in handovers(world)] == [owner]
    world.heal()


@pytest.mark.parametrize("seed", [103, 104])
def test_new_owner_waits_until_the_former_owners_leases_have_expired(seed: int) -> None:
    """Guards against tasks that run twice after a handover.

    The shard is handed over while the lease of the former owner is valid, so the former owner may still answer workers.
    """
    play(owner_isolated_with_its_workers, seed, cpu=0.2)


def test_check_fails_if_the_new_owner_does_not_wait_for_the_former_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """A new owner that regards tasks as expired at the last contact starts them while the former owner's copies run."""
    monkeypatch.setattr(machines.Machine, "tasks_expire_at", lambda self, lease_s, unfenced: self.last_contact_at)
    original_init = Shard.__init__

    def init_with_early_taint(self, zone, token, services, may_start) -> None:  # noqa: ANN001
        limits = msgspec.structs.replace(services.limits, taint_after_s=3.0)
        original_init(self, zone, token, dataclasses.replace(services, limits=limits), may_start)

    monkeypatch.setattr(Shard, "__init__", init_with_early_taint)
    with pytest.raises(AssertionError, match="ran_twice"):
        play(owner_isolated_with_its_workers, 103, cpu=0.2)
