"""Task failures: attributes them to the job or the machine, and delays the next placement of a failed job."""

from __future__ import annotations

import logging
from collections.abc import Collection

from cloverplank.basic_types import JobId, MachineId, MonotonicTime
from cloverplank.shard.machine import Machine
from cloverplank.shard.state import ShardState

log = logging.getLogger(__name__)

MAX_FAILING_JOBS = 2_000  # jobs whose failures are remembered; the oldest are dropped first
MIN_BACKOFF_S = 0.5
MAX_BACKOFF_S = 30.0
MAX_BACKOFF_DOUBLINGS = 8
MIN_MACHINES_TO_BLAME_JOB = 3  # a failure on this many machines is attributed to the job


class FailureTracker:
    """Tracks which jobs failed on which machines of one shard."""

    def __init__(self, state: ShardState) -> None:
        self._state = state
        self._failed_on: dict[JobId, dict[MachineId, MonotonicTime]] = {}
        self._backoff_until: dict[JobId, MonotonicTime] = {}

    def record(self, machine: Machine, job: JobId) -> None:
        """Record that a task of the job failed on the machine."""
        now = self._state.clock.monotonic()
        failed_on = self._failed_on.setdefault(job, {})
        failed_on[machine.id] = now
        if len(self._failed_on) > MAX_FAILING_JOBS:
            oldest = next(iter(self._failed_on))
            del self._failed_on[oldest]
            self._backoff_until.pop(oldest, None)
        failures = len(failed_on)
        backoff_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2 ** min(failures, MAX_BACKOFF_DOUBLINGS))
        self._backoff_until[job] = MonotonicTime(now + backoff_s)
        machine.failed_jobs.add(job)
        log.info(
            "job %s failed on machine %s, %d machines so far: backing off for %.1f s",
            job,
            machine.id,
            failures,
            backoff_s,
        )

    def machines_failed_on(self, job: JobId) -> Collection[MachineId]:
        """Return the machines on which tasks of the job have failed."""
        return self._failed_on.get(job, {})

    def is_backing_off(self, job: JobId, now: MonotonicTime) -> bool:
        """Return whether the backoff after a failure of the job has not elapsed yet."""
        return self._backoff_until.get(job, 0.0) > now

    def is_faulty(self, machine: Machine) -> bool:
        """Return whether enough jobs failed on the machine whose failures are not attributed to the jobs themselves."""
        if not machine.failed_jobs:
            return False
        machine_failures = sum(
            1 for job in machine.failed_jobs if len(self._failed_on.get(JobId(job), ())) < MIN_MACHINES_TO_BLAME_JOB
        )
        return machine_failures >= self._state.limits.faulty_errors
