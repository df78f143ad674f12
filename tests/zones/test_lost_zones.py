"""Tests with zones that are cut off in the simulated world; the invariants are checked throughout."""

from __future__ import annotations

import asyncio
import logging

import pytest

from cloverplank.kvstore import keys
from cloverplank.settings.operator import OperatorSettings
from cloverplank.settings.rollout import RolloutSettings
from cloverplank.settings.zones import ZoneSettings
from cloverplank.zones.recovery_plan import RecoveryPlan
from tests.simulation.scenario_actions import leader
from tests.simulation.world import World
from tests.zones.scenarios import SCARCE_CAPACITY, SETTINGS, cut_and_restore_zone, play


@pytest.mark.parametrize("seed", [81, 82])
def test_lost_zone_recovers_and_essential_work_goes_first(seed: int) -> None:
    _, history = play(cut_and_restore_zone, seed, capacity=SCARCE_CAPACITY)
    assert history.healths("zone-1")[-3:] == ["lost", "recovering", "healthy"]
    assert "lost" not in history.healths("zone-0")
    assert not history.bulk_before_essential()


def test_check_detects_bulk_work_placed_first(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        RecoveryPlan, "arrange", lambda self, queued_jobs: sorted(queued_jobs, key=lambda queued_job: -queued_job.rank)
    )
    found = [play(cut_and_restore_zone, seed, capacity=SCARCE_CAPACITY)[1].bulk_before_essential() for seed in (81, 82)]
    assert any(found)


def test_flaps_of_a_zone_are_counted() -> None:
    async def scenario(world: World) -> None:
        for _ in range(2):
            await cut_and_restore_zone(world, 14.0)

    _, history = play(scenario, 83)
    lost = [value for _, key, value in history.commits if key == keys.zone("zone-1") and value["health"] == "lost"]
    assert [value["flaps"] for value in lost][:2] == [1, 2]
    assert history.healths("zone-1")[-1] == "healthy"


async def leader_in_the_lost_zone(world: World) -> None:
    await cut_and_restore_zone(world, zone=world.home[leader(world)])


async def store_outage_meanwhile(world: World) -> None:
    world.cut_zone("zone-1")
    await asyncio.sleep(8)
    world.state.outage(True)
    await asyncio.sleep(9)
    world.state.outage(False)
    await asyncio.sleep(20)
    world.heal()
    await asyncio.sleep(25)


async def leader_restarts_in_each_state(world: World) -> None:
    world.cut_zone("zone-1")
    await asyncio.sleep(9)
    world.spawn(world.restart(leader(world), 1.0))
    await asyncio.sleep(25)
    world.heal()
    for _ in range(3):
        await asyncio.sleep(4)
        world.spawn(world.restart(leader(world), 0.5))
    await asyncio.sleep(25)


async def no_capacity_and_no_scale_out(world: World) -> None:
    world.capacity = 0
    world.cloud.left = dict.fromkeys(world.cloud.left, 0)
    await cut_and_restore_zone(world)


async def jobs_submitted_and_cancelled_meanwhile(world: World) -> None:
    world.cut_zone("zone-1")
    for number in range(6):
        await asyncio.sleep(5)
        for job in world.running_jobs()[:1]:
            world.spawn(world.cancel_job(job))
        world.spawn(world.follow(world.job(300 + number, pieces=3, waits_on=[sorted(world.rules.accepted)[0]])))
    world.heal()
    await asyncio.sleep(25)


async def one_way_partitions(world: World) -> None:
    """Cut the inbound links of the zone's machines for 20 s, then their outbound links for 20 s."""
    names = {m.id for m in world.machines.values() if m.zone == "zone-1" and m.alive}
    world.faults.receives_nothing |= names
    await asyncio.sleep(20)
    world.faults.receives_nothing -= names
    world.faults.sends_nothing |= names
    await asyncio.sleep(20)
    world.faults.sends_nothing -= names
    await asyncio.sleep(25)


async def cloud_unavailable_meanwhile(world: World) -> None:
    world.cloud.down = True
    await cut_and_restore_zone(world)
    world.cloud.down = False


@pytest.mark.parametrize(
    "scenario",
    [
        leader_in_the_lost_zone,
        store_outage_meanwhile,
        leader_restarts_in_each_state,
        no_capacity_and_no_scale_out,
        jobs_submitted_and_cancelled_meanwhile,
        one_way_partitions,
        cloud_unavailable_meanwhile,
    ],
    ids=lambda scenario: scenario.__name__,
)
def test_invariants_hold_when_a_zone_is_lost_during_another_fault(scenario) -> None:  # noqa: ANN001
    play(scenario, 84)


def test_invariants_hold_when_two_of_three_zones_are_lost() -> None:
    """Most machines are silent, so no zone is judged lost; tasks continue under the leases of their machines."""

    async def scenario(world: World) -> None:
        world.cut_zone("zone-1")
        world.cut_zone("zone-2")
        await asyncio.sleep(40)
        world.heal()
        await asyncio.sleep(25)

    play(scenario, 85, zones=3)


def test_zone_health_is_stored_only_once_the_cluster_version_allows_it() -> None:
    async def scenario(world: World) -> None:
        await cut_and_restore_zone(world, 15.0)
        while world.state.items[keys.ROLLOUT][0]["version"] == 0:
            await asyncio.sleep(1)
        await cut_and_restore_zone(world, 25.0)

    _, history = play(
        scenario, 86, operator=OperatorSettings(rollout=RolloutSettings(True, soak_s=25.0), zones=SETTINGS)
    )
    first = next(at for at, key, _ in history.commits if key.startswith(keys.ZONES))
    active = next(at for at, key, value in history.commits if key == keys.ROLLOUT and value["version"] == 1)
    assert first > active


@pytest.mark.parametrize(
    ("zones", "settings"), [(1, SETTINGS), (2, ZoneSettings())], ids=["single zone", "switched off"]
)
def test_zone_health_is_not_stored(zones: int, settings: ZoneSettings) -> None:
    async def scenario(world: World) -> None:
        await cut_and_restore_zone(world, 20.0, world.zones[-1])

    _, history = play(scenario, 87, zones, operator=OperatorSettings(zones=settings))
    assert not [key for _, key, _ in history.commits if key.startswith(keys.ZONES)]


@pytest.mark.parametrize(
    "value",
    [None, {}, {"zone": "zone-1", "health": "gone", "since": 0}, {"health": 7}],
    ids=["null", "empty", "unknown health", "number for health"],
)
def test_unreadable_zone_record_is_logged_and_replaced_by_the_next_commit(
    value: object, caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario(world: World) -> None:
        world.state._commit({"when": [], "writes": [{"put": keys.zone("zone-1"), "value": value}]})
        await asyncio.sleep(3)
        assert world.state.items[keys.zone("zone-1")][0] == value
        await cut_and_restore_zone(world, 20.0)

    with caplog.at_level(logging.ERROR, "cloverplank.kvstore"):
        _, history = play(scenario, 88)
    assert "cp/zone/zone-1 can't be read" in caplog.text
    assert history.healths("zone-1")[-1] == "healthy"
