"""The queued transactions and the jobs with pending changes, and the order in which they are sent."""

from __future__ import annotations

import asyncio
from collections import Counter

from msgspec import Struct

from cloverplank.basic_types import JobId, MonotonicTime
from cloverplank.jobs.dependencies import EffectivePriorities
from cloverplank.jobs.store import CachedJob
from cloverplank.kvstore.transaction_priority import TransactionPriority
from cloverplank.wire.kvstore import Transaction, TransactionResponse

MAX_STARVATION_S = 10.0  # longest time for which a ready job of lower rank yields to others of its priority
STARVED_RANK = -1  # sorts a job that was ready for longer before all others of its priority


class QueuedTransaction(Struct, eq=False):
    """A transaction that waits to be sent; if `retried`, it is sent again until its outcome is known."""

    transaction: Transaction
    priority: TransactionPriority
    future: asyncio.Future[TransactionResponse]
    retried: bool


class Selection(Struct, frozen=True):
    """The transaction or job to be sent next, and its priority."""

    item: QueuedTransaction | CachedJob
    priority: TransactionPriority


class _SortKey(Struct, order=True, frozen=True):
    """Sort key of a transaction or job; the smallest is sent first."""

    priority: int
    rank: int
    ready_at: float


class TransactionBacklog:
    """Queued transactions in order of arrival, and the jobs with pending changes."""

    def __init__(self, effective_priorities: EffectivePriorities) -> None:
        self.transactions: list[QueuedTransaction] = []
        self.jobs: dict[JobId, CachedJob] = {}
        self._effective_priorities = effective_priorities

    def __len__(self) -> int:
        return len(self.transactions) + len(self.jobs)

    def select(self, now: MonotonicTime) -> Selection | None:
        """Return what is sent next, None if nothing is ready.

        The order is by priority, then transactions before jobs, then jobs by rank, then by the time since when they
        are ready. A job that has been ready for more than MAX_STARVATION_S precedes all others of its priority.
        """
        item: QueuedTransaction | CachedJob | None = min(self.transactions, key=_priority, default=None)
        best = None if item is None else _SortKey(item.priority, 0, 0.0)  # type: ignore[union-attr]
        for job in list(self.jobs.values()):
            if not job.pending:
                if not job.in_flight:
                    del self.jobs[job.id]
                continue
            if job.in_flight or now < job.retry_at:
                continue
            ready = _ready_change(job, now)
            if ready is None:
                continue
            priority, ready_at = ready
            if best is not None and priority > best.priority:
                continue
            sort_key = _SortKey(priority, self._rank(job, now - ready_at), ready_at)
            if best is None or sort_key < best:
                best, item = sort_key, job
        return None if best is None or item is None else Selection(item, TransactionPriority(best.priority))

    def _rank(self, job: CachedJob, ready_for_s: float) -> int:
        if ready_for_s > MAX_STARVATION_S:
            return STARVED_RANK
        return self._effective_priorities.of(job.record).rank

    def count_by_priority(self) -> Counter[str]:
        """Return the number of waiting transactions and jobs by the name of their priority, in lower case."""
        counts = Counter(queued.priority.name.lower() for queued in self.transactions)
        for job in self.jobs.values():
            priority = min((pending.priority for pending in job.pending), default=TransactionPriority.DONE)
            counts[TransactionPriority(priority).name.lower()] += 1
        return counts


def _priority(queued: QueuedTransaction) -> TransactionPriority:
    return queued.priority


def _ready_change(job: CachedJob, now: MonotonicTime) -> tuple[int, MonotonicTime] | None:
    """Return the highest priority among the ready changes of a job, and the time at which the first became ready."""
    priority, ready_at = None, now
    for pending in job.pending:
        if pending.ready_at <= now:
            ready_at = min(ready_at, pending.ready_at)
            priority = pending.priority if priority is None else min(priority, pending.priority)
    return None if priority is None else (priority, ready_at)
