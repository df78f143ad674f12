"""Throttle of task starts and image pulls in a zone that is recovering from a loss."""

from __future__ import annotations

from cloverplank.scheduling.capacity import FreeCapacity
from cloverplank.shard.shard_types import TaskState
from cloverplank.shard.state import ShardState


class RecoveryThrottle:
    """Limits, for one scheduling cycle, task starts per second and the machines that pull images concurrently."""

    def __init__(self, state: ShardState) -> None:
        limits = state.plan.limits
        self._start_rate_limiter = state.start_rate_limiter
        self._starts_per_s = limits.starts_per_second
        self._starts = self._start_rate_limiter.available(self._starts_per_s, state.clock.monotonic())
        self._pulling = {
            machine.id
            for machine in state.machines.values()
            if any(task.state == TaskState.PULLING for task in machine.tasks.values())
        }
        self._max_pulling = limits.max_concurrent_pulls

    def allowed_starts(self, tasks: int, *, gang: bool) -> int:
        """Return how many of the given number of tasks may start now.

        A gang starts as a whole, once enough starts have accumulated for it, or those of one second for a larger gang.
        """
        if gang:
            return tasks if self._starts >= min(tasks, int(self._starts_per_s)) else 0
        return min(tasks, self._starts)

    def may_use(self, capacity: FreeCapacity, image: str) -> bool:
        """Return whether the machine has the image or may pull it; one that may pull it counts as pulling then."""
        if image in capacity.images or capacity.machine in self._pulling:
            return True
        if len(self._pulling) >= self._max_pulling:
            return False
        self._pulling.add(capacity.machine)
        return True

    def record_starts(self, starts: int) -> None:
        """Deduct tasks that were placed from the starts that are available."""
        self._starts -= starts
        self._start_rate_limiter.take(starts)
