"""The scheduling order while a zone is lost or recovers, and the admission of its machines.

All decisions are pure functions of the committed records and the queue.
"""

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

NO_TARGET_S = 1e9  # remaining time of a job without a target, which sorts it after all jobs that have one
# A machine that has been up for this long is admitted at any step, so that none stays idle while jobs are queued.
MAX_ADMISSION_WAIT_S = 60.0
MISSED_TARGET_S = -60.0  # a job whose target passed longer ago than this is no longer expedited
DISTURBED_HEALTH = (ZoneHealth.LOST, ZoneHealth.RECOVERING)

RemainingTime = Callable[[JobRecord, WallTimeMs], float | None]


class Importance(IntEnum):
    """The importance of a job for its placement during a zone failure; lower values are placed first."""

    SERVICE = 0
    DEADLINE = 1  # has a target that can still be met, or that was missed only recently
    GUARANTEED = 2
    BULK = 3


class ClassOrder(Struct, frozen=True):
    """Job classes whose importance operators override: `first` is treated like services, `last` like bulk work."""

    first: frozenset[str] = frozenset()
    last: frozenset[str] = frozenset()


class RecoveryLimits(Struct, frozen=True):
    """Limits on held work and on the recovery of a zone.

    `max_hold_ms` is the longest time for which a bulk job is held. `starts_per_second` limits the rate of task starts
    in a recovering zone, and `max_concurrent_pulls` the number of its machines that pull images concurrently.
    """

    max_hold_ms: int
    starts_per_second: float
    max_concurrent_pulls: int


class RecoveryPlan:
    """The scheduling order and the admission of machines that follow from the committed health of all zones.

    `remaining_time` returns the seconds that are left until a job's next target, None for a job without a target.
    """

    def __init__(
        self,
        records: Mapping[Zone, ZoneRecord],
        limits: RecoveryLimits,
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
        """Return whether no zone is lost or recovers, so that the usual scheduling order applies."""
        return not self._disturbed

    def health(self, zone: Zone) -> ZoneHealth:
        """Return the committed health of a zone, HEALTHY for one without a record."""
        record = self._records.get(zone)
        return ZoneHealth.HEALTHY if record is None else record.health

    def restricts_admission(self, zone: Zone) -> bool:
        """Return whether machines of the zone need to be admitted before they take new tasks."""
        return self.health(zone) in DISTURBED_HEALTH

    def admits(self, zone: Zone, machine: MachineId, up_for_s: float) -> bool:
        """Return whether the machine may take new tasks.

        The decision depends on the hash of the machine's name and the committed record only, so that all controllers
        agree on it. A machine that has been up for MAX_ADMISSION_WAIT_S is always admitted.
        """
        if not self.restricts_admission(zone) or up_for_s >= MAX_ADMISSION_WAIT_S:
            return True
        return zlib.crc32(machine.encode()) % ALL_MACHINES_PER_CENT < self._records[zone].admitted

    def may_use_reserved(self, spec: JobSpec) -> bool:
        """Return whether the job may use reconciled machines that are not admitted yet.

        Services, jobs with a deadline and classes that operators put first may use them; all other jobs wait for the
        admission steps.
        """
        if spec.job_class in self._classes.last:
            return False
        return spec.service or spec.deadline_s is not None or spec.job_class in self._classes.first

    def can_scale_out(self, zone: Zone) -> bool:
        """Return whether machines may be provisioned in the zone: it is not lost, or every zone is lost."""
        lost = {Zone(record.zone) for record in self._disturbed if record.health is ZoneHealth.LOST}
        return zone not in lost or lost >= self._records.keys()

    def arrange(self, queued_jobs: Sequence[QueuedJob]) -> list[QueuedJob]:
        """Return the queue in the scheduling order of a zone failure: far overdue jobs first, then by importance.

        Marks bulk jobs as held while services or jobs with a deadline have tasks to place.
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
        """Return whether the job is not overdue and has waited for less than the hold limit.

        The waiting time counts from when the job became runnable or was last evicted.
        """
        evictions = (eviction.evicted_at for eviction in queued_job.record.evictions)
        waiting_since = max([queued_job.record.runnable_at, *evictions])
        return not queued_job.overdue and self._now - waiting_since < self.limits.max_hold_ms

    def importance(self, queued_job: QueuedJob) -> Importance:
        """Return the importance of a job while a zone is lost or recovers."""
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
    """A token bucket that limits task starts in a recovering zone.

    Its capacity is the number of starts allowed in one second, at least one. Times are in seconds.
    """

    def __init__(self, now: float) -> None:
        self._tokens = 0.0
        self._refilled_at = now

    def available(self, rate: float, now: float) -> int:
        """Refill the bucket at `rate` starts per second and return the number of starts allowed now."""
        self._tokens = min(max(1.0, rate), self._tokens + rate * (now - self._refilled_at))
        self._refilled_at = now
        return int(self._tokens)

    def take(self, starts: int) -> None:
        """Take tokens for tasks that were started; a gang may overdraw the bucket, which delays later starts."""
        self._tokens -= starts
