"""Reconciliation of blocked jobs: the leader releases jobs whose upstream jobs are all done.

It cancels jobs with a cancelled upstream job, which can never start. Reconciliation is level-triggered: each decision
is derived from the committed state alone, so the outcome is the same after any crash, failover or outage, whichever
changes were missed meanwhile.
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

IDLE_INTERVAL_S = 1.0  # a pass starts after this time even if no change is signalled
FULL_PASS_INTERVAL_S = 5.0  # a full pass decides all blocked jobs, not only the changed ones
BATCH_DELAY_S = 0.01  # changes that arrive within this time are handled in one pass
RETRY_DELAY_S = 1.0  # a job whose transaction or read failed is decided again after this time
MAX_IN_FLIGHT = 64  # limits concurrent transactions and reads; further jobs wait for a later pass


class DependencyReconciler:
    """Releases and cancels blocked jobs. It runs on every controller and acts only while the controller leads."""

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
        self._last_leadership_revision: ModRevision | None = None
        self._full_pass_at = NEVER
        self._in_flight: set[JobId] = set()
        self.tasks = BackgroundTasks()
        self._blocked.subscribe(self._changed.set)

    async def run(self) -> None:
        """Reconcile indefinitely; a change starts a pass at once."""
        while True:
            await wait_for_event(self._changed, IDLE_INTERVAL_S)
            self._changed.clear()
            try:
                self._reconcile()
            except Exception:
                # This is the outermost level of the loop, which must survive any fault.
                log.exception("reconciliation of blocked jobs failed")
            await asyncio.sleep(BATCH_DELAY_S)

    def _reconcile(self) -> None:
        leadership_revision = self._controller_lease.leadership_revision()
        now = self._clock.monotonic()
        is_full_pass = (
            leadership_revision != self._last_leadership_revision or now - self._full_pass_at >= FULL_PASS_INTERVAL_S
        )
        self._last_leadership_revision = leadership_revision
        if leadership_revision is None:
            return  # jobs stay marked as changed until this controller leads
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
            outcome = f"cancelled with {_jobs_in_state(states, UpstreamState.CANCELLED)[0]}"
            self._start(job, self._commit(job, transaction, TransactionPriority.CANCEL, outcome=outcome))
        elif verdict is DependencyVerdict.READ_UPSTREAM:
            self._start(job, self._read_final_states(_jobs_in_state(states, UpstreamState.NOT_IN_MEMORY)))

    def _start(self, job: BlockedJob, work: Coroutine[Any, Any, bool]) -> None:
        self._in_flight.add(job.id)
        self.tasks.spawn(self._finish(job.id, work))

    async def _finish(self, job: JobId, work: Coroutine[Any, Any, bool]) -> None:
        """Await the work, then mark the job for another decision: at once after success, otherwise after a delay."""
        try:
            if not await work:
                await asyncio.sleep(RETRY_DELAY_S)
        finally:
            self._in_flight.discard(job)
            self._blocked.mark_changed(job)

    async def _commit(
        self, job: BlockedJob, transaction: Transaction, priority: TransactionPriority, *, outcome: str
    ) -> bool:
        """Commit the transaction and return whether it was committed; `outcome` describes its effect in log lines."""
        try:
            response = await self._queue.commit(transaction, priority)
        except StoreError as err:
            log.info("job %s could not be %s: %s", job.id, outcome, err)
            return False
        if response.conflicts:
            return False  # another controller has changed the job; the watch will deliver the change
        log.info("job %s: %s", job.id, outcome)
        return True

    async def _read_final_states(self, upstream: Sequence[JobId]) -> bool:
        """Read final records that are no longer cached, and return whether all were read.

        The watch cache stores each final record that is read.
        """
        try:
            for job in upstream:
                if await self._reader.read(job) is None:
                    log.error("upstream job %s was never accepted; jobs that depend on it stay blocked", job)
                    return False
        except (StoreUnavailableError, OutcomeUnknownError) as err:
            log.debug("upstream job %s can't be read: %s", job, err)
            return False
        return True


def _jobs_in_state(states: Mapping[JobId, UpstreamState], expected: UpstreamState) -> list[JobId]:
    return [job for job, state in states.items() if state is expected]
