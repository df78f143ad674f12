"""Queries and actions that fault scenarios use on the simulated world."""

from __future__ import annotations

from tests.simulation.worker import Machine
from tests.simulation.world import World


def shard_owner(world: World) -> str:
    """Return the label of a controller that owns a shard; `c-0` if none does."""
    return next((label for label, (c, _) in world.controllers.items() if c.shards), "c-0")


def leader(world: World) -> str:
    """Return the label of the leader; `c-0` if there is none."""
    return next(
        (label for label, (c, _) in world.controllers.items() if c.controller_lease.leadership_revision() is not None),
        "c-0",
    )


def target_controller(world: World) -> str:
    """Return the label of the controller that the scenario targets: the leader or a shard owner."""
    return shard_owner(world) if world.targets_shard_owner else leader(world)


def other_controllers(world: World, label: str) -> list[str]:
    """Return the labels of all controllers but one, running or not."""
    return [other for other in world.labels if other != label]


def busy_machines(world: World) -> list[Machine]:
    """Return the machines that are alive and have tasks, in the order of their start."""
    return [m for m in world.machines.values() if m.alive and m.tasks]


def hang_machines(world: World, machines: list[Machine], seconds: float) -> None:
    """Hang the machines for `seconds`, then let them continue."""
    for machine in machines:
        machine.hung = True
        world.loop.call_later(seconds, setattr, machine, "hung", False)


def decline_assignments(world: World, label: str, seconds: float) -> None:
    """Let a controller acquire neither leadership nor shards for `seconds`."""
    lease = world.controllers[label][0].controller_lease
    lease.declines_assignments_until = lease._clock.monotonic() + seconds


def lengthen_tasks(world: World, every: int = 2) -> None:
    """Set the run time of every `every`-th job to 60 s, longer than any fault lasts."""
    for number, job in enumerate(sorted(world.durations)):
        if number % every == 0:
            world.durations[job] = 60.0


def cancel_running_jobs(world: World, count: int, label: str | None = None) -> None:
    """Cancel up to `count` random running jobs at once, through the controller `label` or any controller."""
    for job in world.random.sample(world.running_jobs(), min(count, len(world.running_jobs()))):
        world.spawn(world.cancel_job(job, label))
