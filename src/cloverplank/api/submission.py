"""Submissions: what is refused, what becomes of a job with upstream jobs, and the transaction that accepts it."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from msgspec import Struct

from cloverplank.api.blocked_jobs import BlockedJobResponses
from cloverplank.api.job_access import JobAccess
from cloverplank.api.responses import busy, job_response
from cloverplank.basic_types import MS_PER_SECOND, JobId, MonotonicTime
from cloverplank.errors import CloverplankError
from cloverplank.jobs.blocked import BlockedJob
from cloverplank.jobs.dependencies import DependencyVerdict, UpstreamState, dependency_verdict
from cloverplank.jobs.records import BlockedJobRecord, FinalRecord, JobRecord, Phase
from cloverplank.kvstore import keys
from cloverplank.kvstore.errors import OutcomeUnknownError
from cloverplank.kvstore.job_transitions import job_absent
from cloverplank.kvstore.transaction_priority import TransactionPriority
from cloverplank.net.messages import Response, make_response, undecodable
from cloverplank.scheduling.admission import rejection_reason
from cloverplank.scheduling.quotas import Quota
from cloverplank.wire.cloud import MachineType
from cloverplank.wire.codec import MAX_BODY, MessageDecodeError, decode, json_size
from cloverplank.wire.kvstore import Put, Transaction
from cloverplank.wire.users import ErrorResponse, JobResponse, JobSpec, Submission, decode_submission, valid_job_id

log = logging.getLogger(__name__)

MAX_COMMIT_WAIT_S = 1.5  # a submission that would wait longer is told when to retry
COMMIT_TIMEOUT_S = 3.5  # users wait five seconds for a response
NEW_RECORD_FRACTION = 0.5  # of the largest value: the record grows as the job is placed
MAX_UPSTREAM_READS = 20
MAX_BLOCKED_JOBS = 20_000  # every controller has them all in memory


@dataclass(frozen=True, kw_only=True)
class SubmissionLimits:
    """What a submission is checked against: the deployment's teams, machine types, zones and size of a value."""

    quotas: dict[str, Quota]
    machine_types: Callable[[], dict[str, MachineType]]
    zones: list[str]
    value_bytes: int


class SubmissionRejectedError(CloverplankError):
    """The submission can't be accepted, with the status and the reason that its user is told."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class _OnlyId(Struct):
    """The part of a submission that identifies its job."""

    id: str


class _Acceptance(Struct, frozen=True):
    """The transaction that accepts a job, and the state that its user is told."""

    transaction: Transaction
    state: str


class _UpstreamResult(Struct, frozen=True):
    """What becomes of a job by the states of its upstream jobs, and which of those are unfinished."""

    verdict: DependencyVerdict
    unfinished: list[JobId]


class Submissions:
    """Accepts the users' submissions."""

    def __init__(self, access: JobAccess, limits: SubmissionLimits, blocked_jobs: BlockedJobResponses) -> None:
        self._clock = access.clock
        self._client = access.client
        self._watch_cache = access.watch_cache
        self._queue = access.queue
        self._reader = access.reader
        self._limits = limits
        self._blocked_jobs = blocked_jobs

    async def submit(self, body: bytes) -> Response:
        """Return the response to a submission. Raises StoreError or TimeoutError where its outcome is unknown."""
        received_at = self._clock.monotonic()
        try:
            submission = decode_submission(body)
        except MessageDecodeError as err:
            return await self._accepted_before_by_id_alone(body) or undecodable(err)
        job_id = JobId(submission.spec.id)
        if self._watch_cache.knows(job_id):
            return await self._accepted_before(job_id)
        if self._client.is_down() or not self._limits.machine_types():
            return busy()
        try:
            acceptance = await self._prepare(submission, len(body))
        except SubmissionRejectedError as rejection:
            response = await self._accepted_before_or_none(job_id)
            return response or make_response(rejection.status, ErrorResponse(rejection.reason))
        wait_s = self._queue.wait_estimate()
        if wait_s > MAX_COMMIT_WAIT_S:
            return busy(wait_s)
        return await self._commit(submission, acceptance, received_at)

    async def _commit(self, submission: Submission, acceptance: _Acceptance, received_at: MonotonicTime) -> Response:
        job_id = JobId(submission.spec.id)
        async with asyncio.timeout(COMMIT_TIMEOUT_S):
            result = await self._queue.commit(acceptance.transaction, TransactionPriority.SUBMIT, once=True)
        if result.conflicts:
            return await self._accepted_before(job_id)
        self._log_accepted(submission, acceptance.state, received_at)
        return make_response(201, JobResponse(job_id, acceptance.state))

    def _log_accepted(self, submission: Submission, state: str, received_at: MonotonicTime) -> None:
        spec = submission.spec
        needs = f", needs {' '.join(submission.upstream)}" if submission.upstream else ""
        log.info(
            "accepted job %s (%s): %s %s of %s, %d tasks%s, in %.0f ms",
            spec.id,
            state,
            spec.rank,
            spec.job_class,
            spec.team,
            spec.tasks,
            needs,
            MS_PER_SECOND * (self._clock.monotonic() - received_at),
        )

    async def _prepare(self, submission: Submission, body_bytes: int) -> _Acceptance:
        """Return how the job is accepted. Raises SubmissionRejectedError."""
        spec = submission.spec
        limits = self._limits
        reason = rejection_reason(spec, limits.quotas, limits.machine_types().values(), limits.zones)
        if reason:
            raise SubmissionRejectedError(422, reason)
        conditions = job_absent(JobId(spec.id))
        upstream = await self._check_upstream(submission)
        if upstream.verdict is DependencyVerdict.CANCEL:
            self._check_size(spec, [], body_bytes)
            put = Put(keys.final(spec.id), FinalRecord(Phase.CANCELLED, spec.tasks))
            return _Acceptance(Transaction(conditions, [put]), Phase.CANCELLED.value)
        self._check_size(spec, upstream.unfinished, body_bytes)
        if upstream.unfinished:
            if len(self._watch_cache.blocked.jobs) >= MAX_BLOCKED_JOBS:
                raise OutcomeUnknownError("too many jobs wait for others")
            record = BlockedJobRecord(spec, self._clock.wall_ms(), list(upstream.unfinished))
            return _Acceptance(Transaction(conditions, [Put(keys.blocked(spec.id), record)]), "pending")
        put = Put(keys.job(spec.id), JobRecord(spec, self._clock.wall_ms()))
        return _Acceptance(Transaction(conditions, [put]), "pending")

    def _check_size(self, spec: JobSpec, upstream: list[JobId], body_bytes: int) -> None:
        """Raise SubmissionRejectedError where the key-value store would not take the job's records."""
        if json_size(JobRecord(spec, self._clock.wall_ms())) > self._limits.value_bytes * NEW_RECORD_FRACTION:
            raise SubmissionRejectedError(400, "description too large")
        blocked = BlockedJobRecord(spec, self._clock.wall_ms(), list(upstream))
        if json_size(blocked) > self._limits.value_bytes or body_bytes > MAX_BODY:
            raise SubmissionRejectedError(400, "description too large: it needs too many unfinished jobs")

    async def _check_upstream(self, submission: Submission) -> _UpstreamResult:
        """Return what the upstream jobs mean for the job. Raises SubmissionRejectedError."""
        upstream = [JobId(name) for name in dict.fromkeys(submission.upstream)]
        if submission.spec.id in upstream:
            raise SubmissionRejectedError(422, "waits_on: the job itself")
        await self._read_missing(upstream)
        states = {job_id: self._watch_cache.upstream_state(job_id) for job_id in upstream}
        if UpstreamState.NOT_IN_MEMORY in states.values():
            raise OutcomeUnknownError("not all jobs that it needs are read yet")
        for job_id in upstream:
            self._check_not_service(job_id)
        if upstream and self._blocked_jobs.is_cache_stale():
            raise OutcomeUnknownError("a cancellation of a job that it needs may not be known here")
        if await self._blocked_jobs.any_has_cancelled_upstream(upstream):
            return _UpstreamResult(DependencyVerdict.CANCEL, [])
        unfinished = [job_id for job_id, state in states.items() if state is UpstreamState.UNFINISHED]
        return _UpstreamResult(dependency_verdict(states.values()), unfinished)

    async def _read_missing(self, upstream: list[JobId]) -> None:
        """Read upstream jobs that are not in memory. Raises SubmissionRejectedError where one does not exist.

        Reads a bounded number, so that one submission does not use up the request rate that all share. What is read
        stays in memory, so that a repeated submission gets further.
        """
        not_in_memory = [
            job_id for job_id in upstream if self._watch_cache.upstream_state(job_id) is UpstreamState.NOT_IN_MEMORY
        ][:MAX_UPSTREAM_READS]
        jobs = await asyncio.gather(*(self._reader.read(job_id) for job_id in not_in_memory))
        for job_id, job in zip(not_in_memory, jobs, strict=True):
            if job is None:
                raise SubmissionRejectedError(422, f"waits_on: {job_id} was never accepted")

    def _check_not_service(self, job_id: JobId) -> None:
        cached = self._watch_cache.store.get(job_id)
        if cached is not None and cached.record.spec.service:
            raise SubmissionRejectedError(422, f"waits_on: {job_id} is a service and never done")

    async def _accepted_before(self, job_id: JobId) -> Response:
        """Return the response for a job that was accepted before."""
        response = await self._accepted_before_or_none(job_id)
        if response is None:
            raise OutcomeUnknownError("a job that was there is not")
        return response

    async def _accepted_before_or_none(self, job_id: JobId) -> Response | None:
        job = await self._reader.read(job_id)
        if isinstance(job, BlockedJob):
            return await self._blocked_jobs.respond(job)
        return None if job is None else make_response(200, job_response(job_id, job))

    async def _accepted_before_by_id_alone(self, body: bytes) -> Response | None:
        """Return the response for an accepted job whose repeated submission is invalid except for its id."""
        try:
            name = decode(body, _OnlyId).id
        except MessageDecodeError:
            return None
        if not valid_job_id(name):
            return None
        return await self._accepted_before_or_none(JobId(name))
