"""A day in the simulated world: jobs of several types arrive, some are cancelled, and a fault scenario runs."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from tests.simulation.loop import run
from tests.simulation.world import World

Scenario = Callable[[World], Coroutine[Any, Any, None]]

DAY_S = 90.0
JOBS = 12
AFTER_CANCELLATIONS_S = 5.0  # additional wait after `cancel_s`, within which cancelled tasks must stop


async def day(
    world: World, fault: Callable[[World], Awaitable[None]] | None = None, seconds: float = DAY_S, jobs: int = JOBS
) -> dict[str, str | None]:
    """Simulate a day concurrently with `fault`, then check the recovery; return the final states of the jobs."""
    ends: dict[str, str | None] = {}

    async def follow(spec: dict, after: float, cancel_after: float | None) -> None:
        await asyncio.sleep(after)
        ends[spec["id"]] = await world.follow(spec, cancel_after)

    work = []
    for number in range(jobs):
        spec = _job(world, number)
        is_cancelled = spec["shape"] == "service" or number % 6 == 2
        cancel_after = world.random.uniform(5, 40) if is_cancelled else None
        work.append(asyncio.ensure_future(follow(spec, world.random.uniform(0.5, 25.0), cancel_after)))
    if fault is not None:
        world.spawn(fault(world))
    _, pending = await asyncio.wait(work, timeout=seconds)
    for task in pending:
        task.cancel()
    await asyncio.sleep(world.cancel_s + AFTER_CANCELLATIONS_S)
    await world.check_recovery()
    return ends


def _job(world: World, number: int) -> dict:
    """Create a service or a batch job, of either team, with or without constraints and checkpoints."""
    service = number % 4 == 3
    return world.job(
        number,
        crew="red" if number % 3 else "blue",
        pieces=world.random.randint(1, 7),
        shape="service" if service else "batch",
        loaners=not service,
        lane="web" if service else "nightly",
        rank="prod" if service else world.random.choice(["urgent", "standard"]),
        apart=number % 5 == 0 and len(world.zones) > 1,
        together=number % 5 == 1,
        marker_s=5.0 if number % 2 else 0.0,
        stow_s=1.0 if number % 2 else 0.0,
        vcpus=world.random.choice([1.0, 2.0, 4.0]) if not service else 2.0,
    )


def check(world: World) -> None:
    """Check that no rule was broken and that at least one task was started."""
    assert not world.rules.violations, "\n".join(world.rules.notes)
    assert world.rules.starts > 0


def play_day(world_of: Callable[[], World], scenario: Scenario, *more: Callable[[World], None], **of_day: Any) -> World:
    """Simulate a day in which the scenario must run to its end, and check the rules.

    `more` are called with the world before the day begins; `of_day` is passed to `day`.
    """

    async def work() -> World:
        world = world_of()
        playing: list[asyncio.Task[None]] = []

        def fault(world: World) -> asyncio.Task[None]:
            playing.append(asyncio.ensure_future(scenario(world)))
            return playing[0]

        for begin in more:
            begin(world)
        await day(world, fault, **of_day)
        assert playing[0].done(), "the scenario has not ended"
        playing[0].result()
        check(world)
        return world

    return run(work())
