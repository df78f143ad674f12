"""Measures a few simulated minutes of about 4,000 machines on which short tasks start, fail and end.

Run by hand: `python3 -m tests.simulation.measure_many_machines [MACHINES]`. Prints counts and the processor time of the
controllers and all stand-ins together.
"""

from __future__ import annotations

import asyncio
import sys
import time
from collections import Counter

from cloverplank.net.messages import Response
from tests.simulation.loop import run
from tests.simulation.network import COMMANDS_PATH, COMMIT_PATH, HEARTBEAT_PATH
from tests.simulation.simulated_day import check
from tests.simulation.world import World

REPLICAS, REPLICA_CPUS, REPLICAS_PER_MACHINE = 18, 4.0, 2
BOOT_S = 90.0
MEASURED_S = 60.0
ARRAY_INTERVAL_S, ARRAY_TASKS, ARRAY_TASK_S = 0.25, 12, 5.0
FAILING_FRACTION = 0.1
COUNTED_PATHS = {HEARTBEAT_PATH: "heartbeats", COMMANDS_PATH: "command requests", COMMIT_PATH: "commits"}


class CountingWorld(World):
    """A world that counts requests by path."""

    counts: Counter[str] = Counter()

    async def send(self, src, addr, method, path, body=None, timeout=2.0) -> Response:
        """Carry a request and its response."""
        self.counts[COUNTED_PATHS.get(path, "others")] += 1
        response = await super().send(src, addr, method, path, body, timeout)
        if path == COMMIT_PATH and response.status == 409:
            self.counts["conflicts"] += 1
        return response


async def submit_arrays(world: World) -> None:
    """Submit arrays of short tasks until cancelled."""
    number = 10_000
    while True:
        spec = world.job(number, pieces=ARRAY_TASKS, vcpus=0.5, crew="red" if number % 2 else "blue")
        world.durations[spec["id"]] = ARRAY_TASK_S
        world.spawn(world.submit(spec))
        number += 1
        await asyncio.sleep(ARRAY_INTERVAL_S)


async def measure(machines: int) -> None:
    """Start services on the machines, then measure while arrays run beside them."""
    world = CountingWorld(seed=1, capacity=machines, scale=machines)
    world.fails = lambda machine, task: (
        world.jobs[task.job]["shape"] != "service" and world.random.random() < FAILING_FRACTION
    )
    for number in range(machines * REPLICAS_PER_MACHINE // REPLICAS):
        spec = world.job(
            number, shape="service", lane="web", rank="prod", loaners=False, pieces=REPLICAS, vcpus=REPLICA_CPUS
        )
        world.spawn(world.submit(spec))
    await asyncio.sleep(BOOT_S)
    up = sum(1 for machine in world.machines.values() if machine.alive and machine.up_at <= world.now())
    world.counts.clear()
    starts, commits, started_at = world.rules.starts, world.state.revision, time.process_time()
    submitting = world.spawn(submit_arrays(world))
    await asyncio.sleep(MEASURED_S)
    submitting.cancel()
    check(world)
    print(
        f"{up} machines, {MEASURED_S:g} simulated s: {time.process_time() - started_at:.1f} s of processor time, "
        f"{world.rules.starts - starts} starts, {world.state.revision - commits} revisions, {dict(world.counts)}"
    )


if __name__ == "__main__":
    run(measure(int(sys.argv[1]) if len(sys.argv) > 1 else 4000))
