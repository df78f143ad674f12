"""Pace of starts in a zone that recovers from a loss."""

from __future__ import annotations

from cloverplank.scheduling.capacity import FreeCapacity
from cloverplank.shard.shard_types import TaskState
from cloverplank.shard.state import ShardState


class RecoveryPace:
    """What may be started in one scheduling cycle: starts a second, and machines that pull images at a time."""

    def __init__(self, state: ShardState) -> None:
        limits = state.plan.limits
        self._start_pace = state.start_pace
        self._starts_per_s = limits.starts_per_second
        self._starts = self._start_pace.available(self._starts_per_s, state.clock.monotonic())
        self._pulling = {
            machine.id
            for machine in state.machines.values()
            if any(task.state == TaskState.PULLING for task in machine.tasks.values())
        }
        self._max_pulling = limits.max_concurrent_pulls

    def allowed_starts(self, tasks: int, *, gang: bool) -> int:
        """Return how many of so many tasks may start now.

        A gang starts whole, once the starts of a second have gathered.
        """
        if gang:
            return tasks if self._starts >= min(tasks, int(self._starts_per_s)) else 0
        return min(tasks, self._starts)

    def may_use(self, capacity: FreeCapacity, image: str) -> bool:
        """Return whether the machine has the image or may pull it, and count it among those that pull."""
        if image in capacity.images or capacity.machine in self._pulling:
            return True
        if len(self._pulling) >= self._max_pulling:
            return False
        self._pulling.add(capacity.machine)
        return True

    def record_starts(self, starts: int) -> None:
        """Count tasks that were placed."""
        self._starts -= starts
        self._start_pace.take(starts)
