"""Responses about blocked jobs, and their cancellation."""

from __future__ import annotations

import asyncio
import logging

from cloverplank.api.job_access import JobAccess
from cloverplank.api.responses import busy, job_response
from cloverplank.basic_types import JobId
from cloverplank.jobs import dependencies
from cloverplank.jobs.blocked import BlockedJob
from cloverplank.kvstore import job_transitions
from cloverplank.kvstore.transaction_priority import TransactionPriority
from cloverplank.net.messages import Response, make_response
from cloverplank.wire.users import JobResponse

log = logging.getLogger(__name__)

RESPONSE_TIMEOUT_S = 1.5  # users wait two seconds for a response to a poll


class BlockedJobResponses:
    """Answers requests about blocked jobs.

    A blocked job counts as pending only while no upstream job is known to be cancelled. The leader cancels such jobs,
    but an outage may delay it for longer than users may be told an outdated state. So a controller that finds one
    commits the cancellation before it responds. `cancel_s` is the time within which every controller must know of a
    cancellation.
    """

    def __init__(self, access: JobAccess, cancel_s: float) -> None:
        self._clock = access.clock
        self._watch_cache = access.watch_cache
        self._queue = access.queue
        self._reader = access.reader
        self._max_cache_age_s = cancel_s / 2

    def is_cache_stale(self) -> bool:
        """Return whether a cancellation may have been committed long ago and not be known here."""
        return self._clock.monotonic() - self._watch_cache.complete_until > self._max_cache_age_s

    async def respond(self, job: BlockedJob) -> Response:
        """Return the job's state, or 503 where it is not known.

        Raises StoreError or TimeoutError where the store does not respond.
        """
        if self.is_cache_stale():
            return busy()
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            if not await self.has_cancelled_upstream(job):
                return make_response(200, job_response(job.id, job))
            if await self.cancel(job):
                return make_response(200, JobResponse(job.id, "cancelled"))
        return busy()

    async def has_cancelled_upstream(self, job: BlockedJob) -> bool:
        """Return whether a job that it needs, directly or through others, is cancelled.

        Reads what is not in memory; raises StoreError where the store does not respond.
        """
        blocked, state_of = self._watch_cache.blocked, self._watch_cache.upstream_state
        for upstream in dependencies.upstream_not_in_memory(job, blocked, state_of):
            await self._reader.read(upstream)
        return dependencies.has_cancelled_upstream(job, blocked, state_of)

    async def any_has_cancelled_upstream(self, job_ids: list[JobId]) -> bool:
        """Return whether `has_cancelled_upstream` holds for one of those jobs that are blocked."""
        for job_id in job_ids:
            job = self._watch_cache.blocked.get(job_id)
            if job is not None and await self.has_cancelled_upstream(job):
                return True
        return False

    async def cancel(self, job: BlockedJob) -> bool:
        """Commit the job's cancellation; return False where it is not blocked any more. Raises StoreError."""
        result = await asyncio.shield(self._queue.commit(job_transitions.cancel(job), TransactionPriority.CANCEL))
        if result.conflicts:
            return False
        log.info("cancelled job %s, which was blocked", job.id)
        return True
