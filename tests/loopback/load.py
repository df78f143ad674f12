"""Generates load on a loopback cluster, and checks the invariants that must hold after every run."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from tests.loopback.cluster import LoopbackCluster
from tests.loopback.history import History

# A condition that does not hold by then is taken never to hold; the limit is not a measure of speed.
TIMEOUT_S = 240.0
POLL_S = 0.05
READY_POLL_S = 0.1
# In a wide array each task has its own machine, so that its record is stored as a compact one.
JOBS_PER_WIDE_ARRAY, WIDE_ARRAY_TASK_S = 12, 6.0
LOG_TAIL_CHARACTERS = 3000  # shown of each log if a check fails


class LoadGenerator:
    """Submits arrays, wide arrays and services, and follows each job to its end."""

    def __init__(self, cluster: LoopbackCluster) -> None:
        self.cluster = cluster
        self.submitted_count = 0
        self.job_tasks: list[asyncio.Task[str | None]] = []
        self.stopping = False

    def submit(self, seconds: float, cancel_after: float | None = None, **more: Any) -> None:
        """Submit a job whose tasks run for `seconds`; `more` has further fields of the job's description."""
        self.submitted_count += 1
        spec = self.cluster.job(self.submitted_count, **({"vcpus": 1.0} | more))
        self.cluster.durations[spec["id"]] = seconds
        self.job_tasks.append(self.cluster.spawn(self.cluster.follow(spec, cancel_after)))

    async def run(self) -> None:
        """Submit services, then arrays until `stopping` is set."""
        rng = self.cluster.random
        for _ in range(3):
            self.submit(0.0, shape="service", rank="prod", pieces=3, lane="web", loaners=False)
        while not self.stopping:
            await asyncio.sleep(rng.uniform(0.3, 0.9))
            if self.submitted_count % JOBS_PER_WIDE_ARRAY == 0:
                self.submit(WIDE_ARRAY_TASK_S, pieces=30, vcpus=6.0, builds=["small"])
            cancel_after = rng.uniform(0.5, 4.0) if rng.random() < 0.15 else None
            self.submit(rng.uniform(0.5, 4.0), cancel_after, pieces=rng.randint(1, 5))

    async def finish(self) -> None:
        """Stop submitting, wait for every array to end, and check that the state of each service can be queried."""
        self.stopping = True
        services = {spec["id"] for spec in self.cluster.jobs.values() if spec["shape"] == "service"}
        arrays = [task for task, job in zip(self.job_tasks, self.cluster.jobs, strict=False) if job not in services]
        async with asyncio.timeout(TIMEOUT_S):
            ends = await asyncio.gather(*arrays)
        assert None not in ends, f"some arrays were not accepted: {ends}"
        for job in services & self.cluster.rules.accepted:
            status, state = await self.cluster.ask_checked(job, "GET", f"/api/jobs/{job}")
            assert status == 200, (job, status, state)
            assert state in ("running", "pending"), (job, status, state)


async def wait_until_all_ready(cluster: LoopbackCluster) -> None:
    """Wait until every controller accepts requests."""
    async with asyncio.timeout(TIMEOUT_S):
        for label in cluster.labels:
            while (await cluster.ask("GET", "/ready", label=label))[0] != 200:
                await asyncio.sleep(READY_POLL_S)


def check_run(cluster: LoopbackCluster) -> None:
    """Check that no rule was violated, that the log of commits is valid, and that no controller failed."""
    logs = "\n".join(path.read_text()[-LOG_TAIL_CHARACTERS:] for path in sorted(cluster.folder.glob("*.log")))
    assert not cluster.rules.violations, "\n".join(cluster.rules.notes) + logs
    assert not History().check(cluster.state.log)
    assert not cluster.unexpectedly_ended(), logs
    assert "Traceback" not in logs, logs
    assert cluster.rules.starts > 0


@asynccontextmanager
async def running_cluster(cluster: LoopbackCluster) -> AsyncIterator[None]:
    """Start a cluster and enter the block when all controllers are ready; end all its processes afterwards."""
    try:
        await cluster.listen()
        await wait_until_all_ready(cluster)
        yield
    finally:
        await cluster.close()


@asynccontextmanager
async def under_load(cluster: LoopbackCluster) -> AsyncIterator[None]:
    """Submit jobs while the block runs; then wait for them to end and check the run."""
    load = LoadGenerator(cluster)
    submitting = cluster.spawn(load.run())
    yield
    load.stopping = True
    await submitting
    await load.finish()
    check_run(cluster)
