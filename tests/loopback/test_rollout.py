"""Rollouts of controller processes of several versions on loopback, interrupted at random times from a seed.

The checks are those of the rules and of the log of commits; none depends on how long something takes.
"""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

import pytest

from tests.loopback import programs
from tests.loopback.cluster import LoopbackCluster
from tests.loopback.load import running_cluster, under_load
from tests.loopback.rollouts import (
    Scenario,
    back_to_production,
    one_more_gate,
    operator_settings,
    rollout_with_a_rollback,
)

SEED = 7


@pytest.fixture
def versions(tmp_path: Path) -> dict[str, Path]:
    """Check out production, this version, and this version with one more feature gate."""
    return {
        "production": programs.production(tmp_path),
        "head": programs.head(),
        "more": programs.head_with_one_more_gate(tmp_path),
    }


@pytest.mark.parametrize(
    "scenario", [rollout_with_a_rollback, back_to_production, one_more_gate], ids=lambda scenario: scenario.__name__
)
async def test_rollout_with_mixed_versions(scenario: Scenario, versions: dict[str, Path], tmp_path: Path) -> None:
    """Every controller starts with the production version, under load."""
    cluster = LoopbackCluster(
        SEED, folder=tmp_path, programs=versions, first="production", operator=operator_settings(1)
    )
    async with running_cluster(cluster), under_load(cluster):
        await asyncio.sleep(2)
        await scenario(cluster, random.Random(SEED))
    refusal = await cluster.command("rollout", "status", exit_code=1)
    assert "no response from the key-value store" in refusal
    assert refusal.count("\n") == 1
