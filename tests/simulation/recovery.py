"""Checks of the recovery after all faults of a run are over."""

from __future__ import annotations

import asyncio

from tests.simulation.job_queries import JobQueries
from tests.simulation.network import Network
from tests.simulation.rules import CPU_TOLERANCE
from tests.simulation.users import Users
from tests.simulation.worker import Machine

MAX_RECOVERY_S = 75.0  # the time within which every controller must know each job, and each job must run
MAX_WAIT_BESIDE_CAPACITY_S = 90.0
OBSERVATION_S = 20.0  # how long after the recovery time the check looks for waiting tasks
POLL_S = 2.0


class RecoveryChecks(Network, Users, JobQueries):
    """The part of the world that checks the recovery; its state is set up by `World`."""

    async def check_recovery(self, within_s: float = MAX_RECOVERY_S) -> None:
        """Check that each controller knows each accepted job, and that jobs run unless cancelled or blocked."""
        jobs = sorted(self.rules.accepted)
        until = self.now() + within_s
        await asyncio.gather(*(self._check_known(job, label, until) for job in jobs for label in self.labels))
        waiting = [job for job in jobs if job not in self.rules.cancel_asked and not self.is_blocked(job)]
        while waiting and self.now() < until:
            await asyncio.sleep(1.0)
            waiting = [job for job in waiting if not self.has_started(job) and not self.is_blocked(job)]
        for job in waiting:
            self.rules.record_violation("forgotten", f"{job} was accepted and does not run after {within_s:.0f} s")
        await self._check_no_task_starves(until)

    async def _check_known(self, job: str, label: str, until: float) -> None:
        while True:
            status, _ = await self.ask_checked(job, "GET", f"/api/jobs/{job}", label=label)
            if status == 200:
                return
            if self.now() > until:
                self.rules.record_violation("forgotten", f"{job}: {label} does not answer for it, status {status}")
                return
            await asyncio.sleep(POLL_S)

    async def _check_no_task_starves(self, since: float) -> None:
        """Check that no task waits too long although a machine has capacity and its team is below its quota."""
        waiting_since: dict[str, float] = {}
        while self.now() < since + OBSERVATION_S or (
            waiting_since and self.now() < min(waiting_since.values()) + MAX_WAIT_BESIDE_CAPACITY_S + 1.0
        ):
            waiting = {name for job in self.rules.accepted for name in self._waiting_beside_capacity(job)}
            waiting_since = {name: waiting_since.get(name, self.now()) for name in waiting}
            for name, began_at in waiting_since.items():
                if self.now() - began_at >= MAX_WAIT_BESIDE_CAPACITY_S:
                    self.rules.record_violation("starved", f"{name} waits since {began_at:.1f} with capacity free")
                    return
            await asyncio.sleep(POLL_S)

    def _waiting_beside_capacity(self, job: str) -> list[str]:
        """Return one task of a job that waits although a machine could run it, or an empty list."""
        spec = self.jobs[job]
        if job in self.rules.cancel_asked or self.is_blocked(job):
            return []
        missing = [n for n in self.tasks_of(job) if n not in self.done_tasks and not self.rules.running_on.get(n)]
        if not missing or spec["apart"] or spec["together"]:
            return []
        if self.used(spec["crew"]) + spec["vcpus"] > self.limits[spec["crew"]] + CPU_TOLERANCE:
            return []
        return missing[:1] if any(self._can_take(machine, spec) for machine in self.machines.values()) else []

    def _can_take(self, machine: Machine, spec: dict) -> bool:
        if not machine.alive or machine.up_at > self.now() or (machine.spot and not spec["loaners"]):
            return False
        if spec["yard"] not in (None, machine.zone) or spec["builds"] not in (None, machine.type):
            return False
        used = sum(self.jobs[task.job]["vcpus"] for task in machine.unfinished_tasks())
        unreachable = self.faults.receives_nothing | self.faults.sends_nothing
        return used + spec["vcpus"] <= machine.vcpus and machine.id not in unreachable
