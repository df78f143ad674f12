"""The health of all zones: the leader commits it, and every controller plans by the committed records."""

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
from cloverplank.zones.health import Observation, RecoveryPace, next_record
from cloverplank.zones.observation import ZoneObserver
from cloverplank.zones.plan import ClassOrder, PlanLimits, RemainingTime, ZonePlan

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.5


class ZoneWatch:
    """Commits verdicts on zones and makes plans from them.

    Switched off, or with a single zone, it commits nothing and its plan is always idle.
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
        self._pace = RecoveryPace(
            quiet_ms=int(settings.quiet_s * MS_PER_SECOND), step_ms=int(settings.step_s * MS_PER_SECOND)
        )
        self._limits = PlanLimits(
            max_hold_ms=int(settings.longest_hold_s * MS_PER_SECOND),
            starts_a_second=settings.starts_a_second,
            pulls_at_once=settings.pulls_at_once,
        )
        self._classes = ClassOrder(settings.first, settings.last)
        self._next_poll_at = NEVER

    def records(self) -> dict[Zone, ZoneRecord]:
        """Return the committed record of each zone; one that can't be read counts as healthy."""
        records = {}
        for zone in self._zones:
            stored = self._watch_cache.get(keys.zone(zone), ZoneRecord)
            records[zone] = initial_zone_record(zone) if stored is None else stored.record
        return records

    def plan(self, remaining_time: RemainingTime) -> ZonePlan:
        """Return what the committed health means for the order of work now."""
        records = self.records() if self._enabled else {}
        return ZonePlan(records, self._limits, self._classes, self._clock.wall_ms(), remaining_time)

    async def reconcile(self) -> None:
        """Commit what has changed, if this controller leads. Called often; acts once in POLL_INTERVAL_S."""
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

    async def _update(self, leadership: ModRevision, before: ZoneRecord, observation: Observation) -> None:
        after = next_record(before, observation, self._pace, self._clock.wall_ms())
        if after is None:
            return
        key = keys.zone(before.zone)
        conditions = [Compare(keys.LEADER, leadership), Compare(key, self._watch_cache.stored_mod_revision(key))]
        transaction = Transaction(conditions, [Put(key, after)])
        try:
            response = await self._queue.commit(transaction, TransactionPriority.LEASE, once=True)
        except StoreError as err:
            log.debug("zone %s: %s", before.zone, err)
            return
        if not response.conflicts:
            _log_transition(before, after, observation)


def _log_transition(before: ZoneRecord, after: ZoneRecord, observation: Observation) -> None:
    if after.health is not before.health:
        evidence = observation.evidence.text()
        log.info("zone %s: %s -> %s: %s", after.zone, before.health.value, after.health.value, evidence)
    if after.health is ZoneHealth.RECOVERING:
        log.info("zone %s: %d%% of its machines take new tasks", after.zone, after.admitted)
