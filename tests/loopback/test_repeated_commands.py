"""Controller processes whose answered command requests reach the workers once more."""

from __future__ import annotations

import asyncio
from pathlib import Path

from tests.loopback import programs
from tests.loopback.cluster import LoopbackCluster
from tests.loopback.load import running_cluster, under_load
from tests.simulation.worker import Machine, Task

SEED = 31
RESTARTS = 3
RESTART_INTERVAL_S = 6.0
BACK_AFTER_S = 0.5
MIN_REPEATED = 20


def fails(machine: Machine, task: Task) -> bool:
    """Let the first attempts of every second array fail."""
    is_service = machine.world.jobs[task.job]["shape"] == "service"
    return task.attempt == 1 and not is_service and int(task.job[-1]) % 2 == 1


# Guards against copies of start commands that start acknowledged attempts again, here sent by real processes.
async def test_repeated_commands_start_no_task_again(tmp_path: Path) -> None:
    cluster = LoopbackCluster(SEED, folder=tmp_path, programs={"head": programs.head()}, first="head")
    cluster.faults.repeated_command_fraction = 0.5
    cluster.fails = fails
    async with running_cluster(cluster), under_load(cluster):
        for number in range(RESTARTS):
            await asyncio.sleep(RESTART_INTERVAL_S)
            await cluster.run_program(cluster.labels[number], "head", BACK_AFTER_S)
        await asyncio.sleep(RESTART_INTERVAL_S)
    assert cluster.repeated_commands > MIN_REPEATED
