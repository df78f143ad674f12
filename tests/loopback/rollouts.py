"""Scenarios of rollouts between versions of the program on loopback, with their settings and waits."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Awaitable, Callable

from tests.loopback.cluster import LoopbackCluster
from tests.loopback.load import POLL_S, TIMEOUT_S, wait_until_all_ready

OPERATOR = "controller_lease_s: 2\nhold_on_margin_s: 3\nrollout {{ enabled: true soak_s: {soak_s} goal: {goal} }}\n"
SOAK_S = 3

Scenario = Callable[[LoopbackCluster, random.Random], Awaitable[None]]


def operator_settings(goal: int, soak_s: int = SOAK_S) -> str:
    """Return the text of the operators' settings with `goal` as the target cluster version."""
    return OPERATOR.format(goal=goal, soak_s=soak_s)


async def wait_for_rollout(cluster: LoopbackCluster, version: int, phase: str) -> None:
    """Wait until a cluster version and a rollout phase are committed."""
    async with asyncio.timeout(TIMEOUT_S):
        while (cluster.version(), cluster.phase()) != (version, phase):
            await asyncio.sleep(POLL_S)


async def crash_at_random(cluster: LoopbackCluster, rng: random.Random, every_s: tuple[float, float]) -> None:
    """Crash controllers at random times until cancelled; each restarts with the same program after 0.05 to 1.5 s."""
    while True:
        await asyncio.sleep(rng.uniform(*every_s))
        label = rng.choice(cluster.labels)
        await cluster.run_program(label, cluster.program_of[label], rng.choice([0.05, 0.3, 1.5]))


async def rollout_with_a_rollback(cluster: LoopbackCluster, rng: random.Random) -> None:
    """Upgrade production to head; one controller is rolled back before the switch, then controllers crash at random."""
    order = rng.sample(cluster.labels, len(cluster.labels))
    for label in order:
        await cluster.run_program(label, "head", rng.uniform(0.1, 1.0))
        await asyncio.sleep(rng.uniform(0.2, 1.5))
    async with asyncio.timeout(TIMEOUT_S):
        while cluster.phase() not in ("prepared", "soak"):
            await asyncio.sleep(POLL_S)
    await asyncio.sleep(rng.uniform(0.0, 1.5))
    rolled_back = rng.choice(order)
    await cluster.run_program(rolled_back, "production", 0.3)
    await asyncio.sleep(rng.uniform(1.0, 2.0))
    assert cluster.version() == 0
    await cluster.run_program(rolled_back, "head", 0.3)
    crashes = cluster.spawn(crash_at_random(cluster, rng, (4.0, 8.0)))
    await wait_for_rollout(cluster, 1, "finalized")
    crashes.cancel()
    cluster.start_all()
    await wait_until_all_ready(cluster)
    await _check_finalized_status(cluster)


async def _check_finalized_status(cluster: LoopbackCluster) -> None:
    status = json.loads(await cluster.command("rollout", "status", "--json"))
    assert (status["version"], status["phase"], status["waiting_for"], status["unreadable"]) == (1, "finalized", [], [])
    assert [c["name"] for c in status["controllers"] if c["present"]] == cluster.labels
    assert "phase: finalized" in await cluster.command("rollout", "status")


async def back_to_production(cluster: LoopbackCluster, rng: random.Random) -> None:
    """Upgrade to cluster version 1, return to version 0, and run production again."""
    for label in cluster.labels:
        await cluster.run_program(label, "head", 0.3)
    await wait_for_rollout(cluster, 1, "finalized")
    cluster.operator_text = operator_settings(0)
    for label in rng.sample(cluster.labels, len(cluster.labels)):
        await cluster.run_program(label, "head", 0.3)
        await asyncio.sleep(rng.uniform(0.5, 1.5))
    await wait_for_rollout(cluster, 0, "finalized")
    for label in cluster.labels:
        await cluster.run_program(label, "production", 0.3)
        await asyncio.sleep(1.0)
    await wait_until_all_ready(cluster)


async def one_more_gate(cluster: LoopbackCluster, rng: random.Random) -> None:
    """Upgrade to cluster version 2, which head can't read: a controller that is rolled back to head must not join."""
    for label in cluster.labels:
        await cluster.run_program(label, "head", 0.3)
    await wait_for_rollout(cluster, 1, "finalized")
    cluster.operator_text = operator_settings(2)
    for label in cluster.labels:
        await cluster.run_program(label, "more", 0.3)
        await asyncio.sleep(0.5)
    await wait_for_rollout(cluster, 2, "finalized")
    rolled_back = rng.choice(cluster.labels)
    cluster.operator_text = operator_settings(1)
    await cluster.run_program(rolled_back, "head", 0.3)
    async with asyncio.timeout(TIMEOUT_S):
        while "not joining: the cluster version is 2" not in (cluster.folder / f"{rolled_back}.log").read_text():
            await asyncio.sleep(0.1)
    assert (await cluster.ask("GET", "/ready", label=rolled_back))[0] in (0, 503)
    assert f"cp/node/{rolled_back}" not in cluster.state.items
    cluster.operator_text = operator_settings(2)
    await cluster.run_program(rolled_back, "more", 0.3)
    await wait_until_all_ready(cluster)
