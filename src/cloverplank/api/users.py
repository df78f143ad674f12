"""Users: submit, get, cancel."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from msgspec import Struct

from cloverplank.jobs import records
from cloverplank.jobs.admission import refusal
from cloverplank.jobs.book import Pending
from cloverplank.jobs.limits import Limit
from cloverplank.jobs.records import JobRecord, Phase
from cloverplank.kinds import Clock, JobId
from cloverplank.net.messages import Request, Response, answer
from cloverplank.state import keys
from cloverplank.state.client import Lost, Refused, StateClient, Unknown
from cloverplank.state.fresh import Found, Fresh
from cloverplank.state.mirror import Mirror
from cloverplank.state.queue import CommitQueue, Full, Urgency
from cloverplank.wire.cloud import MachineType
from cloverplank.wire.codec import MAX_BODY, BadMessage, decode, json_size
from cloverplank.wire.statesvc import Commit, Condition, Put
from cloverplank.wire.users import ErrorAnswer, JobAnswer, decode_submission, valid_job_id

log = logging.getLogger("cloverplank.users")

JOBS_PATH = "/api/jobs"
LONGEST_WAIT_S = 1.5  # a submission that would wait longer for its commit is told when to come back
CANCEL_S = 3.0


class _OnlyId(Struct):
    id: str


def _busy(seconds: float = 1.0) -> Response:
    return answer(503, ErrorAnswer("not now"), Retry_After=str(max(1, min(30, round(seconds)))))


class Users:
    def __init__(
        self, clock: Clock, client: StateClient, mirror: Mirror, queue: CommitQueue, fresh: Fresh,
        limits: dict[str, Limit], types: Callable[[], dict[str, MachineType]], zones: list[str],
        value_bytes: int,
    ) -> None:
        self._clock = clock
        self._client = client
        self._mirror = mirror
        self._queue = queue
        self._fresh = fresh
        self._limits = limits
        self._types = types
        self._zones = zones
        self._value_bytes = value_bytes
        self.cancelled: Callable[[JobId], None] = lambda job: None  # a cancellation was committed here

    async def handle(self, request: Request) -> Response:
        rest = request.path[len(JOBS_PATH):].strip("/").split("/")
        try:
            if rest == [""]:
                if request.method != "POST":
                    return answer(405, ErrorAnswer("POST only"), Allow="POST")
                return await self._submit(request.body)
            if len(rest) == 1:
                if request.method != "GET":
                    return answer(405, ErrorAnswer("GET only"), Allow="GET")
                return await self._get(rest[0])
            if len(rest) == 2 and rest[1] == "cancel":
                if request.method != "POST":
                    return answer(405, ErrorAnswer("POST only"), Allow="POST")
                return await self._cancel(rest[0])
        except (Refused, Unknown, Full, Lost, TimeoutError) as err:
            log.debug("%s %s: not now: %s", request.method, request.path, err)
            return _busy()
        return answer(404, ErrorAnswer("no such path"))

    # -- answers

    @staticmethod
    def _state(job: JobId, found: JobRecord | Phase) -> JobAnswer:
        if isinstance(found, Phase):
            return JobAnswer(job, found.value)
        if found.phase is Phase.CANCELLED:
            return JobAnswer(job, "cancelled")
        running = found.placed()
        done = records.ranges.count(found.done)
        return JobAnswer(job, "running" if running else "pending", done, running)

    async def _get(self, job: str) -> Response:
        if not valid_job_id(job):
            return answer(404, ErrorAnswer("no such job"))
        found = await self._fresh.job(JobId(job))
        if found is None:
            return answer(404, ErrorAnswer("no such job"))
        return answer(200, self._state(JobId(job), found))

    # -- submission

    async def _submit(self, body: bytes) -> Response:
        began = self._clock.mono()
        try:
            spec = decode_submission(body)
        except BadMessage as err:
            known = await self._known_anyway(body)
            return known or answer(400, ErrorAnswer(str(err)[:200]))
        job = JobId(spec.id)
        if self._mirror.final(job) is not None or self._mirror.book.get(job) is not None:
            return answer(200, self._state(job, await self._existing(job)))
        if self._client.down():
            return _busy()
        types = self._types()
        if not types:
            return _busy()
        why = refusal(spec, self._limits, types.values(), self._zones)
        if why:
            found = await self._fresh.job(job)
            if found is not None:
                return answer(200, self._state(job, found))
            return answer(422, ErrorAnswer(why))
        record = JobRecord(spec, self._clock.wall())
        if json_size(record) > self._value_bytes * 0.5 or len(body) > MAX_BODY:
            return answer(400, ErrorAnswer("description too large"))
        wait = self._queue.wait_estimate()
        if wait > LONGEST_WAIT_S:
            return _busy(wait)
        commit = Commit([Condition(keys.job(job), 0), Condition(keys.final(job), 0)], [Put(keys.job(job), record)])
        async with asyncio.timeout(3.5):
            result = await self._queue.commit(commit, Urgency.SUBMIT, once=True)
        if result.failed:
            return answer(200, self._state(job, await self._existing(job)))
        log.info("accepted %s: %s %s of %s, %d tasks, in %.0f ms", job, spec.rank, spec.job_class, spec.team,
                 spec.tasks, 1000 * (self._clock.mono() - began))
        return answer(201, JobAnswer(job, "pending"))

    async def _existing(self, job: JobId) -> JobRecord | Phase:
        found = await self._fresh.job(job)
        if found is None:
            raise Unknown("a job that was there is not")
        return found

    async def _known_anyway(self, body: bytes) -> Response | None:
        """A job that was accepted stays so, whatever a repeated submission says besides its id."""
        try:
            job = decode(body, _OnlyId).id
        except BadMessage:
            return None
        if not valid_job_id(job):
            return None
        found: Found = await self._fresh.job(JobId(job))
        return None if found is None else answer(200, self._state(JobId(job), found))

    # -- cancelling

    async def _cancel(self, job_id: str) -> Response:
        if not valid_job_id(job_id):
            return answer(404, ErrorAnswer("no such job"))
        job = JobId(job_id)
        if self._client.down() and self._mirror.final(job) is None:
            return _busy()
        async with asyncio.timeout(CANCEL_S):
            while True:
                found = await self._fresh.job(job)
                if found is None:
                    return answer(404, ErrorAnswer("no such job"))
                if isinstance(found, Phase):
                    return answer(200, JobAnswer(job, found.value))
                if found.phase is Phase.CANCELLED:
                    return answer(200, JobAnswer(job, "cancelled"))
                view = self._mirror.book.get(job)
                if view is not None:
                    pending = Pending(records.cancel(), int(Urgency.CANCEL), self._clock.mono())
                    if await asyncio.shield(self._queue.changed(view, pending)):
                        log.info("cancelled %s", job)
                        self.cancelled(job)
                        return answer(200, JobAnswer(job, "cancelled"))
                await asyncio.sleep(0.02)
