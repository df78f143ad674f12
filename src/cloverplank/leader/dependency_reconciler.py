"""Reconciliation of blocked jobs: the leader releases those whose upstream jobs are done and cancels the doomed ones.

It is level-triggered: each decision is made anew from what is committed, so the outcome is the same after any crash,
failover or outage, whatever changes were missed meanwhile.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine, Mapping, Sequence
from typing import Any

from cloverplank.background import BackgroundTasks, wait_for_event
from cloverplank.basic_types import NEVER, Clock, JobId, ModRevision
from cloverplank.jobs.blocked import BlockedJob
from cloverplank.jobs.dependencies import DependencyVerdict, UpstreamState, dependency_verdict
from cloverplank.kvstore import job_transitions
from cloverplank.kvstore.controller_lease import ControllerLease
from cloverplank.kvstore.errors import OutcomeUnknownError, StoreError, StoreUnavailableError
from cloverplank.kvstore.linearizable_reader import LinearizableReader
from cloverplank.kvstore.transaction_priority import TransactionPriority
from cloverplank.kvstore.transaction_queue import TransactionQueue
from cloverplank.kvstore.watch_cache import WatchCache
from cloverplank.wire.kvstore import Transaction

log = logging.getLogger(__name__)

IDLE_INTERVAL_S = 1.0  # between two passes without changes
FULL_PASS_INTERVAL_S = 5.0  # between two passes over all blocked jobs
BATCH_DELAY_S = 0.01  # changes of the same moment are handled in one pass
RETRY_INTERVAL_S = 1.0  # after a transaction or a read that failed
MAX_IN_FLIGHT = 64  # transactions and reads; the other jobs wait for a later pass


class DependencyReconciler:
    """Lives as long as the process; acts only while this controller leads."""

    def __init__(
        self,
        *,
        clock: Clock,
        controller_lease: ControllerLease,
        watch_cache: WatchCache,
        queue: TransactionQueue,
        reader: LinearizableReader,
    ) -> None:
        self._clock = clock
        self._controller_lease = controller_lease
        self._watch_cache = watch_cache
        self._blocked = watch_cache.blocked
        self._queue = queue
        self._reader = reader
        self._changed = asyncio.Event()
        self._led_revision: ModRevision | None = None
        self._full_pass_at = NEVER
        self._in_flight: set[JobId] = set()
        self.tasks = BackgroundTasks()
        self._blocked.subscribe(self._changed.set)

    async def run(self) -> None:
        """Reconcile for ever, at once after a change."""
        while True:
            await wait_for_event(self._changed, IDLE_INTERVAL_S)
            self._changed.clear()
            try:
                self._reconcile()
            except Exception:
                # The outermost level of the loop, which must outlive any fault.
                log.exception("reconciling blocked jobs failed")
            await asyncio.sleep(BATCH_DELAY_S)

    def _reconcile(self) -> None:
        leader = self._controller_lease.leadership_revision()
        now = self._clock.monotonic()
        is_full_pass = leader != self._led_revision or now - self._full_pass_at >= FULL_PASS_INTERVAL_S
        self._led_revision = leader
        if leader is None:
            return  # changes are kept for the time when this controller leads
        if is_full_pass:
            self._blocked.mark_all_changed()
            self._full_pass_at = now
        for job in self._blocked.take_changed():
            blocked = self._blocked.get(job)
            if blocked is None or job in self._in_flight:
                continue
            if len(self._in_flight) >= MAX_IN_FLIGHT:
                self._blocked.mark_changed(job)
            else:
                self._decide(blocked)

    def _decide(self, job: BlockedJob) -> None:
        states = {upstream: self._watch_cache.upstream_state(upstream) for upstream in job.upstream}
        verdict = dependency_verdict(states.values())
        if verdict is DependencyVerdict.RELEASE:
            transaction = job_transitions.release(job, self._clock.wall_ms())
            self._start(job, self._commit(job, transaction, TransactionPriority.SUBMIT, outcome="released"))
        elif verdict is DependencyVerdict.CANCEL:
            transaction = job_transitions.cancel(job)
            outcome = f"cancelled with {_in_state(states, UpstreamState.CANCELLED)[0]}"
            self._start(job, self._commit(job, transaction, TransactionPriority.CANCEL, outcome=outcome))
        elif verdict is DependencyVerdict.READ_UPSTREAM:
            self._start(job, self._read_final_states(_in_state(states, UpstreamState.NOT_IN_MEMORY)))

    def _start(self, job: BlockedJob, work: Coroutine[Any, Any, bool]) -> None:
        self._in_flight.add(job.id)
        self.tasks.spawn(self._finish(job.id, work))

    async def _finish(self, job: JobId, work: Coroutine[Any, Any, bool]) -> None:
        """Wait for the work, and have the job decided again: at once if it succeeded, otherwise after a delay."""
        try:
            if not await work:
                await asyncio.sleep(RETRY_INTERVAL_S)
        finally:
            self._in_flight.discard(job)
            self._blocked.mark_changed(job)

    async def _commit(
        self, job: BlockedJob, transaction: Transaction, priority: TransactionPriority, *, outcome: str
    ) -> bool:
        """Return whether the transaction was committed."""
        try:
            response = await self._queue.commit(transaction, priority)
        except StoreError as err:
            log.info("job %s is not %s: %s", job.id, outcome, err)
            return False
        if response.conflicts:
            return False  # another controller has changed it; the watch shows how
        log.info("job %s: %s", job.id, outcome)
        return True

    async def _read_final_states(self, upstream: Sequence[JobId]) -> bool:
        """Read final records that are no longer cached; the watch cache keeps what is read."""
        try:
            for job in upstream:
                if await self._reader.job(job) is None:
                    log.error("job %s is upstream of others and was never accepted", job)
                    return False
        except (StoreUnavailableError, OutcomeUnknownError) as err:
            log.debug("upstream jobs can't be read: %s", err)
            return False
        return True


def _in_state(states: Mapping[JobId, UpstreamState], wanted: UpstreamState) -> list[JobId]:
    return [job for job, state in states.items() if state is wanted]
