"""Failure detection on loopback: controller processes are paused by signals, or their links delay and drop data.

A controller that fails is suspected, its shard is handed over once, and it is fenced when it continues. No check
depends on how long something takes.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from tests.loopback import programs
from tests.loopback.cluster import LoopbackCluster
from tests.loopback.load import TIMEOUT_S, running_cluster, under_load
from tests.membership.scenarios import handovers

OPERATOR = "controller_lease_s: 4\nhold_on_margin_s: 3\nsuspicion {{ enabled: {enabled} damp_s: 10 }}\n"
PAUSE_S = 7.0
SMALL_CPU_CORES = 0.2  # with so few cores leader and shard owner are different controllers
SHARD_KEY, LEADER_KEY = "cp/block/zone-0", "cp/leader"
# The longest delay of a chunk in seconds, and the fraction of chunks that abort the connection.
LINK_FAULTS = ((0.1, 0.0), (0.3, 0.0), (0.6, 0.0), (0.1, 0.1), (0.1, 0.5))


def shard_owner(cluster: LoopbackCluster) -> str:
    """Return the label of the committed shard owner."""
    return cluster.state.items[SHARD_KEY][0]["node"]


def leader(cluster: LoopbackCluster) -> str:
    """Return the label of the committed leader."""
    return cluster.state.items[LEADER_KEY][0]["node"]


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.02)


async def separate_shard_owner(cluster: LoopbackCluster) -> str:
    """Wait for a shard owner and a leader, and return the shard owner, which is not the leader on small machines."""
    await wait_until(lambda: SHARD_KEY in cluster.state.items and LEADER_KEY in cluster.state.items)
    assert shard_owner(cluster) != leader(cluster)
    return shard_owner(cluster)


async def paused_shard_owner(cluster: LoopbackCluster) -> None:
    """Pause the shard owner while it works, and resume it, with its pending work, after the shard was handed over."""
    former = await separate_shard_owner(cluster)
    cluster.pause(former)
    await wait_until(lambda: SHARD_KEY in cluster.state.items and shard_owner(cluster) != former)
    await asyncio.sleep(PAUSE_S / 2)
    cluster.resume(former)
    await asyncio.sleep(3)
    assert shard_owner(cluster) != former


async def short_pauses_then_crash(cluster: LoopbackCluster) -> None:
    """Pause the shard owner shortly, which must not count as a failure, then crash it."""
    former = await separate_shard_owner(cluster)
    for _ in range(3):
        cluster.pause(former)
        await asyncio.sleep(0.6)
        cluster.resume(former)
        await asyncio.sleep(1.5)
    assert not handovers(cluster), "a pause of 0.6 s caused a handover"
    await cluster.run_program(former, "head", 2.0)
    await wait_until(lambda: SHARD_KEY in cluster.state.items and shard_owner(cluster) != former)


async def paused_leader(cluster: LoopbackCluster) -> None:
    """Pause the leader, which suspects others: it must not suspect them for messages that it missed while paused."""
    paused = leader(cluster)
    cluster.pause(paused)
    await asyncio.sleep(2.5)
    cluster.resume(paused)
    await asyncio.sleep(3)
    assert not handovers(cluster)


async def links_that_delay_and_drop(cluster: LoopbackCluster) -> None:
    """Delay data between controllers increasingly, then drop connections."""
    for delay_s, drop_fraction in LINK_FAULTS:
        for relay in cluster.relays.values():
            relay.delay_s, relay.drop_fraction = delay_s, drop_fraction
        await asyncio.sleep(3)
    for relay in cluster.relays.values():
        relay.delay_s = relay.drop_fraction = 0.0
    await wait_until(lambda: SHARD_KEY in cluster.state.items)


def check_handed_over_once(cluster: LoopbackCluster) -> None:
    """Check that every verdict has its own commit, which also reassigns the shard."""
    log = cluster.state.log
    verdicts = [event["stamp"] for event in log if event.get("put", "").startswith("cp/verdict/")]
    assigned = [event["stamp"] for event in log if event.get("put") == SHARD_KEY]
    assert len(set(verdicts)) == len(verdicts), f"several verdicts in one commit: {verdicts}"
    assert set(verdicts) <= set(assigned), f"verdicts {verdicts}, shard assignments {assigned}"


@pytest.mark.parametrize(
    "scenario",
    [paused_shard_owner, short_pauses_then_crash, paused_leader, links_that_delay_and_drop],
    ids=lambda scenario: scenario.__name__,
)
async def test_paused_controllers_are_handed_over_once_and_fenced(
    scenario: Callable[[LoopbackCluster], Awaitable[None]], tmp_path: Path
) -> None:
    operator = OPERATOR.format(enabled="true")
    versions = {"head": programs.head()}
    cluster = LoopbackCluster(
        21, folder=tmp_path, programs=versions, first="head", operator=operator, cpu=SMALL_CPU_CORES
    )
    async with running_cluster(cluster):
        async with under_load(cluster):
            await asyncio.sleep(5)
            await scenario(cluster)
        check_handed_over_once(cluster)
        status = json.loads(await cluster.command("controllers", "status", "--json"))
        assert [c["name"] for c in status["controllers"] if "zone-0" in c["holds"]] == [shard_owner(cluster)]
