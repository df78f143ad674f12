"""Log of jobs whose tasks are allocated to the zone and are not placed for long, with the reason for it."""

from __future__ import annotations

import logging
from enum import StrEnum

from msgspec import Struct

from cloverplank.basic_types import NEVER, Clock, JobId, MonotonicTime, Zone

log = logging.getLogger(__name__)

LOG_AFTER_S = 15.0
MAX_GAP_S = 3.0  # a job that is not recorded as waiting for this long has been placed or allocated elsewhere
MAX_WAITING_JOBS = 2_000  # further jobs are not recorded, which bounds memory


class WaitReason(StrEnum):
    """Reasons for which the shard owner does not place allocated tasks, as named in log lines."""

    BACKING_OFF = "the job backs off after a failure"
    PLACEMENT_PENDING = "its last placement is not committed"
    GANG_STOPPING = "the other tasks of the gang are stopped first"
    RECORD_FULL = "its record has reached the size limit"
    ZONE_RECOVERING = "starts are limited while the zone recovers"
    FAILED_MACHINES = "the machines with capacity are those on which it failed"
    HEADROOM = "the free capacity is kept as headroom"
    NO_CAPACITY = "no machine has capacity"


class _Wait(Struct):
    """The wait of one job so far."""

    since: MonotonicTime
    recorded_at: MonotonicTime
    is_logged: bool = False


class WaitingJobs:
    """Records, for one shard, since when no task of each job could be placed, and logs each long wait once."""

    def __init__(self, zone: Zone, clock: Clock) -> None:
        self._zone = zone
        self._clock = clock
        self._waits: dict[JobId, _Wait] = {}
        self._searched_at = NEVER  # last search for ended waits, which takes time with many jobs

    def record(self, job: JobId) -> bool:
        """Record that the job waits in this cycle; return whether its wait is long and has not been logged yet."""
        now = self._clock.monotonic()
        wait = self._waits.get(job)
        if wait is None or now - wait.recorded_at > MAX_GAP_S:
            if len(self._waits) >= MAX_WAITING_JOBS and now - self._searched_at > MAX_GAP_S:
                self._searched_at = now
                self._remove_ended(now)
            if len(self._waits) < MAX_WAITING_JOBS:
                self._waits[job] = _Wait(now, now)
            return False
        wait.recorded_at = now
        return not wait.is_logged and now - wait.since >= LOG_AFTER_S

    def log_wait(self, job: JobId, tasks: int, reason: WaitReason) -> None:
        """Log the wait of a job for which `record` has returned True. Common waits for capacity are at level debug."""
        wait = self._waits[job]
        wait.is_logged = True
        level = logging.DEBUG if reason is WaitReason.NO_CAPACITY else logging.INFO
        waited_s = self._clock.monotonic() - wait.since
        log.log(
            level, "job %s: %d tasks are not placed in zone %s for %.0f s: %s", job, tasks, self._zone, waited_s, reason
        )

    def remove(self, job: JobId) -> None:
        """Remove a job of which a task has been placed."""
        self._waits.pop(job, None)

    def _remove_ended(self, now: MonotonicTime) -> None:
        self._waits = {job: wait for job, wait in self._waits.items() if now - wait.recorded_at <= MAX_GAP_S}
