"""Measures on loopback, outside CI: the time and commits of a rollout, and the replicas that are missing during it.

    python3 -m tests.loopback.measure --seeds 1-10 --controllers 3

Each seed is run with the staged rollout, and with the same upgrade to the last version without a staged rollout.
Prints one JSON line for each run.
"""

from __future__ import annotations

import asyncio
import json
import random
import statistics
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from tests.loopback import programs
from tests.loopback.cluster import LoopbackCluster
from tests.loopback.load import POLL_S, TIMEOUT_S, running_cluster, under_load, wait_until_all_ready
from tests.loopback.rollouts import crash_at_random, operator_settings

BASELINE_COMMIT = "763e420"  # the last commit with one announced format number and no staged rollout
CRASHES_EVERY_S = (1.5, 4.0)
SETTLE_S = 3.0


async def _upgrade(
    cluster: LoopbackCluster, rng: random.Random, program: str, is_done: Callable[[LoopbackCluster], bool]
) -> dict[str, Any]:
    """Upgrade the controllers in turn while others crash at random, until `is_done` holds; return the measurements."""
    started_at, revision = cluster.now(), cluster.state.revision
    crashes = cluster.spawn(crash_at_random(cluster, rng, CRASHES_EVERY_S))
    for label in rng.sample(cluster.labels, len(cluster.labels)):
        await cluster.run_program(label, program, rng.uniform(0.2, 1.0))
        await asyncio.sleep(rng.uniform(0.5, 2.0))
    restarted_at = cluster.now()
    async with asyncio.timeout(TIMEOUT_S):
        while not is_done(cluster):
            await asyncio.sleep(POLL_S)
    crashes.cancel()
    cluster.start_all()
    ended_at = cluster.now()
    await wait_until_all_ready(cluster)
    await asyncio.sleep(SETTLE_S)
    rollout = [event for event in cluster.state.log if event["stamp"] > revision and event.get("put") == "cp/rollout"]
    return {
        "exchange_s": round(restarted_at - started_at, 2),
        "switch_s": round(ended_at - restarted_at, 2),
        "rollout_commits": len(rollout),
        "commits": cluster.state.revision - revision,
        "kills": len(cluster.kills) - len(cluster.labels),
        "longest_short_s": round(cluster.replicas.longest_s(), 2),
        "missed_replica_s": round(cluster.replicas.missed_s(), 2),
    }


def _is_finalized(cluster: LoopbackCluster) -> bool:
    return (cluster.version(), cluster.phase()) == (1, "finalized")


def _is_announced(cluster: LoopbackCluster) -> bool:
    return "cp/format" in cluster.state.items


async def _run(seed: int, controllers: int, program: str, folder: Path) -> dict[str, Any]:
    versions = {
        "production": programs.production(folder),
        "before": programs.at_commit(BASELINE_COMMIT, folder),
        "head": programs.head(),
    }
    cluster = LoopbackCluster(
        seed,
        folder=folder,
        programs=versions,
        first="production",
        operator=operator_settings(1),
        controllers=controllers,
    )
    is_done = _is_finalized if program == "head" else _is_announced
    async with running_cluster(cluster), under_load(cluster):
        await asyncio.sleep(SETTLE_S)
        measured = await _upgrade(cluster, random.Random(seed), program, is_done)
    return measured | {"jobs": len(cluster.jobs), "starts": cluster.rules.starts}


@click.command()
@click.option("--seeds", default="1-5", help="First and last seed.")
@click.option("--controllers", default=3, type=click.IntRange(2, 9))
def main(seeds: str, controllers: int) -> None:
    """Run each seed with the baseline version and with the staged rollout."""
    first, _, last = seeds.partition("-")
    rows_of: dict[str, list[dict]] = {"before": [], "head": []}
    for seed in range(int(first), int(last or first) + 1):
        for program, rows in rows_of.items():
            with tempfile.TemporaryDirectory() as folder:
                row = asyncio.run(_run(seed, controllers, program, Path(folder)))
            rows.append(row)
            click.echo(json.dumps({"program": program, "seed": seed, "controllers": controllers} | row))
    for program, rows in rows_of.items():
        medians = {name: round(statistics.median(row[name] for row in rows), 2) for name in rows[0]}
        worst = max(row["longest_short_s"] for row in rows)
        click.echo(json.dumps({"program": program, "runs": len(rows), "median": medians, "worst_short_s": worst}))


if __name__ == "__main__":
    main()
