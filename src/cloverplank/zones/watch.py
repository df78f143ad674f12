"""The health of all zones: the leader commits it, and every controller derives its plan from the committed records."""

from __future__ import annotations

import logging

from cloverplank.basic_types import MS_PER_SECOND, NEVER, Clock, ModRevision, MonotonicTime, Zone
from cloverplank.feature_gates import ZONE_HEALTH
from cloverplank.kvstore import keys
from cloverplank.kvstore.controller_lease import ControllerLease
from cloverplank.kvstore.errors import StoreError
from cloverplank.kvstore.transaction_priority import TransactionPriority
from cloverplank.kvstore.transaction_queue import TransactionQueue
from cloverplank.kvstore.watch_cache import WatchCache
from cloverplank.records.zones import ZoneHealth, ZoneRecord, initial_zone_record
from cloverplank.rollout.committed import CommittedRollout
from cloverplank.settings.zones import ZoneSettings
from cloverplank.wire.kvstore import Compare, Put, Transaction
from cloverplank.zones.health import RecoveryTiming, ZoneObservation, next_record
from cloverplank.zones.observation import ZoneObserver
from cloverplank.zones.recovery_plan import ClassOrder, RecoveryLimits, RecoveryPlan, RemainingTime

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.5


class ZoneHealthMonitor:
    """Commits the health of zones while this controller leads, and derives plans from the committed records.

    While disabled, and in a deployment with a single zone, it commits nothing and its plan is always idle.
    """

    def __init__(
        self,
        zones: list[Zone],
        settings: ZoneSettings,
        *,
        clock: Clock,
        controller_lease: ControllerLease,
        watch_cache: WatchCache,
        queue: TransactionQueue,
        committed: CommittedRollout,
        observer: ZoneObserver,
    ) -> None:
        self._zones = zones
        self._enabled = settings.enabled and len(zones) > 1
        self._clock = clock
        self._controller_lease = controller_lease
        self._watch_cache = watch_cache
        self._queue = queue
        self._committed = committed
        self._observer = observer
        self._timing = RecoveryTiming(
            stabilization_ms=int(settings.quiet_s * MS_PER_SECOND),
            step_interval_ms=int(settings.step_s * MS_PER_SECOND),
        )
        self._limits = RecoveryLimits(
            max_hold_ms=int(settings.longest_hold_s * MS_PER_SECOND),
            starts_per_second=settings.starts_a_second,
            max_concurrent_pulls=settings.pulls_at_once,
        )
        self._classes = ClassOrder(settings.first, settings.last)
        self._next_poll_at = NEVER

    def records(self) -> dict[Zone, ZoneRecord]:
        """Return the committed record of each zone; a zone without a readable record counts as healthy."""
        records = {}
        for zone in self._zones:
            stored = self._watch_cache.get(keys.zone(zone), ZoneRecord)
            records[zone] = initial_zone_record(zone) if stored is None else stored.record
        return records

    def plan(self, remaining_time: RemainingTime) -> RecoveryPlan:
        """Return the plan that follows from the committed health now."""
        records = self.records() if self._enabled else {}
        return RecoveryPlan(records, self._limits, self._classes, self._clock.wall_ms(), remaining_time)

    async def reconcile(self) -> None:
        """Commit changes of the zones' health if this controller leads.

        It may be called at any rate; it evaluates the zones once per POLL_INTERVAL_S.
        """
        if not self._enabled:
            return
        leadership = self._controller_lease.leadership_revision()
        if leadership is None:
            self._observer.reset()
            return
        now = self._clock.monotonic()
        if now < self._next_poll_at or self._committed.current().version < ZONE_HEALTH.version:
            return
        self._next_poll_at = MonotonicTime(now + POLL_INTERVAL_S)
        records = self.records()
        for zone, observation in self._observer.observe(self._controller_lease.members()).items():
            await self._update(leadership, records[zone], observation)

    async def _update(self, leadership: ModRevision, before: ZoneRecord, observation: ZoneObservation) -> None:
        after = next_record(before, observation, self._timing, self._clock.wall_ms())
        if after is None:
            return
        key = keys.zone(before.zone)
        conditions = [Compare(keys.LEADER, leadership), Compare(key, self._watch_cache.stored_mod_revision(key))]
        transaction = Transaction(conditions, [Put(key, after)])
        try:
            response = await self._queue.commit(transaction, TransactionPriority.LEASE, once=True)
        except StoreError as err:
            log.debug("zone %s: record with health %s not committed: %s", before.zone, after.health.value, err)
            return
        if not response.conflicts:
            _log_transition(before, after, observation)


def _log_transition(before: ZoneRecord, after: ZoneRecord, observation: ZoneObservation) -> None:
    if after.health is not before.health:
        evidence = observation.evidence.text()
        log.info("zone %s: %s -> %s: %s", after.zone, before.health.value, after.health.value, evidence)
    if after.health is ZoneHealth.RECOVERING:
        log.info("zone %s: %d%% of its machines take new tasks", after.zone, after.admitted)
