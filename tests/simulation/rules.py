"""The rules of the protocol, each checked at the event that could break it.

Stand-ins and users report events to `Rules`, which records violations and never interferes. The names of the rules are
those of the protocol, plus `begun_late`, `started_cancelled`, `starved` and `foreign_token`, which are stricter.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.simulation.worker import Machine
    from tests.simulation.world import World

CONTROLLER_LEASE_S = 4.0  # a controller without contact must not start tasks after its own lease has expired
MAX_START_DELAY_S = 240.0  # the longest time from the submission of a job to the start of its first task
MAX_NOTES = 50
CPU_TOLERANCE = 1e-6
FINAL_STATES = ("done", "cancelled")


def job_of(task: str) -> str:
    """Return the job that a task belongs to."""
    return task.rsplit("/", 1)[0]


class Rules:
    """The events of a run so far, and the rules that were broken.

    Attributes:
        violations: the number of violations by rule.
        notes: descriptions of the first violations, with their times.
        running_on: the machines on which each task runs.
        submitted, submitted_at: jobs that a user tried to submit, and the time in seconds of the first attempt.
        accepted: jobs that some response reported as accepted.
        final_states: the final state of each job in the last response to a user that had one.
        cancel_asked: jobs whose cancellation a user requested.
        cancelled_at: the time in seconds of the first response that reported a job as cancelled.
        starts: the number of started tasks.
        started_jobs: jobs with at least one started task.

    """

    def __init__(self, world: World) -> None:
        self.world = world
        self.violations: Counter[str] = Counter()
        self.notes: list[str] = []
        self.running_on: dict[str, set[str]] = {}
        self.accepted: set[str] = set()
        self.submitted: set[str] = set()
        self.final_states: dict[str, str] = {}
        self.cancelled_at: dict[str, float] = {}
        self.cancel_asked: set[str] = set()
        self.starts = 0
        self.started_jobs: set[str] = set()
        self.submitted_at: dict[str, float] = {}

    def record_violation(self, rule: str, note: str) -> None:
        """Count a violation and keep its note."""
        self.violations[rule] += 1
        if len(self.notes) < MAX_NOTES:
            self.notes.append(f"{self.world.now():.2f} {rule}: {note}")

    # -- tasks

    def task_started(self, name: str, attempt: int, machine: Machine) -> None:
        """Check a task that starts on a machine after its image was pulled."""
        self.starts += 1
        machines = self.running_on.setdefault(name, set())
        if machines - {machine.id}:
            self.record_violation("ran_twice", f"{name} attempt {attempt} on {machine.id}, also on {machines}")
        if self._is_wrong_place(name, machine):
            self.record_violation(
                "wrong_place", f"{name} on {machine.id} ({machine.type}, {machine.zone}, spot: {machine.spot})"
            )
        for upstream in self.world.upstream(job_of(name)):
            if not self.world.all_done(upstream):
                self.record_violation("too_early", f"{name} starts before {upstream} is done")
        machines.add(machine.id)
        self._check_quota(name)
        self._check_start_time(name)
        self.started_jobs.add(job_of(name))

    def task_ended(self, name: str, machine: Machine) -> None:
        """Record that a task no longer runs on a machine."""
        self.running_on.get(name, set()).discard(machine.id)

    def _is_wrong_place(self, name: str, machine: Machine) -> bool:
        spec = self.world.jobs[job_of(name)]
        zones = self._zones_of_other_tasks(name)
        return (
            (spec["builds"] is not None and machine.type not in spec["builds"])
            or (spec["yard"] not in (None, machine.zone))
            or (machine.spot and not spec["loaners"])
            or (spec["together"] and any(zone != machine.zone for zone in zones))
            or (spec["apart"] and zones[machine.zone] + 1 > (spec["pieces"] + 1) // 2)
        )

    def _zones_of_other_tasks(self, name: str) -> Counter[str]:
        """Count the machines on which the other tasks of a job run, by zone."""
        job = job_of(name)
        return Counter(
            self.world.machines[machine].zone
            for other, machines in self.running_on.items()
            if other != name and job_of(other) == job
            for machine in machines
        )

    def _check_quota(self, name: str) -> None:
        team = self.world.jobs[job_of(name)]["crew"]
        used = self.world.used(team)
        if used > self.world.limits[team] + CPU_TOLERANCE:
            self.record_violation("quota", f"{team} uses {used} of {self.world.limits[team]} cores with {name}")

    def _check_start_time(self, name: str) -> None:
        job, now = job_of(name), self.world.now()
        if job in self.cancelled_at and now - self.cancelled_at[job] > self.world.cancel_s:
            self.record_violation("ran_cancelled", f"{name} starts")
        if job in self.started_jobs or self.world.jobs[job].get("waits_on"):
            return
        if now - self.submitted_at[job] > MAX_START_DELAY_S:
            self.record_violation("begun_late", f"{name} after {now - self.submitted_at[job]:.0f} s")

    def commands_sent(self, src: str, commands: list[dict]) -> None:
        """Check the commands that a controller sends, at the time of sending.

        A command that the network delays does not break the rule. A start command breaks it if its job was cancelled
        longer ago than a controller may continue without contact.
        """
        now = self.world.now()
        for command in commands:
            cancelled_at = self.cancelled_at.get(job_of(command["piece"]))
            if command["verb"] == "start" and cancelled_at is not None and now - cancelled_at > CONTROLLER_LEASE_S:
                note = f"{command['piece']} by {src}, {now - cancelled_at:.1f} s after its cancellation"
                self.record_violation("started_cancelled", note)

    def token_sent(self, src: str, zone: str, token: int) -> None:
        """Check that a message to a worker carries a revision of the store at which its sender owned the shard."""
        if self.world.state.shard_owner_at(zone, token) != src:
            self.record_violation("foreign_token", f"token {token} for a worker of {zone} by {src}")

    def sweep(self) -> None:
        """Check that no task runs for longer than `cancel_s` after its cancellation."""
        for job, cancelled_at in self.cancelled_at.items():
            if self.world.now() - cancelled_at > self.world.cancel_s:
                for name, machines in self.running_on.items():
                    if machines and job_of(name) == job:
                        self.record_violation("ran_cancelled", f"{name} still on {machines}")

    # -- responses to users

    def check_response(
        self,
        job: str,
        status: int,
        state: str | None,
        *,
        before: str | None = None,
        submitting: bool = False,
        asked_at: float | None = None,
    ) -> None:
        """Check a response to a user.

        `before` is the last final state that any user had received when the request was sent. Final states received
        while the request was in flight don't constrain its response, but no two final states may differ.
        """
        if status in (200, 201):
            self._check_accepted(job, state, before, asked_at)
        elif job in self.accepted and (status == 404 or (submitting and status in (400, 422))):
            self.record_violation("forgotten", f"{job}: accepted before, now status {status}")

    def _check_accepted(self, job: str, state: str | None, before: str | None, asked_at: float | None) -> None:
        if job not in self.submitted:
            self.record_violation("invented", job)
        self.accepted.add(job)
        if state == "done" and not self.world.all_done(job):
            self.record_violation("not_done", job)
        upstream = self.world.all_upstream(job)
        if state in ("pending", "running"):
            self._check_orphaned(job, upstream - {job}, asked_at)
        if state == "cancelled" and not {job, *upstream} & self.cancel_asked:
            self.record_violation("went_back", f"{job} is cancelled, but no user cancelled it or an upstream job")
        if before is not None and state != before:
            self.record_violation("went_back", f"{job}: was {before}, now {state}")
        if state in FINAL_STATES:
            self._check_final(job, state)

    def _check_final(self, job: str, state: str) -> None:
        if self.final_states.get(job) not in (None, state):
            self.record_violation("went_back", f"{job}: {self.final_states[job]} and {state}")
        self.final_states[job] = state
        if state == "cancelled":
            self.cancelled_at.setdefault(job, self.world.now())

    def _check_orphaned(self, job: str, upstream: set[str], asked_at: float | None) -> None:
        """Check a response that reports a job as unfinished, as of the time of its request: it may be late."""
        now = self.world.now() if asked_at is None else asked_at
        for other in sorted(upstream):
            if other in self.cancelled_at and now - self.cancelled_at[other] > self.world.cancel_s:
                note = f"{job}, {now - self.cancelled_at[other]:.1f} s after {other} was cancelled"
                self.record_violation("orphaned", note)
                return
