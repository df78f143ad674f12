"""No job is left waiting beside room: one task fails once on the only machine, which goes on well.

The shard owner never places a task of that job on that machine again, the leader counts the machine's room as room for
the job and rents no other one, and the machine is not returned as idle because it is counted on.
"""

from __future__ import annotations

import asyncio

from review.common import case
from review.common.deployment import Deployment
from tests.simulation.worker import Machine, Task

FAILS = "run-000001/2"  # in its first attempt
RUN_S = 2.0
MAX_WAIT_S = 90.0  # the bound of the rule
POLL_S = 0.25


def _fail_once(deployment: Deployment) -> None:
    """Let the first attempt of the task end with the cause `error` instead of `done`."""
    complete = Machine._complete

    def complete_or_fail(machine: Machine, task: Task) -> None:
        if case.trouble() and task.name == FAILS and task.attempt == 1:
            deployment.note(f"task {task.name} attempt {task.attempt} on {machine.id} fails: cause error")
            machine.end_task(task, "error")
        else:
            complete(machine, task)

    Machine._complete = complete_or_fail  # type: ignore[method-assign]


async def _run_job(deployment: Deployment, number: int, **more: object) -> str:
    """Submit an array; return its id."""
    spec = deployment.job(number, vcpus=2.0, loaners=False, guess_s=RUN_S, **more)
    deployment.durations[spec["id"]] = RUN_S
    if not await deployment.submit(spec):
        raise case.CouldNotRunError(f"{spec['id']} was not accepted")
    return spec["id"]


async def play(deployment: Deployment) -> list[str]:
    """Play the case and return what broke the rule."""
    _fail_once(deployment)
    job = await _run_job(deployment, 1, pieces=4)
    others = 0
    waiting_since: float | None = None
    while deployment.record.seconds() < case.MAX_S - 4.0:
        await asyncio.sleep(POLL_S)
        now = deployment.now()
        if deployment.all_done(job):
            status, answer = await deployment.ask("GET", f"/api/jobs/{job}")
            if (status, answer.get("status")) == (200, "done"):
                return []
        # The job of another user, every 20 s, shows that the machine is well.
        if waiting_since is not None and now - waiting_since > 5.0 + 20.0 * others:
            others += 1
            await _run_job(deployment, 100 + others, pieces=1)
        if not deployment._waiting_beside_capacity(job):
            waiting_since = None
        elif waiting_since is None:
            waiting_since = now
            deployment.note(f"{job} begins to wait while a machine that fits has room")
        elif now - waiting_since >= MAX_WAIT_S:
            status, answer = await deployment.ask("GET", f"/api/jobs/{job}")
            room = [machine.id for machine in deployment.machines.values() if machine.alive]
            done = sum(deployment.all_done(f"run-{100 + number:06d}") for number in range(1, others + 1))
            return [
                f"{job} waits for {now - waiting_since:.0f} s while {room} has room; the answer is {status} {answer}; "
                f"{done} of {others} jobs of other users were done on it meanwhile"
            ]
    if waiting_since is None:
        raise case.CouldNotRunError(f"{job} neither waited nor was done")
    return []


if __name__ == "__main__":
    case.run(__file__, play, zones=1)
