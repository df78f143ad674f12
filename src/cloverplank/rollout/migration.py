"""Migrates job records to the stored shape that the committed version requires."""

from __future__ import annotations

from collections.abc import Iterator

from cloverplank.basic_types import Clock, JobId, ModRevision
from cloverplank.jobs.layout_kind import LayoutKind
from cloverplank.jobs.records import JobRecord
from cloverplank.jobs.size_limits import RecordSizeLimits
from cloverplank.jobs.store import CachedJob, PendingChange
from cloverplank.kvstore.transaction_priority import TransactionPriority
from cloverplank.kvstore.transaction_queue import TransactionQueue
from cloverplank.kvstore.watch_cache import WatchCache
from cloverplank.records.rollout import RolloutPhase, RolloutRecord

MAX_CONCURRENT_REWRITES = 4  # keeps the key-value store's request rate available to other work
MAX_REPORTED_JOBS = 5


def _identity(record: JobRecord) -> JobRecord:
    """Return the record unchanged; committing this no-op change stores the record in the required shape."""
    return record


class Migration:
    """Finds the records to rewrite and stages at most MAX_CONCURRENT_REWRITES rewrites at a time."""

    def __init__(
        self, watch_cache: WatchCache, queue: TransactionQueue, clock: Clock, size_limits: RecordSizeLimits
    ) -> None:
        self._watch_cache = watch_cache
        self._queue = queue
        self._clock = clock
        self._size_limits = size_limits
        self._staged: dict[JobId, PendingChange] = {}

    def remaining(self, current: RolloutRecord, since: ModRevision) -> list[CachedJob]:
        """Return the jobs whose records must be rewritten; `since` is the revision of the phase's commit."""
        if current.phase is RolloutPhase.ACTIVE:
            return list(self._jobs_in_other_shape())
        if current.phase is RolloutPhase.RETREATING:
            # Plain records are rewritten, too: the new mod revision makes delayed writes of programs that don't follow
            # rollouts fail.
            return [
                job
                for job in self._watch_cache.store.jobs.values()
                if job.mod_revision < since or self._is_compact(job)
            ]
        return []

    def _jobs_in_other_shape(self) -> Iterator[CachedJob]:
        """Yield the jobs whose records are stored in another layout than the required one."""
        for job in self._watch_cache.store.jobs.values():
            required_layout_kind = self._size_limits.layout_kind(job.record)
            if required_layout_kind is not (LayoutKind.COMPACT if self._is_compact(job) else LayoutKind.PLAIN):
                yield job

    def stage_rewrites(self, remaining: list[CachedJob], since: ModRevision) -> None:
        """Stage rewrites of the given jobs' records, up to MAX_CONCURRENT_REWRITES at the same time."""
        self._staged = {
            job_id: change for job_id, change in self._staged.items() if self._is_change_pending(job_id, change)
        }
        for job in remaining:
            if len(self._staged) >= MAX_CONCURRENT_REWRITES:
                break
            if job.pending or job.in_flight or not self._can_be_rewritten(job, since):
                continue
            change = PendingChange(_identity, TransactionPriority.MIGRATE, self._clock.monotonic())
            self._staged[job.id] = change
            self._queue.stage(job, change)

    def _is_change_pending(self, job_id: JobId, change: PendingChange) -> bool:
        job = self._watch_cache.store.get(job_id)
        return job is not None and any(other is change for other in job.pending)

    def _can_be_rewritten(self, job: CachedJob, since: ModRevision) -> bool:
        """Return whether a rewrite has an effect; it has none on a record that fits only in its stored shape."""
        return (
            job.mod_revision < since
            or self._size_limits.layout_kind(job.record) is not LayoutKind.COMPACT
            or not self._is_compact(job)
        )

    def _is_compact(self, job: CachedJob) -> bool:
        return job.id in self._watch_cache.compact_jobs

    def unconvertible(self, remaining: list[CachedJob], since: ModRevision) -> list[JobId]:
        """Return up to MAX_REPORTED_JOBS jobs whose records fit only in their stored shape."""
        return [job.id for job in remaining if not self._can_be_rewritten(job, since)][:MAX_REPORTED_JOBS]
