"""Carries out the steps of a rollout while this controller leads."""

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
from cloverplank.rollout import steps
from cloverplank.rollout.commits import StepCommits, step_limits
from cloverplank.rollout.committed import CommittedRollout
from cloverplank.rollout.migration import Migration
from cloverplank.rollout.observation import observe
from cloverplank.rollout.steps import Directives, Step
from cloverplank.settings.rollout import RolloutSettings
from cloverplank.wire.kvstore import Transaction

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.5
REWRITING_PHASES = (RolloutPhase.ACTIVE, RolloutPhase.RETREATING)


def directives_from(settings: RolloutSettings) -> Directives:
    """Return what the operators' settings ask for."""
    return Directives(
        soak_ms=int(settings.soak_s * MS_PER_SECOND),
        hold_at=None if settings.hold_at is None else RolloutPhase(settings.hold_at),
        excused=frozenset(NodeId(name) for name in settings.excused),
        newest=NEWEST_VERSION if settings.goal is None else settings.goal,
    )


class Deployment(Struct, frozen=True):
    """The controllers of the cluster, and the number of changes that one transaction can make."""

    controllers: frozenset[NodeId]
    txn_ops: int


class RolloutDriver:
    """Takes the steps of a rollout; does nothing while another controller leads."""

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
        self._commits = StepCommits(watch_cache, committed, deployment.txn_ops)

    async def reconcile(self) -> None:
        """Take the next step, if this controller leads and there is one. Called often; acts once in POLL_INTERVAL_S."""
        leader = self._controller_lease.leadership_revision()
        if leader is None:
            return
        if not self._settings.enabled:
            await self._announce(leader)
            return
        now = self._clock.monotonic()
        if now < self._next_poll_at:
            return
        self._next_poll_at = MonotonicTime(now + POLL_INTERVAL_S)
        await self._advance(leader)

    async def _announce(self, leader: ModRevision) -> None:
        """Announce the newest version, for good, once every controller reads it. Used without staged rollouts."""
        if self._committed.announced() >= NEWEST_VERSION or self._watch_cache.stored_mod_revision(keys.ROLLOUT):
            return
        if keys.FORMAT in self._watch_cache.unreadable:
            return
        nodes = self._watch_cache.list_records(keys.NODES, NodeRecord)
        able = {
            NodeId(name): mod_revision
            for name, (record, mod_revision) in nodes.items()
            if record.is_live() and record.newest_version >= NEWEST_VERSION
        }
        if len(able) < len(self._deployment.controllers):
            return
        if await self._commit(self._commits.announcement(leader, NEWEST_VERSION, able)):
            log.info("all %d controllers read format version %d", len(able), NEWEST_VERSION)

    async def _advance(self, leader: ModRevision) -> None:
        unreadable = self._committed.unreadable_keys()
        if unreadable:
            self._log_waiting(tuple(f"{key} can't be read: the version stays as it is" for key in unreadable))
            return
        current = self._committed.current()
        facts = observe(
            self._watch_cache,
            self._committed,
            configured=self._deployment.controllers,
            limits=self._limits,
            records_to_rewrite=self._rewrite_records(current, self._committed.mod_revision()),
            now=self._clock.wall_ms(),
        )
        outcome = steps.next_step(current, facts, self._directives)
        excuses = steps.refused_excuses(facts, self._directives)
        if isinstance(outcome, Step):
            self._log_waiting(excuses)
            await self._take(leader, current, outcome)
        else:
            self._log_waiting(excuses + outcome.reasons)

    def _rewrite_records(self, current: RolloutRecord, since: ModRevision) -> int | None:
        """Stage rewrites of some records and return the number still to rewrite; None where it is not known yet."""
        if current.phase not in REWRITING_PHASES:
            return 0
        if not self._watch_cache.loaded or self._watch_cache.revision < since:
            return None
        remaining = self._migration.remaining(current, since)
        if self._settings.hold_at != RolloutPhase.ACTIVE.value or current.phase is RolloutPhase.RETREATING:
            self._migration.stage_rewrites(remaining, since)
        stuck = self._migration.stuck(remaining, since)
        if stuck:
            log.debug("rollout: %s fit in their shape only", ", ".join(stuck))
        return len(remaining)

    async def _take(self, leader: ModRevision, current: RolloutRecord, step: Step) -> None:
        if not await self._commit(self._commits.commit(leader, step)):
            return
        log.info(
            "rollout: %s -> %s, version %d: %s",
            current.phase.value,
            step.record.phase.value,
            step.record.version,
            step.reason,
        )

    async def _commit(self, transaction: Transaction) -> bool:
        """Return whether the transaction is known to be committed."""
        try:
            response = await self._queue.commit(transaction, TransactionPriority.LEASE, once=True)
        except StoreError as err:
            log.debug("rollout: %s", err)
            return False
        return not response.conflicts

    def _log_waiting(self, reasons: tuple[str, ...]) -> None:
        """Log the reasons for waiting when they change."""
        if reasons and reasons != self._logged_reasons:
            log.info("rollout: waiting: %s", "; ".join(reasons))
        self._logged_reasons = reasons
