"""Simulated days in which a zone is lost while jobs of every importance are queued."""

from __future__ import annotations

import asyncio

from cloverplank.settings.operator import OperatorSettings
from cloverplank.settings.zones import ZoneSettings
from tests.simulation.commit_history import CommitHistory
from tests.simulation.simulated_day import Scenario, play_day
from tests.simulation.world import World

BULK_CLASS = "reconciliation"
SETTINGS = ZoneSettings(
    True, longest_hold_s=20.0, quiet_s=2.0, step_s=2.0, starts_a_second=30.0, last=frozenset({BULK_CLASS})
)
ENABLED = OperatorSettings(zones=SETTINGS)
SCARCE_CAPACITY = 3  # machines of a type in each zone: enough for about half of the work while one zone is lost


def submit_mixed_work(world: World) -> None:
    """Submit services, job arrays with a deadline and bulk job arrays that fill most of both zones."""
    for number in range(60, 72):
        more = (
            {"shape": "service", "rank": "prod", "lane": "web", "loaners": False},
            {"due_s": 120.0, "rank": "urgent", "lane": "settlement"},
            {"rank": "standard", "lane": BULK_CLASS},
        )[number % 3]
        job = world.job(number, pieces=4, vcpus=2.0, **more)
        world.durations[job["id"]] = 40.0
        world.spawn(world.follow(job))


def play(
    scenario: Scenario, seed: int, zones: int = 2, operator: OperatorSettings = ENABLED, capacity: int = 12
) -> tuple[World, CommitHistory]:
    """Simulate a day in which the scenario starts after 22 s; check the invariants and that no job starves."""
    histories: list[CommitHistory] = []

    async def delayed_scenario(world: World) -> None:
        await asyncio.sleep(22)
        await scenario(world)

    def prepare(world: World) -> None:
        histories.append(CommitHistory(world, BULK_CLASS))
        submit_mixed_work(world)

    def world_of() -> World:
        return World(seed, zones=zones, capacity=capacity, scale=4.0, operator=operator)

    return play_day(world_of, delayed_scenario, prepare, seconds=170.0, jobs=8), histories[0]


async def cut_and_restore_zone(world: World, seconds: float = 40.0, zone: str = "zone-1") -> None:
    world.cut_zone(zone)
    await asyncio.sleep(seconds)
    world.heal()
    await asyncio.sleep(25)
