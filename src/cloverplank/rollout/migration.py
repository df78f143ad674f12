"""Rewrites job records whose stored shape is not the one that the committed version asks for."""

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

MAX_CONCURRENT_REWRITES = 4  # leaves the key-value store's rate to other work
MAX_NAMED_JOBS = 5


def _unchanged(record: JobRecord) -> JobRecord:
    """Return the record as it is: the commit of this change stores it in the shape that is asked for."""
    return record


class Migration:
    """Counts the records to rewrite, and stages rewrites a few at a time."""

    def __init__(
        self, watch_cache: WatchCache, queue: TransactionQueue, clock: Clock, size_limits: RecordSizeLimits
    ) -> None:
        self._watch_cache = watch_cache
        self._queue = queue
        self._clock = clock
        self._size_limits = size_limits
        self._staged: dict[JobId, PendingChange] = {}

    def remaining(self, current: RolloutRecord, since: ModRevision) -> list[CachedJob]:
        """Return the jobs whose records are to be rewritten; `since` is the revision of the phase's commit."""
        if current.phase is RolloutPhase.ACTIVE:
            return list(self._in_other_shape())
        if current.phase is RolloutPhase.RETREATING:
            # Rewriting a plain record, too, makes late writes of programs that don't follow rollouts fail.
            return [
                job
                for job in self._watch_cache.store.jobs.values()
                if job.mod_revision < since or self._is_compact(job)
            ]
        return []

    def _in_other_shape(self) -> Iterator[CachedJob]:
        for job in self._watch_cache.store.jobs.values():
            wanted = self._size_limits.layout_kind(job.record)
            if wanted is not (LayoutKind.COMPACT if self._is_compact(job) else LayoutKind.PLAIN):
                yield job

    def stage_rewrites(self, remaining: list[CachedJob], since: ModRevision) -> None:
        """Stage rewrites of some of the jobs' records."""
        self._staged = {job_id: change for job_id, change in self._staged.items() if self._is_pending(job_id, change)}
        for job in remaining:
            if len(self._staged) >= MAX_CONCURRENT_REWRITES:
                break
            if job.pending or job.in_flight or not self._can_be_rewritten(job, since):
                continue
            change = PendingChange(_unchanged, TransactionPriority.MIGRATE, self._clock.monotonic())
            self._staged[job.id] = change
            self._queue.stage(job, change)

    def _is_pending(self, job_id: JobId, change: PendingChange) -> bool:
        job = self._watch_cache.store.get(job_id)
        return job is not None and any(other is change for other in job.pending)

    def _can_be_rewritten(self, job: CachedJob, since: ModRevision) -> bool:
        """Return whether a rewrite changes anything: not for a record that fits in its present shape only."""
        return (
            job.mod_revision < since
            or self._size_limits.layout_kind(job.record) is not LayoutKind.COMPACT
            or not self._is_compact(job)
        )

    def _is_compact(self, job: CachedJob) -> bool:
        return job.id in self._watch_cache.compact_jobs

    def stuck(self, remaining: list[CachedJob], since: ModRevision) -> list[JobId]:
        """Return some of the jobs whose records fit in their present shape only."""
        return [job.id for job in remaining if not self._can_be_rewritten(job, since)][:MAX_NAMED_JOBS]
