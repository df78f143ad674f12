"""Transactions that commit the pending changes of one job."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from cloverplank.basic_types import ModRevision
from cloverplank.jobs.layout import layout_kind_of
from cloverplank.jobs.layout_kind import LayoutKind
from cloverplank.jobs.records import FinalRecord, JobRecord
from cloverplank.jobs.size_limits import RecordSizeLimits
from cloverplank.jobs.store import CachedJob, ChangeOutcome, PendingChange
from cloverplank.kvstore import keys
from cloverplank.kvstore.watch_cache import WatchCache
from cloverplank.wire.kvstore import Compare, Delete, Put, Transaction


class JobTransaction(Struct, frozen=True):
    """A transaction and the pending changes that it commits."""

    transaction: Transaction
    committed: list[PendingChange]


class JobTransactionBuilder:
    """Merges the pending changes of a job into one transaction.

    `gate` returns the compares that a write in a layout is conditional on, in addition to those of the record.
    """

    def __init__(
        self, watch_cache: WatchCache, size_limits: RecordSizeLimits, gate: Callable[[LayoutKind], list[Compare]]
    ) -> None:
        self._watch_cache = watch_cache
        self._size_limits = size_limits
        self._gate = gate

    def build(self, job: CachedJob) -> JobTransaction | None:
        """Return the transaction for all pending changes that still apply, None if none does.

        Changes that no longer apply are settled and unstaged.
        """
        record = job.record
        revisions = {keys.job(job.id): job.mod_revision}
        committed: list[PendingChange] = []
        dropped: list[PendingChange] = []
        for pending in job.pending:
            if self._has_conflict(pending):
                dropped.append(pending)
                pending.settle(ChangeOutcome.CONFLICT)
                continue
            after = pending.change(record)
            if after is None:
                dropped.append(pending)
                pending.settle(ChangeOutcome.NOT_APPLICABLE)
                continue
            record = after
            committed.append(pending)
            _add_compares(revisions, pending.conditions)
        if dropped:
            self._watch_cache.store.unstage(job, dropped)
        if not committed:
            return None
        changes = self._write(job, record, revisions)
        compares = [Compare(key, mod_revision) for key, mod_revision in revisions.items()]
        return JobTransaction(Transaction(compares, changes), committed)

    def _has_conflict(self, pending: PendingChange) -> bool:
        """Return whether a key that the change is conditional on, such as a shard's, has changed."""
        return any(
            compare.mod_revision != self._watch_cache.mod_revision(compare.key) for compare in pending.conditions
        )

    def _write(self, job: CachedJob, record: JobRecord, revisions: dict[str, ModRevision]) -> list[Put | Delete]:
        key = keys.job(job.id)
        if record.finished():
            return [Delete(key), Put(keys.final(job.id), FinalRecord(record.phase, record.spec.tasks))]
        stored = self._size_limits.to_stored(record)
        _add_compares(revisions, self._gate(layout_kind_of(stored)))
        return [Put(key, stored)]


def _add_compares(revisions: dict[str, ModRevision], compares: list[Compare]) -> None:
    revisions.update((compare.key, ModRevision(compare.mod_revision)) for compare in compares)
