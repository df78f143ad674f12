"""Responses to users' requests about a job."""

from __future__ import annotations

from cloverplank.basic_types import JobId
from cloverplank.jobs import ranges
from cloverplank.jobs.blocked import BlockedJob
from cloverplank.jobs.records import JobRecord, Phase
from cloverplank.net.messages import Response, make_response
from cloverplank.wire.users import ErrorResponse, JobResponse

MAX_RETRY_AFTER_S = 30  # users accept no longer Retry-After


def service_unavailable(retry_after_s: float = 1.0) -> Response:
    """Return a 503 with a Retry-After header in whole seconds, from 1 to MAX_RETRY_AFTER_S."""
    retry_after = max(1, min(MAX_RETRY_AFTER_S, round(retry_after_s)))
    return make_response(503, ErrorResponse("not now"), Retry_After=str(retry_after))


def job_response(job_id: JobId, job: JobRecord | BlockedJob | Phase) -> JobResponse:
    """Return the state of a job as a message; `job` is an open job, a blocked one, or the phase of a final one."""
    if isinstance(job, Phase):
        return JobResponse(job_id, job.value)
    if isinstance(job, BlockedJob):
        return JobResponse(job_id, "pending", 0, 0)
    if job.phase is Phase.CANCELLED:
        return JobResponse(job_id, "cancelled")
    running = job.placed()
    return JobResponse(job_id, "running" if running else "pending", ranges.count(job.done), running)
