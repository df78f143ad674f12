"""Jobs that depend on one another in the simulated world, and helpers to submit and poll them."""

from __future__ import annotations

import asyncio

from tests.simulation.world import World


def chain(world: World, first: int, *more_of_each: dict, **of_all) -> list[dict]:
    """Create jobs that each depend on the previous one; `of_all` and `more_of_each` set fields of the protocol."""
    specs: list[dict] = []
    for number, more in enumerate(more_of_each):
        needs = [specs[-1]["id"]] if specs else None
        specs.append(world.job(first + number, **({"pieces": 2, "vcpus": 1.0, "waits_on": needs} | of_all | more)))
    return specs


def diamond(world: World, first: int) -> list[dict]:
    """Create one job, two that depend on it, and a last one that depends on all three."""
    top = world.job(first, pieces=3, vcpus=1.0, rank="idle")
    sides = [world.job(first + n, pieces=2, vcpus=1.0, rank="idle", waits_on=[top["id"]]) for n in (1, 2)]
    last = world.job(first + 3, pieces=2, vcpus=1.0, rank="urgent", waits_on=[top["id"], *(s["id"] for s in sides)])
    return [top, *sides, last]


async def submit_in_turn(world: World, specs: list[dict]) -> None:
    """Submit jobs one after another, each until it is accepted."""
    for spec in specs:
        assert await world.submit(spec), spec["id"]


async def query_state(world: World, spec: dict) -> str | None:
    """Ask any controller for the state of a job."""
    return (await world.ask_checked(spec["id"], "GET", f"/api/jobs/{spec['id']}"))[1]


async def wait_for_end(world: World, spec: dict, within_s: float = 120.0) -> str | None:
    """Poll a job until it has ended; return its final state, or None if it has not ended after `within_s`."""
    until = world.now() + within_s
    while world.now() < until:
        state = await query_state(world, spec)
        if state in ("done", "cancelled"):
            return state
        await asyncio.sleep(1.0)
    return None


async def wait_until_ready(world: World) -> None:
    """Wait until every controller is ready for requests."""
    while not all(c.router.ready() for c, _ in world.controllers.values()):
        await asyncio.sleep(0.2)


async def submit_once(world: World, spec: dict) -> tuple[int, dict]:
    """Submit a job with a single request; return the status and the body of the response."""
    world.rules.submitted.add(spec["id"])
    world.rules.submitted_at.setdefault(spec["id"], world.now())
    return await world.ask("POST", "/api/jobs", spec)
