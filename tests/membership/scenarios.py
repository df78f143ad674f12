"""Simulated scenarios in which controllers fail, pause or lose links; the invariants are checked throughout."""

from __future__ import annotations

import asyncio
from typing import Any

from cloverplank.kvstore import keys
from cloverplank.settings.failure_detection import FailureDetectionSettings
from cloverplank.settings.operator import OperatorSettings
from tests.simulation.scenario_actions import leader, shard_owner
from tests.simulation.simulated_day import Scenario, play_day
from tests.simulation.world import World

DETECTOR_ENABLED = OperatorSettings(suspicion=FailureDetectionSettings(True, damp_s=20.0))


def handovers(world: World) -> list[dict]:
    """Return the committed verdicts in commit order."""
    return [entry["value"] for entry in world.state.log if entry.get("put", "").startswith(keys.VERDICTS)]


def play(fault: Scenario, seed: int, operator: OperatorSettings = DETECTOR_ENABLED, **fields: Any) -> World:
    """Simulate a day with the fault; raise AssertionError for a violated invariant."""
    return play_day(lambda: World(seed, operator=operator, **fields), fault, jobs=10)


async def separate_shard_owner(world: World) -> str:
    """Restart the leader until leader and shard owner are different controllers; return the shard owner."""
    for _ in range(60):
        owner = shard_owner(world)
        if owner != leader(world):
            return owner
        world.spawn(world.restart(leader(world), 0.5))
        await asyncio.sleep(6)
    raise AssertionError("leader and shard owner are still the same controller after 60 restarts")
