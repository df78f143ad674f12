"""Advances the staged rollout while this controller is the leader."""

from __future__ import annotations

import logging

from msgspec import Struct

from cloverplank.basic_types import MS_PER_SECOND, NEVER, Clock, ModRevision, MonotonicTime, NodeId
from cloverplank.feature_gates import NEWEST_VERSION
from cloverplank.kvstore import keys
from cloverplank.kvstore.controller_lease import ControllerLease
from cloverplank.kvstore.errors import StoreError
from cloverplank.kvstore.transaction_priority import TransactionPriority
from cloverplank.kvstore.transaction_queue import TransactionQueue
from cloverplank.kvstore.watch_cache import WatchCache
from cloverplank.records.cluster import NodeRecord
from cloverplank.records.rollout import RolloutPhase, RolloutRecord
from cloverplank.rollout import state_machine
from cloverplank.rollout.committed import CommittedRollout
from cloverplank.rollout.migration import Migration
from cloverplank.rollout.observation import collect_facts
from cloverplank.rollout.state_machine import Directives, Step
from cloverplank.rollout.step_transactions import StepTransactionBuilder, step_limits
from cloverplank.settings.rollout import RolloutSettings
from cloverplank.wire.kvstore import Transaction

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.5
MIGRATION_PHASES = (RolloutPhase.ACTIVE, RolloutPhase.RETREATING)


def directives_from(settings: RolloutSettings) -> Directives:
    """Convert the operators' settings to directives for the state machine."""
    return Directives(
        soak_ms=int(settings.soak_s * MS_PER_SECOND),
        hold_at=None if settings.hold_at is None else RolloutPhase(settings.hold_at),
        excused=frozenset(NodeId(name) for name in settings.excused),
        goal=NEWEST_VERSION if settings.goal is None else settings.goal,
    )


class Deployment(Struct, frozen=True):
    """The configured controllers, and the maximum number of changes in one transaction of the store."""

    controllers: frozenset[NodeId]
    txn_ops: int


class RolloutDriver:
    """Decides and commits the steps of a rollout; idle while another controller is the leader."""

    def __init__(
        self,
        deployment: Deployment,
        settings: RolloutSettings,
        *,
        clock: Clock,
        controller_lease: ControllerLease,
        watch_cache: WatchCache,
        queue: TransactionQueue,
        committed: CommittedRollout,
        migration: Migration,
    ) -> None:
        self._deployment = deployment
        self._settings = settings
        self._clock = clock
        self._controller_lease = controller_lease
        self._watch_cache = watch_cache
        self._queue = queue
        self._committed = committed
        self._migration = migration
        self._next_poll_at = NEVER
        self._logged_reasons: tuple[str, ...] = ()
        self._directives = directives_from(settings)
        self._limits = step_limits(deployment.txn_ops)
        self._transactions = StepTransactionBuilder(watch_cache, committed, deployment.txn_ops)

    async def reconcile(self) -> None:
        """Commit the next step, if this controller is the leader and a step is due.

        May be called more often than every POLL_INTERVAL_S; extra calls do nothing while staged rollouts are enabled.
        """
        leadership_revision = self._controller_lease.leadership_revision()
        if leadership_revision is None:
            return
        if not self._settings.enabled:
            await self._announce_newest_version(leadership_revision)
            return
        now = self._clock.monotonic()
        if now < self._next_poll_at:
            return
        self._next_poll_at = MonotonicTime(now + POLL_INTERVAL_S)
        await self._advance(leadership_revision)

    async def _announce_newest_version(self, leadership_revision: ModRevision) -> None:
        """Announce the newest version permanently once every controller can read it.

        This replaces staged rollouts where they are disabled.
        """
        if self._committed.announced_version() >= NEWEST_VERSION or self._watch_cache.stored_mod_revision(keys.ROLLOUT):
            return
        if keys.FORMAT in self._watch_cache.unreadable:
            return
        nodes = self._watch_cache.list_records(keys.NODES, NodeRecord)
        compatible = {
            NodeId(name): mod_revision
            for name, (record, mod_revision) in nodes.items()
            if record.is_live() and record.newest_version >= NEWEST_VERSION
        }
        if len(compatible) < len(self._deployment.controllers):
            return
        if await self._commit(self._transactions.build_announcement(leadership_revision, NEWEST_VERSION, compatible)):
            log.info("all %d controllers read format version %d", len(compatible), NEWEST_VERSION)

    async def _advance(self, leadership_revision: ModRevision) -> None:
        unreadable = self._committed.unreadable_keys()
        if unreadable:
            self._log_waiting(tuple(f"{key} can't be read: the cluster version stays unchanged" for key in unreadable))
            return
        current = self._committed.current()
        facts = collect_facts(
            self._watch_cache,
            self._committed,
            configured=self._deployment.controllers,
            limits=self._limits,
            records_to_rewrite=self._rewrite_records(current, self._committed.mod_revision()),
            now=self._clock.wall_ms(),
        )
        outcome = state_machine.next_step(current, facts, self._directives)
        warnings = state_machine.ignored_excuse_warnings(facts, self._directives)
        if isinstance(outcome, Step):
            self._log_waiting(warnings)
            await self._commit_step(leadership_revision, current, outcome)
        else:
            self._log_waiting(warnings + outcome.reasons)

    def _rewrite_records(self, current: RolloutRecord, since: ModRevision) -> int | None:
        """Stage rewrites of some records and return the number of records still to rewrite.

        The number is None until the watch cache has reached `since`, the revision of the phase's commit.
        """
        if current.phase not in MIGRATION_PHASES:
            return 0
        if not self._watch_cache.loaded or self._watch_cache.revision < since:
            return None
        remaining = self._migration.remaining(current, since)
        if self._settings.hold_at != RolloutPhase.ACTIVE.value or current.phase is RolloutPhase.RETREATING:
            self._migration.stage_rewrites(remaining, since)
        unconvertible = self._migration.unconvertible(remaining, since)
        if unconvertible:
            log.debug("rollout: the records of %s fit only in their stored shape", ", ".join(unconvertible))
        return len(remaining)

    async def _commit_step(self, leadership_revision: ModRevision, current: RolloutRecord, step: Step) -> None:
        if not await self._commit(self._transactions.build_step(leadership_revision, step)):
            return
        log.info(
            "rollout: %s -> %s, version %d: %s",
            current.phase.value,
            step.record.phase.value,
            step.record.version,
            step.reason,
        )

    async def _commit(self, transaction: Transaction) -> bool:
        """Return whether the transaction is known to be committed; False also if its outcome is unknown."""
        try:
            response = await self._queue.commit(transaction, TransactionPriority.LEASE, once=True)
        except StoreError as err:
            log.debug("rollout: the transaction is not confirmed: %s", err)
            return False
        return not response.conflicts

    def _log_waiting(self, reasons: tuple[str, ...]) -> None:
        """Log the reasons for waiting if they differ from those logged last."""
        if reasons and reasons != self._logged_reasons:
            log.info("rollout: waiting: %s", "; ".join(reasons))
        self._logged_reasons = reasons
