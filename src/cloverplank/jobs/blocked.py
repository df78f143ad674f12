"""Cache of blocked jobs, which wait for their upstream jobs, with an index from each job to its dependents."""

from __future__ import annotations

from collections.abc import Callable, Collection

from msgspec import Struct

from cloverplank.basic_types import JobId, ModRevision
from cloverplank.jobs.records import BlockedJobRecord


class BlockedJob(Struct, frozen=True):
    """A blocked job with its committed record."""

    id: JobId
    record: BlockedJobRecord
    mod_revision: ModRevision

    @property
    def upstream(self) -> list[JobId]:
        """The jobs that must be done before this one is released."""
        return [JobId(name) for name in self.record.upstream]


class BlockedJobs:
    """All blocked jobs, and a queue of those to reconcile.

    A job is queued when its record or the state of one of its upstream jobs has changed.
    """

    def __init__(self) -> None:
        self.jobs: dict[JobId, BlockedJob] = {}
        self.version = 0  # incremented by each change of the blocked jobs
        self._listeners: list[Callable[[], None]] = []
        self._dependents: dict[JobId, dict[JobId, None]] = {}  # by upstream job, the latest change last
        self._reconcile_queue: dict[JobId, None] = {}

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Register a listener, which is called whenever a job is queued."""
        self._listeners.append(listener)

    def get(self, job: JobId) -> BlockedJob | None:
        """Return a blocked job, or None if the job is not blocked."""
        return self.jobs.get(job)

    def dependents(self, upstream: JobId) -> Collection[JobId]:
        """Return the blocked jobs that depend directly on this one."""
        return self._dependents.get(upstream, ())

    def apply(self, job: JobId, record: BlockedJobRecord, mod_revision: ModRevision) -> None:
        """Add or replace a committed record, unless the cached one is as new."""
        known = self.jobs.get(job)
        if known is not None:
            if mod_revision <= known.mod_revision:
                return
            self._unindex(known)
        blocked_job = self.jobs[job] = BlockedJob(job, record, mod_revision)
        for upstream in blocked_job.upstream:
            self._dependents.setdefault(upstream, {})[job] = None
        self.version += 1
        self.mark_changed(job)

    def remove(self, job: JobId, mod_revision: ModRevision) -> None:
        """Remove a job whose key was deleted at this revision, since it was released or cancelled."""
        known = self.jobs.get(job)
        if known is None or mod_revision <= known.mod_revision:
            return
        del self.jobs[job]
        self._unindex(known)
        self._reconcile_queue.pop(job, None)
        self.version += 1

    def _unindex(self, known: BlockedJob) -> None:
        for upstream in known.upstream:
            dependents = self._dependents.get(upstream)
            if dependents is not None:
                dependents.pop(known.id, None)
                if not dependents:
                    del self._dependents[upstream]

    def mark_changed(self, job: JobId) -> None:
        """Queue a job for reconciliation and call the listeners."""
        if job in self.jobs:
            self._reconcile_queue[job] = None
            for listener in self._listeners:
                listener()

    def mark_all_changed(self) -> None:
        """Queue all jobs for reconciliation without calling the listeners."""
        self._reconcile_queue.update(dict.fromkeys(self.jobs))

    def upstream_changed(self, upstream: JobId) -> None:
        """Queue the direct dependents of a job that is done or was cancelled."""
        for job in self.dependents(upstream):
            self.mark_changed(job)

    def take_changed(self) -> list[JobId]:
        """Return the queued jobs without duplicates, and clear the queue."""
        jobs = list(self._reconcile_queue)
        self._reconcile_queue.clear()
        return jobs
