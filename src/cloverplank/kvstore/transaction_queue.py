"""One rate-limited queue for all transactions of a controller.

Changes to one job are merged into one transaction. A transaction whose outcome is unknown is retried unchanged until
the response is definite: its compares name the mod revisions from which it was computed, so at most one of its copies
is executed, however late they arrive.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from cloverplank.background import BackgroundTasks, wait_for_event
from cloverplank.basic_types import NEVER, Clock, ModRevision, MonotonicTime
from cloverplank.jobs.layout_kind import LayoutKind
from cloverplank.jobs.records import FinalRecord
from cloverplank.jobs.size_limits import RecordSizeLimits
from cloverplank.jobs.store import CachedJob, ChangeOutcome, PendingChange
from cloverplank.kvstore import keys
from cloverplank.kvstore.client import UNKNOWN_KEY, StoreClient
from cloverplank.kvstore.errors import (
    OutcomeUnknownError,
    QueueFullError,
    StoreError,
    StoreUnavailableError,
    TransactionRejectedError,
)
from cloverplank.kvstore.job_transactions import JobTransaction, JobTransactionBuilder
from cloverplank.kvstore.transaction_backlog import QueuedTransaction, Selection, TransactionBacklog
from cloverplank.kvstore.transaction_priority import TransactionPriority, reserved_changes
from cloverplank.kvstore.watch_cache import WatchCache
from cloverplank.kvstore.write_demand import WriteDemandMeter
from cloverplank.wire.codec import MessageDecodeError, decode
from cloverplank.wire.kvstore import Compare, Put, Transaction, TransactionResponse

log = logging.getLogger(__name__)

PREPAID_CHANGES = 1.0  # tokens taken when a transaction is selected; those for its other changes when it is sent
MAX_IN_FLIGHT = 8
MAX_QUEUED = 400
POLL_INTERVAL_S = 0.02  # time between two checks for changes that have become ready
MIN_TOKEN_WAIT_S = POLL_INTERVAL_S / 4
MAX_TOKEN_WAIT_S = POLL_INTERVAL_S * 10
IDLE_INTERVAL_S = 1.0
MIN_RETRY_INTERVAL_S = 0.1
MAX_RETRY_INTERVAL_S = 0.5
RETRY_INTERVAL_FACTOR = 1.6
REREAD_RETRY_INTERVAL_S = 0.2
GATE_CONFLICT_BACKOFF_S = 0.1  # allows the watch to deliver the change of the gate's key before the retry
MIN_REJECTED_BACKOFF_S = 0.5
MAX_REJECTED_BACKOFF_S = 8.0
MIN_LOGGED_BACKLOG = 60  # transactions and jobs
BACKLOG_LOG_INTERVAL_S = 10.0
DEFAULT_MAX_VALUE_BYTES = 64 * 1024  # used if no size limits are given


def _ungated(layout_kind: LayoutKind) -> list[Compare]:
    return []


class TransactionQueue:
    """Sends transactions in the order of their priorities, as fast as the token bucket for changes allows.

    `gate` returns the compares that a write in a layout is conditional on, in addition to those of the record.
    """

    def __init__(
        self,
        client: StoreClient,
        watch_cache: WatchCache,
        clock: Clock,
        size_limits: RecordSizeLimits | None = None,
        gate: Callable[[LayoutKind], list[Compare]] = _ungated,
    ) -> None:
        self._client = client
        self._watch_cache = watch_cache
        self._job_store = watch_cache.store
        self._clock = clock
        self._builder = JobTransactionBuilder(
            watch_cache,
            size_limits or RecordSizeLimits(DEFAULT_MAX_VALUE_BYTES, DEFAULT_MAX_VALUE_BYTES, lambda: False),
            gate,
        )
        self._backlog = TransactionBacklog(watch_cache.effective_priorities)
        self._write_demand = WriteDemandMeter(clock, client.change_tokens)
        self._in_flight = 0
        self._tasks = BackgroundTasks()
        self._wake = asyncio.Event()
        self._backlog_logged_at = NEVER

    def backlog(self) -> int:
        """Return the number of queued transactions and of jobs whose changes are not committed yet."""
        return len(self._backlog)

    def wait_estimate(self) -> float:
        """Return the seconds after which a transaction that is queued now can be sent."""
        return self._client.change_tokens.seconds_until_available(len(self._backlog.transactions) + 1.0)

    def demand(self) -> float:
        """Return the changes per second that this controller makes, or would make without a rate limit."""
        return self._write_demand.sample(self.backlog())

    # -- requests

    def stage(self, job: CachedJob, pending: PendingChange) -> None:
        """Queue a change of a job. The staged record reflects it immediately."""
        if self._job_store.get(job.id) is not job:
            # The job has ended since; a transaction based on its former record would conflict on every retry.
            pending.settle(ChangeOutcome.NOT_APPLICABLE)
            return
        self._job_store.stage(job, pending)
        self._backlog.jobs[job.id] = job
        self._wake.set()

    async def stage_and_wait(self, job: CachedJob, pending: PendingChange) -> ChangeOutcome:
        """Queue a change of a job and wait for its outcome."""
        future: asyncio.Future[ChangeOutcome] = asyncio.get_running_loop().create_future()
        pending.future = future
        self.stage(job, pending)
        return await future

    async def commit(
        self, transaction: Transaction, priority: TransactionPriority, *, once: bool = False
    ) -> TransactionResponse:
        """Send a transaction that is not a change of an open job, and wait for its response.

        It is retried until its outcome is known, unless `once` is set. Raises TransactionRejectedError, QueueFullError
        if nothing was sent, and with `once` any StoreError.
        """
        if len(self._backlog.transactions) >= MAX_QUEUED:
            raise QueueFullError(f"{MAX_QUEUED} transactions are queued already")
        queued = QueuedTransaction(transaction, priority, asyncio.get_running_loop().create_future(), not once)
        self._backlog.transactions.append(queued)
        self._wake.set()
        try:
            return await queued.future
        except asyncio.CancelledError:
            # The caller no longer waits: if the transaction was not sent yet, it is dropped.
            if queued in self._backlog.transactions:
                self._backlog.transactions.remove(queued)
            raise

    # -- the loop

    async def run(self) -> None:
        """Send the queued transactions and the pending changes of jobs. Never returns."""
        change_tokens = self._client.change_tokens
        while True:
            self._wake.clear()
            now = self._clock.monotonic()
            self._log_backlog(now)
            selection = self._backlog.select(now) if self._in_flight < MAX_IN_FLIGHT else None
            if selection is None:
                await wait_for_event(self._wake, POLL_INTERVAL_S if self.backlog() else IDLE_INTERVAL_S)
                continue
            # The first token is taken here and not by the sending task: otherwise several transactions would be
            # selected before the first of them takes its tokens, and a transaction of a higher priority would then
            # wait for all of them.
            reserved = reserved_changes(selection.priority, change_tokens.rate)
            if change_tokens.take(PREPAID_CHANGES, reserved):
                self._send(selection)
            else:
                wait_s = change_tokens.seconds_until_available(PREPAID_CHANGES + reserved)
                await wait_for_event(self._wake, min(MAX_TOKEN_WAIT_S, max(MIN_TOKEN_WAIT_S, wait_s)))

    def _log_backlog(self, now: MonotonicTime) -> None:
        if self.backlog() < MIN_LOGGED_BACKLOG or now - self._backlog_logged_at < BACKLOG_LOG_INTERVAL_S:
            return
        self._backlog_logged_at = now
        log.info(
            "transaction queue: %d wait (%s) for %.1f changes a second",
            self.backlog(),
            ", ".join(f"{count} {priority}" for priority, count in self._backlog.count_by_priority().most_common()),
            self._client.change_tokens.rate,
        )

    def _send(self, selection: Selection) -> None:
        self._in_flight += 1
        item = selection.item
        if isinstance(item, QueuedTransaction):
            self._backlog.transactions.remove(item)
            self._tasks.spawn(self._send_queued(item))
        else:
            item.in_flight = True
            self._tasks.spawn(self._send_job(item))

    async def _commit_with_retries(self, transaction: Transaction) -> TransactionResponse:
        pause_s, prepaid = MIN_RETRY_INTERVAL_S, PREPAID_CHANGES
        while True:
            try:
                return await self._client.commit(transaction, prepaid=prepaid)
            except (StoreUnavailableError, OutcomeUnknownError) as err:
                log.debug("transaction failed, retrying in %.1f s: %s", pause_s, err)
            prepaid = 0.0
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_RETRY_INTERVAL_S, pause_s * RETRY_INTERVAL_FACTOR)

    def _apply_committed(self, transaction: Transaction, mod_revision: ModRevision) -> None:
        """Apply a committed transaction to the watch cache without waiting for the watch."""
        for change in transaction.changes:
            if isinstance(change, Put):
                self._watch_cache.put(change.key, change.value, mod_revision)
            else:
                self._watch_cache.delete(change.key, mod_revision)

    # -- queued transactions

    async def _send_queued(self, queued: QueuedTransaction) -> None:
        try:
            if queued.retried:
                response = await self._commit_with_retries(queued.transaction)
            else:
                response = await self._client.commit(queued.transaction, prepaid=PREPAID_CHANGES)
            if not response.conflicts:
                self._apply_committed(queued.transaction, ModRevision(response.revision))
            if not queued.future.done():
                queued.future.set_result(response)
        except StoreError as err:
            _fail(queued.future, err)
        except Exception as err:  # outermost level of the task: the caller must not wait indefinitely
            log.exception("transaction of priority %s failed", queued.priority.name)
            _fail(queued.future, err)
        finally:
            self._in_flight -= 1
            self._wake.set()

    # -- changes of jobs

    async def _send_job(self, job: CachedJob) -> None:
        try:
            await self._commit_job(job)
        except TransactionRejectedError as err:
            self._reject(job, err)
        except Exception:  # outermost level of the task: the job's changes are retried
            log.exception("transaction of %s failed", job.id)
        finally:
            job.in_flight = False
            self._in_flight -= 1
            self._wake.set()

    async def _commit_job(self, job: CachedJob) -> None:
        if job.stale and not await self._reread(job):
            self._refund_prepaid_tokens()
            await asyncio.sleep(REREAD_RETRY_INTERVAL_S)
            return
        job_transaction = self._builder.build(job)
        if job_transaction is None:
            self._refund_prepaid_tokens()
            return
        response = await self._commit_with_retries(job_transaction.transaction)
        if response.conflicts:
            self._handle_conflicts(job, job_transaction, response.conflicts)
            return
        job.rejections = 0
        for pending in job_transaction.committed:
            pending.settle(ChangeOutcome.COMMITTED)
        # The watch may have delivered this transaction before its response arrived. The changes are unstaged in any
        # case; otherwise the staged record would contain them twice.
        self._job_store.unstage(job, job_transaction.committed)
        self._apply_committed(job_transaction.transaction, ModRevision(response.revision))

    def _refund_prepaid_tokens(self) -> None:
        self._client.change_tokens.take_unconditionally(-PREPAID_CHANGES)

    def _handle_conflicts(self, job: CachedJob, job_transaction: JobTransaction, conflicts: list[str]) -> None:
        log.debug("transaction of %s conflicts on keys %s", job.id, conflicts)
        if keys.job(job.id) in conflicts or UNKNOWN_KEY in conflicts:
            job.stale = True
        elif keys.ROLLOUT in conflicts or keys.FORMAT in conflicts:
            job.retry_at = MonotonicTime(self._clock.monotonic() + GATE_CONFLICT_BACKOFF_S)
        conflicting = [
            pending
            for pending in job_transaction.committed
            if any(compare.key in conflicts for compare in pending.conditions)
        ]
        self._job_store.unstage(job, conflicting)
        for pending in conflicting:
            pending.settle(ChangeOutcome.CONFLICT)

    def _reject(self, job: CachedJob, err: TransactionRejectedError) -> None:
        """Drop the changes of the job and back off: until something changes, the store rejects them again."""
        backoff_s = min(MAX_REJECTED_BACKOFF_S, MIN_REJECTED_BACKOFF_S * 2**job.rejections)
        job.rejections += 1
        job.retry_at = MonotonicTime(self._clock.monotonic() + backoff_s)
        job.stale = True
        log.error("transaction of %s rejected: %s; backing off for %.1f s", job.id, err, backoff_s)
        dropped = list(job.pending)
        self._job_store.unstage(job, dropped)
        for pending in dropped:
            pending.settle(ChangeOutcome.NOT_APPLICABLE)

    async def _reread(self, job: CachedJob) -> bool:
        """Read a job whose cached record is stale. Return whether it could be read."""
        key = keys.job(job.id)
        try:
            stored = await self._client.get(key)
            if stored is not None:
                self._watch_cache.put(key, bytes(stored.value), ModRevision(stored.mod_revision))
            else:
                await self._read_final(job)
        except (StoreUnavailableError, OutcomeUnknownError, MessageDecodeError):
            return False
        job.stale = False
        return True

    async def _read_final(self, job: CachedJob) -> None:
        stored = await self._client.get(keys.final(job.id))
        if stored is None:
            return
        self._watch_cache.record_final(job.id, decode(bytes(stored.value), FinalRecord).phase)
        self._job_store.remove(job.id, ModRevision(stored.mod_revision))


def _fail(future: asyncio.Future[TransactionResponse], err: Exception) -> None:
    if not future.done():
        future.set_exception(err)
