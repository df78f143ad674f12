"""The actual state of the jobs of a run, which checks compare with what controllers report and do."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.simulation.rules import job_of

if TYPE_CHECKING:
    from tests.simulation.rules import Rules


class JobQueries:
    """The part of the world that answers questions about its jobs; its state is set up by `World`.

    Attributes:
        jobs: the submitted specs by job id.
        done_tasks: the names of tasks that completed on some machine.

    """

    jobs: dict[str, dict]
    done_tasks: set[str]
    rules: Rules

    def tasks_of(self, job: str) -> list[str]:
        """Return the names of a job's tasks."""
        return [f"{job}/{number}" for number in range(self.jobs[job]["pieces"])]

    def running_jobs(self) -> list[str]:
        """Return the accepted jobs that have running tasks and whose cancellation was not requested."""
        found = {job_of(name) for name, machines in self.rules.running_on.items() if machines}
        return sorted(found & self.rules.accepted - self.rules.cancel_asked)

    def used(self, team: str) -> float:
        """Return the number of CPU cores that a team's running tasks use."""
        return sum(
            self.jobs[job_of(name)]["vcpus"] * len(machines)
            for name, machines in self.rules.running_on.items()
            if self.jobs[job_of(name)]["crew"] == team
        )

    def upstream(self, job: str) -> list[str]:
        """Return the direct upstream jobs of a job."""
        return list(self.jobs[job].get("waits_on") or ()) if job in self.jobs else []

    def all_upstream(self, job: str) -> set[str]:
        """Return the direct and transitive upstream jobs of a job."""
        found: set[str] = set()
        left = self.upstream(job)
        while left:
            other = left.pop()
            if other not in found:
                found.add(other)
                left += self.upstream(other)
        return found

    def all_done(self, job: str) -> bool:
        """Return whether every task of a job has completed."""
        return all(name in self.done_tasks for name in self.tasks_of(job))

    def is_blocked(self, job: str) -> bool:
        """Return whether a direct or transitive upstream job is not done or was cancelled."""
        return any(not self.all_done(other) or other in self.rules.cancelled_at for other in self.all_upstream(job))

    def has_started(self, job: str) -> bool:
        """Return whether a job has a running task or is done."""
        return any(self.rules.running_on.get(name) for name in self.tasks_of(job)) or self.all_done(job)
