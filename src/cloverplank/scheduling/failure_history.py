"""History of task failures: attributes them to the job or the machine, and delays the next attempts."""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Collection, Container, Iterator
from itertools import islice

from msgspec import Struct, field

from cloverplank.basic_types import NEVER, Clock, JobId, MachineId, MonotonicTime
from cloverplank.wire.gossip import FailureGossip

log = logging.getLogger(__name__)

MAX_FAILING_JOBS = 2_000  # jobs whose failures are remembered; those that failed longest ago are dropped first
MIN_BACKOFF_S = 0.5
MAX_BACKOFF_S = 30.0
MAX_BACKOFF_DOUBLINGS = 8
FIRST_AVOIDANCE_S = 5.0  # a job avoids a machine for this long after its first failure there
# And for this long after each further one: another machine can boot meanwhile, and it is less than the 90 s for which a
# job may wait beside capacity.
REPEATED_AVOIDANCE_S = 60.0
MIN_REPEATED_FAILURES = 2  # consecutive failures on a machine at which the job needs another one
FAILURE_TTL_S = 600.0  # failures that are followed by none for this long no longer count as consecutive
MIN_MACHINES_TO_BLAME_JOB = 3  # a failure on this many machines is attributed to the job


class _MachineFailures(Struct):
    """The failures of one job on one machine."""

    failed_at: MonotonicTime
    count: int = 1  # consecutive failures, without a task of the job that was done there


class _JobFailures(Struct):
    """The failures of one job."""

    count: int = 0
    failed_at: MonotonicTime = NEVER
    machines: dict[MachineId, _MachineFailures] = field(default_factory=dict)
    gossiped_machines: int = 0  # on how many machines it failed according to a peer

    def backoff_until(self) -> MonotonicTime:
        """Return when the job may start tasks again."""
        return MonotonicTime(self.failed_at + _backoff_s(self.count)) if self.count else NEVER

    def blames_job(self) -> bool:
        """Return whether the failures are attributed to the job itself."""
        return self.machine_count() >= MIN_MACHINES_TO_BLAME_JOB

    def machine_count(self) -> int:
        """Return the number of machines on which the job failed."""
        return max(len(self.machines), self.gossiped_machines)


def _backoff_s(failures: int) -> float:
    return min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2.0 ** min(failures, MAX_BACKOFF_DOUBLINGS))


def _avoided_until(failures: _MachineFailures) -> MonotonicTime:
    if failures.count == 0:
        return NEVER
    avoidance_s = REPEATED_AVOIDANCE_S if failures.count >= MIN_REPEATED_FAILURES else FIRST_AVOIDANCE_S
    return MonotonicTime(failures.failed_at + avoidance_s)


class FailureHistory:
    """Failures of tasks in the shards of this controller, and in those of its peers according to gossip.

    A job avoids a machine on which it failed for a limited time only, since no other machine may be available: leader
    and shard owners otherwise disagree on the machine's capacity, and the job waits beside it indefinitely. The leader
    provides another machine once a job has failed on one repeatedly. A job that fails on several machines is itself at
    fault: it may use any machine, with growing pauses. A machine is faulty if several jobs failed there that are not
    themselves at fault.

    `faulty_jobs`: the number of jobs with failures at which a machine is faulty.
    """

    def __init__(self, clock: Clock, faulty_jobs: int) -> None:
        self._clock = clock
        self._faulty_jobs = faulty_jobs
        self._jobs: OrderedDict[JobId, _JobFailures] = OrderedDict()
        self._failed_jobs: dict[MachineId, set[JobId]] = {}

    def __len__(self) -> int:
        return len(self._jobs)

    # -- recording

    def record_failure(self, job: JobId, machine: MachineId) -> None:
        """Record that a task of the job failed on the machine.

        Tasks that were started before the last failure there say nothing new, and are not counted.
        """
        now = self._clock.monotonic()
        failures = self._failures_of(job)
        on_machine = failures.machines.get(machine)
        if on_machine is None:
            on_machine = self._add_machine(job, failures, machine, now)
        elif now < self._starts_again_at(failures, on_machine):
            return
        else:
            is_expired = now - on_machine.failed_at > FAILURE_TTL_S
            on_machine.count = 1 if is_expired else on_machine.count + 1
            on_machine.failed_at = now
        failures.count = 1 if now - failures.failed_at > FAILURE_TTL_S else failures.count + 1
        failures.failed_at = now
        log.info(
            "job %s failed on machine %s, %d times in succession there, %d machines so far: backing off for %.1f s",
            job,
            machine,
            on_machine.count,
            failures.machine_count(),
            _backoff_s(failures.count),
        )

    def record_success(self, job: JobId, machine: MachineId) -> None:
        """Record that a task of the job was done on the machine, so that earlier failures there are no longer repeated.

        The job's backoff stays, since other tasks of the job may fail each time.
        """
        failures = self._jobs.get(job)
        on_machine = failures.machines.get(machine) if failures is not None else None
        if on_machine is not None:
            on_machine.count = 0

    def _failures_of(self, job: JobId) -> _JobFailures:
        """Return the failures of a job, which is added if it is unknown, as those of the latest failure."""
        failures = self._jobs.get(job)
        if failures is None:
            failures = self._jobs[job] = _JobFailures()
            if len(self._jobs) > MAX_FAILING_JOBS:
                self._remove_oldest()
        self._jobs.move_to_end(job)
        return failures

    def _add_machine(
        self, job: JobId, failures: _JobFailures, machine: MachineId, failed_at: MonotonicTime
    ) -> _MachineFailures:
        on_machine = failures.machines[machine] = _MachineFailures(failed_at)
        self._failed_jobs.setdefault(machine, set()).add(job)
        return on_machine

    def _remove_oldest(self) -> None:
        job, failures = self._jobs.popitem(last=False)
        for machine in failures.machines:
            jobs = self._failed_jobs[machine]
            jobs.discard(job)
            if not jobs:
                del self._failed_jobs[machine]

    def _starts_again_at(self, failures: _JobFailures, on_machine: _MachineFailures) -> MonotonicTime:
        """Return from when on the job may start tasks on a machine on which it failed."""
        avoided_until = NEVER if failures.blames_job() else _avoided_until(on_machine)
        return max(failures.backoff_until(), avoided_until)

    # -- attribution

    def is_backing_off(self, job: JobId) -> bool:
        """Return whether the backoff after a failure of the job has not elapsed yet."""
        failures = self._jobs.get(job)
        return failures is not None and failures.backoff_until() > self._clock.monotonic()

    def suspected_machines(self, job: JobId) -> Collection[MachineId]:
        """Return the machines on which the job failed, unless the failures are attributed to the job."""
        failures = self._jobs.get(job)
        return () if failures is None or failures.blames_job() else failures.machines.keys()

    def avoided_machines(self, job: JobId) -> Collection[MachineId]:
        """Return the machines that the job does not use for now, because it failed there."""
        return self._avoided(job, min_failures=1)

    def unusable_machines(self, job: JobId) -> Collection[MachineId]:
        """Return the machines that the job does not use for now, and in place of which it needs another one."""
        return self._avoided(job, min_failures=MIN_REPEATED_FAILURES)

    def _avoided(self, job: JobId, *, min_failures: int) -> Collection[MachineId]:
        failures = self._jobs.get(job)
        if failures is None or failures.blames_job():
            return ()
        now = self._clock.monotonic()
        return [
            machine
            for machine, on_machine in failures.machines.items()
            if on_machine.count >= min_failures and _avoided_until(on_machine) > now
        ]

    def is_faulty(self, machine: MachineId) -> bool:
        """Return whether enough jobs failed on the machine whose failures are not attributed to the jobs themselves."""
        failed_jobs = self._failed_jobs.get(machine)
        if failed_jobs is None:
            return False
        return sum(not self._jobs[job].blames_job() for job in failed_jobs) >= self._faulty_jobs

    # -- gossip

    def gossip(self, jobs: Container[JobId], machines: Container[MachineId]) -> Iterator[FailureGossip]:
        """Yield the failures of the given jobs on the given machines as gossiped to peers, the latest jobs first."""
        now = self._clock.monotonic()
        for job in reversed(self._jobs):
            if job not in jobs:
                continue
            failures = self._jobs[job]
            on_machines = ((name, failed) for name, failed in failures.machines.items() if name in machines)
            # More machines would not change what the failures are attributed to.
            for machine, on_machine in islice(on_machines, MIN_MACHINES_TO_BLAME_JOB):
                failed_s_ago = max(0.0, now - on_machine.failed_at)
                yield FailureGossip(
                    job,
                    machine,
                    count=on_machine.count,
                    job_count=failures.count,
                    job_machines=failures.machine_count(),
                    failed_s_ago=failed_s_ago,
                )

    def apply_gossip(self, message: FailureGossip) -> None:
        """Apply the failures of a job on a machine that the machine's shard owner gossips."""
        job, machine = JobId(message.job), MachineId(message.machine)
        failed_at = MonotonicTime(self._clock.monotonic() - max(0.0, message.failed_s_ago))
        failures = self._failures_of(job)
        on_machine = failures.machines.get(machine) or self._add_machine(job, failures, machine, failed_at)
        on_machine.count, on_machine.failed_at = message.count, failed_at
        failures.count = max(failures.count, message.job_count)
        failures.gossiped_machines = max(failures.gossiped_machines, message.job_machines)
        failures.failed_at = max(failures.failed_at, failed_at)
