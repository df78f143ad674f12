"""Measures for how long replicas of services are missing."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.loopback.cluster import LoopbackCluster

SAMPLE_S = 0.1


@dataclass
class ReplicaGap:
    """Time for which replicas of a service were missing since all of them ran for the first time.

    `longest_s` is the longest time for which any replica was missing, `missed_s` the sum of replica-seconds.
    """

    first_complete_at: float | None = None
    incomplete_since: float | None = None
    longest_s: float = 0.0
    missed_s: float = 0.0

    def sample(self, now: float, running: int, wanted: int) -> None:
        """Record how many replicas are running."""
        if running == wanted:
            self.first_complete_at = self.first_complete_at or now
            self.incomplete_since = None
        elif self.first_complete_at is not None:
            self.incomplete_since = self.incomplete_since or now
            self.longest_s = max(self.longest_s, now - self.incomplete_since)
            self.missed_s += SAMPLE_S * (wanted - running)


class ReplicaMonitor:
    """Samples all accepted services of a cluster for which no user has requested cancellation."""

    def __init__(self, cluster: LoopbackCluster) -> None:
        self._cluster = cluster
        self.gaps: dict[str, ReplicaGap] = {}

    async def run(self) -> None:
        """Sample until cancelled."""
        rules = self._cluster.rules
        while True:
            for job, spec in list(self._cluster.jobs.items()):
                if spec["shape"] == "service" and job in rules.accepted and job not in rules.cancel_asked:
                    self._sample(job, spec["pieces"])
            await asyncio.sleep(SAMPLE_S)

    def longest_s(self) -> float:
        """Return the longest time for which a service had a missing replica, in seconds."""
        return max((gap.longest_s for gap in self.gaps.values()), default=0.0)

    def missed_s(self) -> float:
        """Return the total time of missing replicas, in replica-seconds."""
        return sum(gap.missed_s for gap in self.gaps.values())

    def _sample(self, job: str, wanted: int) -> None:
        gap = self.gaps.setdefault(job, ReplicaGap())
        running = sum(bool(self._cluster.rules.running_on.get(name)) for name in self._cluster.tasks_of(job))
        gap.sample(self._cluster.now(), running, wanted)
