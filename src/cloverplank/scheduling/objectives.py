"""Service-level objectives: when jobs should be done, and how long they can still wait before they start."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from cloverplank.basic_types import MS_PER_SECOND, WallTimeMs
from cloverplank.jobs.dependencies import ESTIMATE_FACTOR, RANKS, EffectivePriority, own_priority
from cloverplank.jobs.records import JobRecord

NO_OBJECTIVE_MS = 60_000  # maximum wait for spot capacity of a job without objectives


class ServiceLevelObjectives(Struct, frozen=True):
    """The objectives for when jobs should be done.

    `finish_within`: objectives in seconds, by job class. `patience`: the fraction of its time that a job may spend
    waiting for spot capacity. `priority_of`: returns the effective priority of a job.
    """

    finish_within: dict[str, list[float]]
    patience: float
    priority_of: Callable[[JobRecord], EffectivePriority] = own_priority

    def for_job(self, record: JobRecord) -> list[float]:
        """Return the job's objectives in seconds from the time at which it became runnable, the tightest first."""
        due_at = self.priority_of(record).due_at
        due = [] if due_at is None else [(due_at - record.runnable_at) / MS_PER_SECOND]
        return sorted([*due, *self.finish_within.get(record.spec.job_class, ())])

    def remaining_times(self, record: JobRecord, now: WallTimeMs) -> list[float]:
        """Return for each objective how many seconds the job can still wait before it starts."""
        used_s = (now - record.runnable_at) / MS_PER_SECOND + record.spec.estimate_s * ESTIMATE_FACTOR
        return [objective - used_s for objective in self.for_job(record)]

    def time_left(self, record: JobRecord, now: WallTimeMs) -> float | None:
        """Return how many seconds a job can wait and still meet its next objective, or None without objectives.

        The value is negative for a job that is too late for all objectives; it then refers to the last one.
        """
        remaining_times = self.remaining_times(record, now)
        if not remaining_times:
            return None
        return next((remaining for remaining in remaining_times if remaining >= 0), remaining_times[-1])

    def urgent(self, record: JobRecord, now: WallTimeMs) -> bool:
        """Return whether the job should stop waiting for spot capacity."""
        spec = record.spec
        if not spec.spot or self.priority_of(record).rank <= RANKS["urgent"]:
            return True
        objectives = self.for_job(record)
        if not objectives:
            return now - record.runnable_at > NO_OBJECTIVE_MS
        return self.remaining_times(record, now)[0] < (1 - self.patience) * objectives[0]
