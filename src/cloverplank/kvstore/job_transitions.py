"""Transactions that release or cancel a blocked job: each deletes the job's key and writes its next key.

They are conditional only on the mod revision of the deleted key. The upstream jobs on which they are based are done or
cancelled, which is final, so such a transaction is correct regardless of its sender and of how late it is executed.
"""

from __future__ import annotations

from cloverplank.basic_types import JobId, WallTimeMs
from cloverplank.jobs.blocked import BlockedJob
from cloverplank.jobs.records import FinalRecord, Phase
from cloverplank.kvstore import keys
from cloverplank.wire.kvstore import Compare, Delete, Put, Transaction


def job_absent(job: JobId) -> list[Compare]:
    """Return the compares that hold if no job with this id was accepted: none of its possible keys exists."""
    return [Compare(key, 0) for key in keys.job_keys(job)]


def release(job: BlockedJob, now: WallTimeMs) -> Transaction:
    """Return the transaction that makes the job runnable, once all its upstream jobs are done."""
    return _move(job, Put(keys.job(job.id), job.record.released(now)))


def cancel(job: BlockedJob) -> Transaction:
    """Return the transaction that cancels the job, on its user's request or after an upstream job was cancelled."""
    return _move(job, Put(keys.final(job.id), FinalRecord(Phase.CANCELLED, job.record.spec.tasks)))


def _move(job: BlockedJob, put: Put) -> Transaction:
    key = keys.blocked(job.id)
    return Transaction([Compare(key, job.mod_revision)], [Delete(key), put])
