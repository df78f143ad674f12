"""Changes to job records that a shard owner makes."""

from __future__ import annotations

from cloverplank.basic_types import MonotonicTime
from cloverplank.jobs.records import RecordChange
from cloverplank.jobs.store import CachedJob, Decision, PendingChange
from cloverplank.kvstore.transaction_priority import TransactionPriority
from cloverplank.kvstore.transaction_queue import TransactionQueue
from cloverplank.shard.state import ShardState


class RecordChanges:
    """Stages changes that are committed only while the shard is assigned to this owner."""

    def __init__(self, state: ShardState, queue: TransactionQueue) -> None:
        self._state = state
        self._queue = queue

    def stage(
        self,
        view: CachedJob,
        change: RecordChange,
        priority: TransactionPriority,
        *,
        delay_s: float = 0.0,
        decision: Decision | None = None,
    ) -> None:
        """Queue a change to a job's record, to be committed after `delay_s`.

        `decision`: the decision that the change carries out, if a job may have only one such change pending.
        """
        state = self._state
        ready_at = MonotonicTime(state.clock.monotonic() + delay_s)
        self._queue.stage(
            view, PendingChange(change, int(priority), ready_at, state.ownership.conditions(), decision=decision)
        )
