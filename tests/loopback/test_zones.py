"""Partition and recovery of a zone with controller processes and simulated machines, on loopback.

The order of replacements and the steps of the recovery are recorded and compared with the specified ones. No check
depends on how long something takes.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from statistics import fmean

from tests.loopback import programs
from tests.loopback.cluster import LoopbackCluster
from tests.loopback.load import TIMEOUT_S, check_run, running_cluster
from tests.simulation.commit_history import CommitHistory
from tests.zones.scenarios import BULK_CLASS

OPERATOR = f"""
controller_lease_s: 2
hold_on_margin_s: 3
zones {{ enabled: true quiet_s: 2 step_s: 1 longest_hold_s: 20 last: "{BULK_CLASS}" }}
"""
CUT_S = 16.0
ARRAY_S = 14.0
LOST_ZONE = "zone-1"
CAPACITY = 6  # machines of each kind in a zone: enough for about half of the work if the other zone is lost
ESSENTIAL_CLASSES = ("web", "settlement")  # services, and jobs with a deadline
JOB_TYPES = (
    {"shape": "service", "rank": "prod", "lane": "web", "loaners": False},
    {"due_s": 60.0, "rank": "urgent", "lane": "settlement"},
    {"rank": "standard", "lane": BULK_CLASS},
)


def submit_jobs(cluster: LoopbackCluster) -> list[asyncio.Task[str | None]]:
    """Submit services, arrays with a deadline and bulk arrays; return a task for each array that waits for its end."""
    arrays = []
    for number in range(1, 19):
        spec = cluster.job(number, pieces=4, vcpus=2.0, **JOB_TYPES[number % len(JOB_TYPES)])
        cluster.durations[spec["id"]] = ARRAY_S
        task = cluster.spawn(cluster.follow(spec))
        if spec["shape"] != "service":
            arrays.append(task)
    return arrays


async def wait_for_health(cluster: LoopbackCluster, zone: str, health: str) -> None:
    """Wait until the given health of a zone is committed."""
    async with asyncio.timeout(TIMEOUT_S):
        while cluster.state.items.get(f"cp/zone/{zone}", ({},))[0].get("health") != health:
            await asyncio.sleep(0.05)


async def wait_for_tasks_in_zone(cluster: LoopbackCluster, zone: str) -> None:
    """Wait until a machine of a zone has tasks."""
    async with asyncio.timeout(TIMEOUT_S):
        while not any(machine.zone == zone and machine.tasks for machine in cluster.machines.values()):
            await asyncio.sleep(0.1)


async def lose_and_recover_zone(cluster: LoopbackCluster) -> None:
    """Partition a zone while jobs run until it is lost, then let it recover."""
    arrays = submit_jobs(cluster)
    await wait_for_tasks_in_zone(cluster, LOST_ZONE)
    await asyncio.sleep(4)
    cluster.cut_zone(LOST_ZONE)
    await wait_for_health(cluster, LOST_ZONE, "lost")
    await asyncio.sleep(CUT_S)
    cluster.heal_zones()
    await wait_for_health(cluster, LOST_ZONE, "healthy")
    async with asyncio.timeout(TIMEOUT_S):
        assert set(await asyncio.gather(*arrays)) == {"done"}


def check_recovery_in_steps(history: CommitHistory) -> None:
    """Check the committed health of the zone, and that machines were admitted in steps while it recovered."""
    assert history.healths(LOST_ZONE)[-3:] == ["lost", "recovering", "healthy"]
    verdicts = [put.value for put in history.commits if put.key == f"cp/zone/{LOST_ZONE}"]
    admitted = [value["admitted"] for value in verdicts if value["health"] == "recovering"]
    assert admitted[-4:] == [10, 25, 50, 100]


def check_order_of_replacements(history: CommitHistory) -> None:
    """Check that tasks of essential classes were replaced before those of the bulk class.

    Several jobs are committed concurrently, so single jobs may overtake each other; the mean positions keep the order.
    """
    order = history.first_replacements(LOST_ZONE)
    essential = [position for position, job_class in enumerate(order) if job_class in ESSENTIAL_CLASSES]
    bulk = [position for position, job_class in enumerate(order) if job_class == BULK_CLASS]
    assert not bulk or fmean(essential) < fmean(bulk), order


async def test_zone_lost_and_back_follows_the_stated_order(tmp_path: Path) -> None:
    versions = {"head": programs.head()}
    cluster = LoopbackCluster(
        11, folder=tmp_path, programs=versions, first="head", operator=OPERATOR, controllers=4, zones=2
    )
    cluster.capacity = CAPACITY
    history = CommitHistory(cluster, BULK_CLASS)
    async with running_cluster(cluster):
        await lose_and_recover_zone(cluster)
        check_run(cluster)  # its rule `ran_twice`: no stale task runs concurrently with its replacement
    check_recovery_in_steps(history)
    check_order_of_replacements(history)
