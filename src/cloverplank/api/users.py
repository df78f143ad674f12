"""Users' requests about jobs: submit, get and cancel."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from functools import partial
from typing import NamedTuple

from cloverplank.api.blocked_jobs import BlockedJobResponses
from cloverplank.api.job_access import JobAccess
from cloverplank.api.responses import job_response, service_unavailable
from cloverplank.api.submission import Submissions
from cloverplank.basic_types import JobId
from cloverplank.jobs import records
from cloverplank.jobs.blocked import BlockedJob
from cloverplank.jobs.records import JobRecord, Phase
from cloverplank.jobs.store import ChangeOutcome, PendingChange
from cloverplank.kvstore.errors import StoreError
from cloverplank.kvstore.transaction_priority import TransactionPriority
from cloverplank.net.messages import Request, Response, make_response, method_not_allowed, not_found
from cloverplank.wire.users import JOBS_PATH, ErrorResponse, JobResponse, valid_job_id

log = logging.getLogger(__name__)

CANCEL_TIMEOUT_S = 3.0
CONFLICT_RETRY_INTERVAL_S = 0.02


class _Route(NamedTuple):
    """The only method that a path allows, and its handler."""

    method: str
    handle: Callable[[], Awaitable[Response]]


class JobRequestHandler:
    """Handles users' requests; `cancelled` is called after this controller has committed a cancellation."""

    def __init__(
        self,
        access: JobAccess,
        submissions: Submissions,
        blocked_jobs: BlockedJobResponses,
        cancelled: Callable[[JobId], None],
    ) -> None:
        self._clock = access.clock
        self._client = access.client
        self._watch_cache = access.watch_cache
        self._queue = access.queue
        self._reader = access.reader
        self._submissions = submissions
        self._blocked_jobs = blocked_jobs
        self._cancelled = cancelled

    async def handle(self, request: Request) -> Response:
        """Return the response to a request under JOBS_PATH."""
        route = self._route(request)
        if route is None:
            return not_found()
        if request.method != route.method:
            return method_not_allowed(route.method)
        try:
            return await route.handle()
        except (StoreError, TimeoutError) as err:
            log.debug("%s %s: responding with 503: %s", request.method, request.path, err)
            return service_unavailable()

    def _route(self, request: Request) -> _Route | None:
        match request.path[len(JOBS_PATH) :].strip("/").split("/"):
            case [""]:
                return _Route("POST", partial(self._submissions.submit, request.body))
            case [name]:
                return _Route("GET", partial(self._get, name))
            case [name, "cancel"]:
                return _Route("POST", partial(self._cancel, name))
            case _:
                return None

    async def _get(self, name: str) -> Response:
        if not valid_job_id(name):
            return _no_such_job()
        job_id = JobId(name)
        job = await self._reader.read(job_id)
        if job is None:
            return _no_such_job()
        if isinstance(job, BlockedJob):
            return await self._blocked_jobs.respond(job)
        return make_response(200, job_response(job_id, job))

    async def _cancel(self, name: str) -> Response:
        if not valid_job_id(name):
            return _no_such_job()
        job_id = JobId(name)
        if self._client.is_down() and self._watch_cache.final(job_id) is None:
            return service_unavailable()
        async with asyncio.timeout(CANCEL_TIMEOUT_S):
            while True:
                job = await self._reader.read(job_id)
                if job is None:
                    return _no_such_job()
                if isinstance(job, Phase):
                    return make_response(200, JobResponse(job_id, job.value))
                if await self._commit_cancellation(job_id, job):
                    return make_response(200, JobResponse(job_id, "cancelled"))
                await asyncio.sleep(CONFLICT_RETRY_INTERVAL_S)

    async def _commit_cancellation(self, job_id: JobId, job: JobRecord | BlockedJob) -> bool:
        """Return whether the job is cancelled; False where its record has changed since it was read."""
        if isinstance(job, BlockedJob):
            return await self._blocked_jobs.cancel(job)
        if job.phase is Phase.CANCELLED:
            return True
        cached = self._watch_cache.store.get(job_id)
        if cached is None:
            return False
        change = PendingChange(records.cancel(), int(TransactionPriority.CANCEL), self._clock.monotonic())
        if await asyncio.shield(self._queue.stage_and_wait(cached, change)) is not ChangeOutcome.COMMITTED:
            return False
        log.info("cancelled job %s", job_id)
        self._cancelled(job_id)
        return True


def _no_such_job() -> Response:
    return make_response(404, ErrorResponse("no such job"))
