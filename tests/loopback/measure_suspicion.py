"""Measures false verdicts, handover times and duplicated tasks on loopback, outside CI, with suspicion on and off.

    python3 -m tests.loopback.measure_suspicion --seeds 1-3 --cycles 4

In each cycle the shard owner is paused shortly, which must not count as a failure, and then paused for long or killed.
Prints one JSON line for each run.
"""

from __future__ import annotations

import asyncio
import json
import random
import tempfile
from pathlib import Path
from typing import Any

import click
from ddsketch import DDSketch

from tests.loopback import programs
from tests.loopback.cluster import LoopbackCluster
from tests.loopback.load import TIMEOUT_S, running_cluster, under_load
from tests.loopback.test_failure_detection import OPERATOR, SHARD_KEY, SMALL_CPU_CORES, shard_owner
from tests.membership.scenarios import handovers

SETTLE_S = 7.0
AFTER_PAUSE_S = 2.0
POLL_S = 0.01
SHORT_PAUSE_S = (0.2, 0.9)
LONG_PAUSE_S = 9.0


async def _short_pause_causes_handover(cluster: LoopbackCluster, rng: random.Random) -> bool:
    paused, before = shard_owner(cluster), len(handovers(cluster))
    cluster.pause(paused)
    await asyncio.sleep(rng.uniform(*SHORT_PAUSE_S))
    cluster.resume(paused)
    await asyncio.sleep(AFTER_PAUSE_S)
    return len(handovers(cluster)) > before


async def _time_without_shard_owner(cluster: LoopbackCluster, rng: random.Random) -> float:
    """Pause the shard owner for long or crash it; return the seconds until another owner is committed."""
    failed, started_at = shard_owner(cluster), cluster.now()
    is_crash = rng.random() < 0.5
    if is_crash:
        cluster.crash(failed)
    else:
        cluster.pause(failed)
    async with asyncio.timeout(TIMEOUT_S):
        while SHARD_KEY not in cluster.state.items or shard_owner(cluster) == failed:
            await asyncio.sleep(POLL_S)
    seconds = cluster.now() - started_at
    await asyncio.sleep(max(0.0, LONG_PAUSE_S - seconds))
    if is_crash:
        cluster.start(failed)
    else:
        cluster.resume(failed)
    return seconds


async def _cycle(cluster: LoopbackCluster, rng: random.Random) -> tuple[bool, float]:
    """Return whether a short pause caused a handover, and the seconds without a shard owner after a failure."""
    await asyncio.sleep(SETTLE_S + rng.uniform(0.0, 1.0))
    is_false_verdict = await _short_pause_causes_handover(cluster, rng)
    return is_false_verdict, await _time_without_shard_owner(cluster, rng)


async def _run(seed: int, cycles: int, enabled: bool, folder: Path) -> dict[str, Any]:
    operator = OPERATOR.format(enabled="true" if enabled else "false")
    versions = {"head": programs.head()}
    cluster = LoopbackCluster(
        seed, folder=folder, programs=versions, first="head", operator=operator, cpu=SMALL_CPU_CORES
    )
    rng = random.Random(seed)
    async with running_cluster(cluster), under_load(cluster):
        results = [await _cycle(cluster, rng) for _ in range(cycles)]
    return {
        "false_verdicts": sum(is_false_verdict for is_false_verdict, _ in results),
        "handover_s": [round(seconds, 2) for _, seconds in results],
        "duplicated": cluster.rules.violations["ran_twice"],
        "starts": cluster.rules.starts,
        "missed_replica_s": round(cluster.replicas.missed_s(), 1),
    }


@click.command()
@click.option("--seeds", default="1-3", help="First and last seed.")
@click.option("--cycles", default=4, type=click.IntRange(1, 100))
def main(seeds: str, cycles: int) -> None:
    """Run each seed with suspicion off and on."""
    first, _, last = seeds.partition("-")
    times = {False: DDSketch(0.01), True: DDSketch(0.01)}
    for seed in range(int(first), int(last or first) + 1):
        for enabled, sketch in times.items():
            with tempfile.TemporaryDirectory() as folder:
                row = asyncio.run(_run(seed, cycles, enabled, Path(folder)))
            for seconds in row["handover_s"]:
                sketch.add(seconds)
            click.echo(json.dumps({"suspicion": enabled, "seed": seed} | row))
    for enabled, sketch in times.items():
        quantiles = {str(q): round(sketch.get_quantile_value(q) or 0.0, 2) for q in (0.5, 0.95, 1.0)}
        click.echo(json.dumps({"suspicion": enabled, "handovers": int(sketch.count), "seconds": quantiles}))


if __name__ == "__main__":
    main()
