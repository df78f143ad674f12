"""The order of work while a zone is lost or recovers, and which of its machines take new tasks. Pure decisions."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Mapping, Sequence
from enum import IntEnum

from msgspec import Struct

from cloverplank.basic_types import MachineId, WallTimeMs, Zone
from cloverplank.jobs.records import JobRecord
from cloverplank.records.zones import ALL_MACHINES_PER_CENT, ZoneHealth, ZoneRecord
from cloverplank.scheduling.queue import FAR_OVERDUE, QueuedJob
from cloverplank.wire.users import JobSpec

NO_TARGET_S = 1e9  # remaining time of a job without a target: after every other one
MAX_WITHHELD_S = 60.0  # no machine waits beside queued work for ever
MISSED_TARGET_S = -60.0  # a job that is later than this is not expedited any more
DISTURBED_HEALTH = (ZoneHealth.LOST, ZoneHealth.RECOVERING)

RemainingTime = Callable[[JobRecord, WallTimeMs], float | None]


class Importance(IntEnum):
    """The order in which jobs are placed again; the lowest goes first."""

    SERVICE = 0
    DEADLINE = 1  # has a target that can still be met
    GUARANTEED = 2
    BULK = 3


class ClassOrder(Struct, frozen=True):
    """The operators' override: job classes served like services, and like bulk work."""

    first: frozenset[str] = frozenset()
    last: frozenset[str] = frozenset()


class PlanLimits(Struct, frozen=True):
    """Bounds on what a plan does.

    `max_hold_ms` is how long bulk work may be held; the others bound task starts in a recovering zone and its machines
    that pull images at the same time.
    """

    max_hold_ms: int
    starts_a_second: float
    pulls_at_once: int


class ZonePlan:
    """What the committed health of all zones means for the order of work at one moment.

    `remaining_time` returns the seconds that a job can still wait for its next target, None where it has none.
    """

    def __init__(
        self,
        records: Mapping[Zone, ZoneRecord],
        limits: PlanLimits,
        classes: ClassOrder,
        now: WallTimeMs,
        remaining_time: RemainingTime,
    ) -> None:
        self._records = records
        self.limits = limits
        self._classes = classes
        self._now = now
        self._remaining_time = remaining_time
        self._disturbed = [record for record in records.values() if record.health in DISTURBED_HEALTH]

    def is_idle(self) -> bool:
        """Return whether no zone is lost or recovers, so that work goes in its usual order."""
        return not self._disturbed

    def health(self, zone: Zone) -> ZoneHealth:
        """Return the committed health of a zone."""
        record = self._records.get(zone)
        return ZoneHealth.HEALTHY if record is None else record.health

    def withholds(self, zone: Zone) -> bool:
        """Return whether only some of the zone's machines take new tasks."""
        return self.health(zone) in DISTURBED_HEALTH

    def admits(self, zone: Zone, machine: MachineId, up_for_s: float) -> bool:
        """Return whether the machine may take new tasks.

        The decision depends on the machine's name alone, so that every controller comes to the same one. A machine
        that has been up for MAX_WITHHELD_S is admitted in any case.
        """
        if not self.withholds(zone) or up_for_s >= MAX_WITHHELD_S:
            return True
        return zlib.crc32(machine.encode()) % ALL_MACHINES_PER_CENT < self._records[zone].admitted

    def may_use_reserved(self, spec: JobSpec) -> bool:
        """Return whether the job may use reconciled machines that are not admitted yet.

        Services, jobs with a deadline and classes that operators put first may; others wait for the admission steps.
        """
        if spec.job_class in self._classes.last:
            return False
        return spec.service or spec.deadline_s is not None or spec.job_class in self._classes.first

    def can_scale_out(self, zone: Zone) -> bool:
        """Return whether machines may be provisioned in the zone: not in a lost one, unless every zone is lost."""
        lost = {Zone(record.zone) for record in self._disturbed if record.health is ZoneHealth.LOST}
        return zone not in lost or lost >= self._records.keys()

    def arrange(self, queued_jobs: Sequence[QueuedJob]) -> list[QueuedJob]:
        """Return the queue in the order of an evacuation.

        Marks bulk jobs as held while more important jobs lack capacity.
        """
        if self.is_idle():
            return list(queued_jobs)
        ordered = sorted(queued_jobs, key=self._sort_key)
        is_holding = any(
            self.importance(queued_job) <= Importance.DEADLINE and queued_job.record.missing_count()
            for queued_job in ordered
        )
        for queued_job in ordered:
            queued_job.deferred = (
                is_holding and self.importance(queued_job) is Importance.BULK and self._may_hold(queued_job)
            )
        return ordered

    def _may_hold(self, queued_job: QueuedJob) -> bool:
        """Return whether the job has waited for less than the bound since it was runnable or last evicted."""
        evictions = (eviction.evicted_at for eviction in queued_job.record.evictions)
        waiting_since = max([queued_job.record.runnable_at, *evictions])
        return not queued_job.overdue and self._now - waiting_since < self.limits.max_hold_ms

    def importance(self, queued_job: QueuedJob) -> Importance:
        """Return how soon a job is served while a zone is lost or recovers."""
        spec = queued_job.record.spec
        if spec.job_class in self._classes.last:
            return Importance.BULK
        if spec.service or spec.job_class in self._classes.first:
            return Importance.SERVICE
        remaining_s = self._remaining_time(queued_job.record, self._now)
        if remaining_s is not None and remaining_s > MISSED_TARGET_S:
            return Importance.DEADLINE
        return Importance.GUARANTEED if queued_job.guaranteed else Importance.BULK

    def _sort_key(self, queued_job: QueuedJob) -> tuple[bool, int, float, int, int, str]:
        importance = self.importance(queued_job)
        has_deadline = importance is Importance.DEADLINE
        remaining_s = self._remaining_time(queued_job.record, self._now) if has_deadline else None
        return (
            queued_job.overdue < FAR_OVERDUE,
            Importance.GUARANTEED if queued_job.overdue and importance is Importance.BULK else importance,
            NO_TARGET_S if remaining_s is None else remaining_s,
            queued_job.rank,
            queued_job.record.runnable_at,
            queued_job.record.id,
        )


class StartRateLimiter:
    """A token bucket of task starts in a recovering zone; it holds one second's worth. Times are in seconds."""

    def __init__(self, now: float) -> None:
        self._tokens = 0.0
        self._refilled_at = now

    def available(self, rate: float, now: float) -> int:
        """Refill the bucket at `rate` starts per second and return the number of starts allowed now."""
        self._tokens = min(max(1.0, rate), self._tokens + rate * (now - self._refilled_at))
        self._refilled_at = now
        return int(self._tokens)

    def take(self, starts: int) -> None:
        """Take tokens for starts that were made; a gang may take more than there are, and others wait for it."""
        self._tokens -= starts
