"""No job is left waiting beside room: a machine stops in a deployment of two zones while small services come and go.

The leader keeps room ready once for the class of the services, split over the zones. The owner of each zone's shard
keeps all of that room in its own zone. So the leader counts room for the stopped task and rents nothing, and neither
owner places it there.
"""

from __future__ import annotations

import asyncio

from review.common import case
from review.common.deployment import Deployment

ARRAY_CPUS, ARRAY_RUN_S = 4.0, 600.0
SERVICE_EVERY_S, SERVICE_HOLD_S = 8.0, 10.0  # one replica of 2 CPUs, of the class that should start within 1 s
STOP_AFTER_S = 13.0  # machine_die with count = 1, at the earliest this long after the start
MAX_WAIT_S = 90.0  # the bound of the rule
POLL_S = 0.25


async def _services(deployment: Deployment) -> None:
    """Submit small services, each of which its user calls off a while after it was accepted."""
    for number in range(100, 200):
        spec = deployment.job(
            number, shape="service", rank="prod", lane="web", loaners=False, pieces=1, vcpus=2.0, guess_s=0.0
        )
        deployment.spawn(deployment.follow(spec, cancel_after=SERVICE_HOLD_S))
        await asyncio.sleep(SERVICE_EVERY_S)


async def play(deployment: Deployment) -> list[str]:
    """Play the case and return what broke the rule."""
    spec = deployment.job(1, pieces=1, vcpus=ARRAY_CPUS, loaners=False, guess_s=ARRAY_RUN_S)
    job, task = spec["id"], deployment.tasks_of(spec["id"])[0]
    deployment.durations[job] = ARRAY_RUN_S
    if not await deployment.submit(spec):
        raise case.CouldNotRunError(f"{job} was not accepted")
    deployment.spawn(_services(deployment))
    while not deployment.rules.running_on.get(task) or deployment.record.seconds() < STOP_AFTER_S:
        await asyncio.sleep(POLL_S)
        if deployment.record.seconds() > 2 * STOP_AFTER_S:
            raise case.CouldNotRunError(f"{task} did not start")
    if case.trouble():
        machine = deployment.machines[min(deployment.rules.running_on[task])]
        deployment.note(f"{machine.id} in {machine.zone} stops with all that is on it")
        machine.die()
    waiting_since: float | None = None
    while deployment.record.seconds() < case.MAX_S - 4.0:
        await asyncio.sleep(POLL_S)
        now = deployment.now()
        if not deployment._waiting_beside_capacity(job):
            if waiting_since is not None:
                deployment.note(f"{job} no longer waits beside room, after {now - waiting_since:.1f} s")
            waiting_since = None
        elif waiting_since is None:
            waiting_since = now
            deployment.note(f"{job} begins to wait while a machine that fits has room: {_room(deployment)}")
        elif now - waiting_since >= MAX_WAIT_S:
            return [f"{job} waits for {now - waiting_since:.0f} s beside room; free CPUs now: {_room(deployment)}"]
    return []


def _room(deployment: Deployment) -> dict[str, float]:
    """Return the free CPUs of each machine that is up."""
    return {
        f"{machine.id} in {machine.zone}": machine.vcpus
        - sum(deployment.jobs[task.job]["vcpus"] for task in machine.unfinished_tasks())
        for machine in deployment.machines.values()
        if machine.alive and machine.up_at <= deployment.now()
    }


if __name__ == "__main__":
    case.run(__file__, play, zones=2)
