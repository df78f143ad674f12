"""DAG dependency rules: when a blocked job is released or cancelled, and the priority that upstream jobs inherit.

An upstream job must be done before another job, its dependent, may start. All functions are pure.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import Enum
from typing import NamedTuple

from msgspec import Struct

from cloverplank.basic_types import MS_PER_SECOND, JobId
from cloverplank.jobs.blocked import BlockedJob, BlockedJobs
from cloverplank.jobs.records import BlockedJobRecord, JobRecord, Phase

RANKS = {"prod": 0, "urgent": 1, "standard": 2, "idle": 3}
LOWEST_RANK = max(RANKS.values())
ESTIMATE_FACTOR = 1.3  # job owners' run time estimates are often too low by a third


class UpstreamState(Enum):
    """The committed state of a job that another one depends on."""

    DONE = "done"
    CANCELLED = "cancelled"
    UNFINISHED = "unfinished"
    NOT_IN_MEMORY = "not in memory"  # ended some time ago; its final record must be read from the store


class DependencyVerdict(Enum):
    """The decision on a blocked job."""

    RELEASE = "release"
    CANCEL = "cancel"
    WAIT = "wait"
    READ_UPSTREAM = "look up"  # the states of some upstream jobs must be read first


UpstreamStateLookup = Callable[[JobId], UpstreamState]


def dependency_verdict(states: Iterable[UpstreamState]) -> DependencyVerdict:
    """Return the verdict on a blocked job, given the states of all its upstream jobs.

    DONE and CANCELLED are final states, so the verdicts RELEASE and CANCEL remain valid indefinitely.
    """
    present = set(states)
    if UpstreamState.CANCELLED in present:
        return DependencyVerdict.CANCEL
    if UpstreamState.NOT_IN_MEMORY in present:
        return DependencyVerdict.READ_UPSTREAM
    if UpstreamState.UNFINISHED in present:
        return DependencyVerdict.WAIT
    return DependencyVerdict.RELEASE


def state_of_phase(phase: Phase) -> UpstreamState:
    """Return the upstream state of a job, given the phase in its record or final record."""
    if phase is Phase.DONE:
        return UpstreamState.DONE
    return UpstreamState.CANCELLED if phase is Phase.CANCELLED else UpstreamState.UNFINISHED


def _all_upstream(job: BlockedJob, blocked_jobs: BlockedJobs) -> list[JobId]:
    """Return all direct and indirect upstream jobs; indirect ones are found through other blocked jobs."""
    found: dict[JobId, None] = {}
    to_visit = list(job.upstream)
    while to_visit:
        upstream = to_visit.pop()
        if upstream in found:
            continue
        found[upstream] = None
        blocked_upstream = blocked_jobs.get(upstream)
        if blocked_upstream is not None:
            to_visit += blocked_upstream.upstream
    return list(found)


def upstream_not_in_memory(job: BlockedJob, blocked_jobs: BlockedJobs, state_of: UpstreamStateLookup) -> list[JobId]:
    """Return the upstream jobs whose states must be read before `has_cancelled_upstream` gives a reliable result."""
    return [
        upstream for upstream in _all_upstream(job, blocked_jobs) if state_of(upstream) is UpstreamState.NOT_IN_MEMORY
    ]


def has_cancelled_upstream(job: BlockedJob, blocked_jobs: BlockedJobs, state_of: UpstreamStateLookup) -> bool:
    """Return whether a direct or indirect upstream job is cancelled, so that this job will be cancelled as well."""
    return any(state_of(upstream) is UpstreamState.CANCELLED for upstream in _all_upstream(job, blocked_jobs))


class EffectivePriority(Struct, frozen=True):
    """The priority of a job, including what it inherits from its dependents."""

    rank: int  # jobs with a lower number are scheduled first
    due_at: float | None  # time of day, ms


def own_priority(record: JobRecord) -> EffectivePriority:
    """Return the priority that a job has without dependents."""
    return EffectivePriority(RANKS[record.spec.rank], _due_at(record))


def _due_at(record: JobRecord | BlockedJobRecord) -> float | None:
    deadline_s = record.spec.deadline_s
    return None if deadline_s is None else record.submitted_at + MS_PER_SECOND * deadline_s


def _earlier(first: float | None, second: float | None) -> float | None:
    if first is None or second is None:
        return second if first is None else first
    return min(first, second)


class _Visit(NamedTuple):
    """A step of a depth-first search: each job is visited before its dependents, and again after all of them."""

    job: JobId
    after_dependents: bool


class EffectivePriorities:
    """Effective priorities of all jobs, cached until the set of blocked jobs changes."""

    def __init__(self, blocked_jobs: BlockedJobs) -> None:
        self._blocked_jobs = blocked_jobs
        self._inherited: dict[JobId, EffectivePriority] = {}
        self._version = -1

    def of(self, record: JobRecord) -> EffectivePriority:
        """Return the highest rank and the earliest due time of the job and its direct and indirect dependents.

        A deadline applies to the last job of a chain; each job before it is due earlier by the sum of the estimated run
        times of the jobs after it.
        """
        own = own_priority(record)
        if not self._blocked_jobs.dependents(record.id):
            return own
        inherited = self._inherited_by(record.id)
        return EffectivePriority(min(own.rank, inherited.rank), _earlier(own.due_at, inherited.due_at))

    def _inherited_by(self, job: JobId) -> EffectivePriority:
        if self._version != self._blocked_jobs.version:
            self._inherited.clear()
            self._version = self._blocked_jobs.version
        for each in self._dependents_first(job):
            if each not in self._inherited:
                self._inherited[each] = self._from_dependents(each)
        return self._inherited[job]

    def _dependents_first(self, job: JobId) -> list[JobId]:
        """Return the job and its direct and indirect dependents, each after its own dependents.

        The search is iterative rather than recursive, since chains may be long.
        """
        ordered: list[JobId] = []
        entered: set[JobId] = set()
        to_visit = [_Visit(job, after_dependents=False)]
        while to_visit:
            visit = to_visit.pop()
            if visit.after_dependents:
                ordered.append(visit.job)
            elif visit.job not in entered:
                entered.add(visit.job)
                to_visit.append(_Visit(visit.job, after_dependents=True))
                to_visit += [
                    _Visit(dependent, after_dependents=False) for dependent in self._blocked_jobs.dependents(visit.job)
                ]
        return ordered

    def _from_dependents(self, job: JobId) -> EffectivePriority:
        rank, due_at = LOWEST_RANK, None
        for dependent in self._blocked_jobs.dependents(job):
            record = self._blocked_jobs.jobs[dependent].record
            inherited = self._inherited.get(dependent, EffectivePriority(rank, None))
            rank = min(rank, RANKS[record.spec.rank], inherited.rank)
            dependent_due_at = _earlier(_due_at(record), inherited.due_at)
            if dependent_due_at is not None:
                run_time_ms = MS_PER_SECOND * record.spec.estimate_s * ESTIMATE_FACTOR
                due_at = _earlier(due_at, dependent_due_at - run_time_ms)
        return EffectivePriority(rank, due_at)
