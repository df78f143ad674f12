"""Responses about blocked jobs, and their cancellation."""

from __future__ import annotations

import asyncio
import logging

from cloverplank.api.job_access import JobAccess
from cloverplank.api.responses import job_response, service_unavailable
from cloverplank.basic_types import JobId
from cloverplank.jobs import dependencies
from cloverplank.jobs.blocked import BlockedJob
from cloverplank.kvstore import job_transitions
from cloverplank.kvstore.transaction_priority import TransactionPriority
from cloverplank.net.messages import Response, make_response
from cloverplank.wire.users import JobResponse

log = logging.getLogger(__name__)

RESPONSE_TIMEOUT_S = 1.5  # a user's poll times out after two seconds


class BlockedJobResponses:
    """Answers requests about blocked jobs.

    A blocked job counts as pending only while no upstream job is known to be cancelled. The leader cancels blocked jobs
    with a cancelled upstream job, but an outage may delay that for longer than a response may be outdated. So a
    controller that finds such a job commits the cancellation before it responds. `cancel_s` is the time in seconds
    within which every controller must know of a cancellation.
    """

    def __init__(self, access: JobAccess, cancel_s: float) -> None:
        self._clock = access.clock
        self._watch_cache = access.watch_cache
        self._queue = access.queue
        self._reader = access.reader
        self._max_cache_age_s = cancel_s / 2

    def is_cache_stale(self) -> bool:
        """Return whether the watch cache may lack a cancellation that was committed over half of `cancel_s` ago."""
        return self._clock.monotonic() - self._watch_cache.complete_until > self._max_cache_age_s

    async def respond(self, job: BlockedJob) -> Response:
        """Return a response with the job's state, or a 503 where the state is unknown.

        Raises StoreError or TimeoutError where the key-value store does not respond.
        """
        if self.is_cache_stale():
            return service_unavailable()
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            if not await self.has_cancelled_upstream(job):
                return make_response(200, job_response(job.id, job))
            if await self.cancel(job):
                return make_response(200, JobResponse(job.id, "cancelled"))
        return service_unavailable()

    async def has_cancelled_upstream(self, job: BlockedJob) -> bool:
        """Return whether a direct or indirect upstream job of the job is cancelled.

        Reads upstream jobs that are not in memory. Raises StoreError where the key-value store does not respond.
        """
        blocked, state_of = self._watch_cache.blocked, self._watch_cache.upstream_state
        for upstream in dependencies.upstream_not_in_memory(job, blocked, state_of):
            await self._reader.read(upstream)
        return dependencies.has_cancelled_upstream(job, blocked, state_of)

    async def any_has_cancelled_upstream(self, job_ids: list[JobId]) -> bool:
        """Return whether any of these jobs is blocked and has a cancelled upstream job. Raises StoreError."""
        for job_id in job_ids:
            job = self._watch_cache.blocked.get(job_id)
            if job is not None and await self.has_cancelled_upstream(job):
                return True
        return False

    async def cancel(self, job: BlockedJob) -> bool:
        """Commit the job's cancellation; return False where it is no longer blocked. Raises StoreError."""
        result = await asyncio.shield(self._queue.commit(job_transitions.cancel(job), TransactionPriority.CANCEL))
        if result.conflicts:
            return False
        log.info("cancelled job %s, which was blocked", job.id)
        return True
