"""Linearizable reads of jobs: concurrent reads are batched, and one transaction of compares validates a whole batch.

A response of one controller must not be contradicted by a later response of another one, so only final states are
returned from the watch cache without a request to the store.
"""

from __future__ import annotations

import asyncio
import logging

from msgspec import Struct, field

from cloverplank.background import BackgroundTasks
from cloverplank.basic_types import Clock, JobId, ModRevision
from cloverplank.jobs.blocked import BlockedJob
from cloverplank.jobs.layout import decode_stored, record_of
from cloverplank.jobs.records import BlockedJobRecord, FinalRecord, JobRecord, Phase
from cloverplank.kvstore import keys
from cloverplank.kvstore.client import StoreClient
from cloverplank.kvstore.errors import OutcomeUnknownError, StoreError, StoreUnavailableError
from cloverplank.kvstore.job_transitions import job_absent
from cloverplank.kvstore.watch_cache import WatchCache
from cloverplank.wire.codec import MessageDecodeError, decode
from cloverplank.wire.kvstore import MAX_COMPARES_PER_CHANGE, Compare, Transaction

log = logging.getLogger(__name__)

BATCH_DELAY_S = 0.002  # time in which concurrent reads are collected into a batch
MAX_BATCH_DELAY_S = 0.25  # longest delay of a batch while the request rate limit is exceeded
COMPARE_TIMEOUT_S = 0.9  # users wait two seconds for a response
MAX_BATCHES_IN_FLIGHT = 2
MAX_READS_PER_BATCH = 24  # changed jobs read one by one; users retry the others
MAX_QUEUED_READS = 2000

# The committed record, the final phase, or None if the job was never accepted.
JobState = JobRecord | BlockedJob | Phase | None


class _Batch(Struct):
    """Reads that are validated by one transaction of compares."""

    futures: dict[JobId, asyncio.Future[JobState]] = field(default_factory=dict)
    compares: dict[JobId, list[Compare]] = field(default_factory=dict)

    def fail(self, err: Exception) -> None:
        """Fail all reads of the batch that have no result yet."""
        for future in self.futures.values():
            _fail(future, err)


class LinearizableReader:
    """Reads the currently committed state of jobs.

    `txn_ops` is the maximum number of changes in a transaction.
    """

    def __init__(self, client: StoreClient, watch_cache: WatchCache, clock: Clock, txn_ops: int) -> None:
        self._client = client
        self._clock = clock
        self._watch_cache = watch_cache
        self._max_compares = txn_ops * MAX_COMPARES_PER_CHANGE
        self._queued: dict[JobId, asyncio.Future[JobState]] = {}
        self._batch_tasks = 0
        self._tasks = BackgroundTasks()

    async def read(self, job: JobId) -> JobState:
        """Return the committed state of a job: its record, its final phase, or None if it was never accepted.

        Raises StoreUnavailableError if the read queue is full, and StoreUnavailableError or OutcomeUnknownError if the
        store does not respond.
        """
        final = self._watch_cache.final(job)
        if final is not None:
            return final
        future = self._queued.get(job)
        if future is None:
            if len(self._queued) > MAX_QUEUED_READS:
                raise StoreUnavailableError(f"the read queue is full: more than {MAX_QUEUED_READS} jobs are queued")
            future = self._queued[job] = asyncio.get_running_loop().create_future()
            if self._batch_tasks < MAX_BATCHES_IN_FLIGHT:
                self._batch_tasks += 1
                self._tasks.spawn(self._answer_queued())
        return await asyncio.shield(future)

    async def _answer_queued(self) -> None:
        try:
            await asyncio.sleep(BATCH_DELAY_S)
            while self._queued:
                delay_s = self._client.request_tokens.seconds_until_available()
                if delay_s > 0:
                    await asyncio.sleep(min(MAX_BATCH_DELAY_S, delay_s))
                await self._answer_batch(self._next_batch())
        finally:
            self._batch_tasks -= 1

    def _next_batch(self) -> _Batch:
        """Take as many of the queued reads as fit the compares of one transaction, and at least one."""
        batch = _Batch()
        compares_left = self._max_compares
        for job, future in self._queued.items():
            compares = self._compares(job)
            compares_left -= len(compares)
            if compares_left < 0 and batch.futures:
                break
            batch.futures[job] = future
            batch.compares[job] = compares
        for job in batch.futures:
            del self._queued[job]
        return batch

    def _compares(self, job: JobId) -> list[Compare]:
        """Return the compares that hold if the cached state is current: its key is unchanged, or no key exists."""
        open_job = self._watch_cache.store.get(job)
        if open_job is not None:
            return [Compare(keys.job(job), open_job.mod_revision)]
        blocked_job = self._watch_cache.blocked.get(job)
        if blocked_job is not None:
            return [Compare(keys.blocked(job), blocked_job.mod_revision)]
        return job_absent(job)

    def _cached(self, job: JobId) -> JobState:
        open_job = self._watch_cache.store.get(job)
        return self._watch_cache.blocked.get(job) if open_job is None else open_job.record

    async def _answer_batch(self, batch: _Batch) -> None:
        try:
            cached = {job: self._cached(job) for job in batch.futures}
            changed_keys = await self._changed_keys(batch)
            await self._answer_each(batch, cached, changed_keys)
        except StoreError as err:
            batch.fail(err)
        except Exception as err:  # outermost level of the batch task: no read may wait indefinitely
            log.exception("linearizable reader: a batch of reads failed")
            batch.fail(err)

    async def _changed_keys(self, batch: _Batch) -> set[str]:
        """Return the keys of the batch that have changed since they were cached, or all keys if that is unknown."""
        if self._client.is_down():
            raise StoreUnavailableError("the store is down: all recent requests failed")
        compares = [compare for job_compares in batch.compares.values() for compare in job_compares]
        sent_at = self._clock.monotonic()
        try:
            response = await self._client.compare(Transaction(compares), COMPARE_TIMEOUT_S)
        except OutcomeUnknownError:
            if self._client.executed_request_sent_at < sent_at:
                raise
            # The store executes other requests, so only transactions are delayed: the jobs are read one by one.
            return {compare.key for compare in compares}
        return set(response.conflicts)

    async def _answer_each(self, batch: _Batch, cached: dict[JobId, JobState], changed_keys: set[str]) -> None:
        reads = 0
        for job, future in batch.futures.items():
            if all(compare.key not in changed_keys for compare in batch.compares[job]):
                _succeed(future, cached[job])
                continue
            reads += 1
            if reads > MAX_READS_PER_BATCH:
                _fail(
                    future, StoreUnavailableError(f"more than {MAX_READS_PER_BATCH} jobs of one batch have to be read")
                )
                continue
            try:
                _succeed(future, await self._read(job))
            except (StoreUnavailableError, OutcomeUnknownError) as err:
                _fail(future, err)  # the other reads of the batch are still answered

    async def _read(self, job: JobId) -> JobState:
        """Read the keys in the order in which a job moves between them, so that a job that moves is not missed."""
        try:
            if self._watch_cache.store.get(job) is None:
                blocked_job = await self._read_blocked(job)
                if blocked_job is not None:
                    return blocked_job
            stored = await self._client.get(keys.job(job))
            if stored is not None:
                record = decode_stored(bytes(stored.value))
                self._watch_cache.put(keys.job(job), record, ModRevision(stored.mod_revision))
                return record_of(record)
            return await self._read_final(job)
        except MessageDecodeError as err:
            raise OutcomeUnknownError(str(err)) from err

    async def _read_blocked(self, job: JobId) -> BlockedJob | None:
        stored = await self._client.get(keys.blocked(job))
        if stored is None:
            return None
        record = decode(bytes(stored.value), BlockedJobRecord)
        mod_revision = ModRevision(stored.mod_revision)
        self._watch_cache.put(keys.blocked(job), record, mod_revision)
        return BlockedJob(job, record, mod_revision)

    async def _read_final(self, job: JobId) -> Phase | None:
        stored = await self._client.get(keys.final(job))
        if stored is None:
            return None
        final = decode(bytes(stored.value), FinalRecord)
        mod_revision = ModRevision(stored.mod_revision)
        self._watch_cache.record_final(job, final.phase)
        self._watch_cache.store.remove(job, mod_revision)
        self._watch_cache.blocked.remove(job, mod_revision)
        return final.phase


def _succeed(future: asyncio.Future[JobState], state: JobState) -> None:
    if not future.done():
        future.set_result(state)


def _fail(future: asyncio.Future[JobState], err: Exception) -> None:
    if not future.done():
        future.set_exception(err)
        future.exception()  # marks the exception as retrieved, in case no caller awaits the future
