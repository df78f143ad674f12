"""Scheduling order of open jobs."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from msgspec import Struct

from cloverplank.basic_types import MS_PER_SECOND, WallTimeMs
from cloverplank.jobs.dependencies import RANKS, EffectivePriority, own_priority
from cloverplank.jobs.records import JobRecord
from cloverplank.scheduling.capacity import EPSILON

OVERDUE_MS = 100_000
FAR_OVERDUE_MS = 160_000

# Levels of `QueuedJob.overdue`
NOT_OVERDUE = 0
OVERDUE = 1  # scheduled like guaranteed jobs
FAR_OVERDUE = 2  # scheduled before all other jobs


class QueuedJob(Struct, eq=False):
    """An open job with the attributes that determine its position in the scheduling order."""

    record: JobRecord
    guaranteed: bool  # within its team's guaranteed quota
    headroom: bool = False  # a placeholder for headroom, not a job
    finish: float = 0.0  # earliest time at which it could be done, time of day in ms
    urgent: bool = True  # no longer waits for spot capacity
    overdue: int = NOT_OVERDUE
    deferred: bool = False  # waits while more important jobs of a lost zone lack capacity
    effective_priority: EffectivePriority | None = None  # with inheritance from dependents; None: the own one

    @property
    def rank(self) -> int:
        """The rank by which the job is scheduled; jobs with a lower number are scheduled first."""
        return RANKS[self.record.spec.rank] if self.effective_priority is None else self.effective_priority.rank

    def sort_key(self) -> tuple[bool, bool, int, bool, float, str]:
        """Return the sort key of the scheduling order."""
        return (
            self.overdue < FAR_OVERDUE,
            not (self.guaranteed or self.overdue),
            self.rank,
            not self.overdue,
            self.finish,
            self.record.id,
        )


def overdue(record: JobRecord, now: WallTimeMs) -> int:
    """Return the overdue level of a job.

    Guaranteed and small jobs may overtake a large one, but not indefinitely: no job waits much longer than these limits
    for its first task while other jobs get capacity.
    """
    if record.runs or record.done:
        return NOT_OVERDUE
    waited_ms = now - record.runnable_at
    if waited_ms > FAR_OVERDUE_MS:
        return FAR_OVERDUE
    return OVERDUE if waited_ms > OVERDUE_MS else NOT_OVERDUE


def is_protected(record: JobRecord, index: int, now: WallTimeMs) -> bool:
    """Return whether a task is protected from preemption, as the first task of a job that has waited for long is.

    Preempting it would make its job overdue immediately. The job would get the capacity back before the job that
    preempted it, and then be preempted by the same job again, indefinitely.
    """
    if record.done or now - record.runnable_at <= OVERDUE_MS or not record.runs:
        return False
    return index == min(run.tasks[0] for run in record.runs)


def earliest_finish(record: JobRecord, max_cpus: float) -> float:
    """Return when a job would be done, time of day in ms, if it had its team's whole quota from the start.

    Jobs of the same rank are scheduled in this order, which is the order of age except for large jobs: under a backlog,
    a large job scheduled by age would delay every small job that arrives after it.
    """
    spec = record.spec
    return record.runnable_at + MS_PER_SECOND * spec.tasks * spec.cpus * spec.estimate_s / max(max_cpus, spec.cpus, 1.0)


def scheduling_order(
    records: Iterable[JobRecord],
    guaranteed_quotas: Mapping[str, tuple[float, float]],
    max_cpus: Mapping[str, float] | None = None,
    now: WallTimeMs | None = None,
    priority_of: Callable[[JobRecord], EffectivePriority] = own_priority,
) -> list[QueuedJob]:
    """Return the jobs in scheduling order: guaranteed ones first, then by rank, then by earliest finish.

    A job is guaranteed if it fits into its team's guaranteed quota together with the team's jobs before it, in order of
    rank and age. `guaranteed_quotas`: cpus and gpus by team. `max_cpus`: the cpus that each team may use. Without `now`
    no job is overdue.
    """
    max_cpus = max_cpus or {}
    queued_jobs: list[QueuedJob] = []
    used: dict[str, tuple[float, float]] = {}
    by_age = sorted(
        ((priority_of(record), record) for record in records),
        key=lambda entry: (entry[0].rank, entry[1].runnable_at, entry[1].id),
    )
    for effective_priority, record in by_age:
        spec = record.spec
        open_tasks = record.placed() + record.missing_count()
        used_cpus, used_gpus = used.get(spec.team, (0.0, 0.0))
        used_cpus += spec.cpus * open_tasks
        used_gpus += spec.gpus * open_tasks
        used[spec.team] = (used_cpus, used_gpus)
        guaranteed_cpus, guaranteed_gpus = guaranteed_quotas.get(spec.team, (0.0, 0.0))
        guaranteed = used_cpus <= guaranteed_cpus + EPSILON and used_gpus <= guaranteed_gpus + EPSILON
        queued_jobs.append(
            QueuedJob(
                record,
                guaranteed,
                finish=earliest_finish(record, max_cpus[spec.team]) if spec.team in max_cpus else record.runnable_at,
                overdue=overdue(record, now) if now else NOT_OVERDUE,
                effective_priority=effective_priority,
            )
        )
    queued_jobs.sort(key=QueuedJob.sort_key)
    return queued_jobs
