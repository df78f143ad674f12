"""Linearizable reads: concurrent reads share one transaction of compares, but not the failures of single reads."""

from __future__ import annotations

import asyncio

from tests.simulation.loop import run
from tests.simulation.world import World


def test_unreadable_record_leaves_other_reads_their_answers() -> None:
    """Guards against an unreadable record that fails every read of its batch, as long as it is among them."""

    async def play() -> list[int]:
        world = World(seed=70)
        jobs = [world.job(n, pieces=2) for n in range(4)]
        for job in jobs:
            world.durations[job["id"]] = 500.0
        await asyncio.gather(*(world.submit(job) for job in jobs))
        await asyncio.sleep(5)
        key = f"cp/job/{jobs[0]['id']}"
        _, mod_revision, _ = world.state.items[key]
        world.state.items[key] = ("unreadable", mod_revision + 10**6, None)
        responses = await asyncio.gather(*(world.ask("GET", f"/api/jobs/{job['id']}", label="c-0") for job in jobs))
        return [status for status, _ in responses]

    assert run(play()) == [503, 200, 200, 200]


def test_reads_are_answered_while_transactions_are_held_up() -> None:
    """Compares are transactions, too: a delayed one takes two seconds, which is as long as users wait for a response.

    The jobs must be read one by one instead.
    """

    async def play() -> tuple[int, float]:
        world = World(seed=71)
        job = world.job(1, pieces=2)
        world.durations[job["id"]] = 500.0
        await world.submit(job)
        await asyncio.sleep(5)
        world.faults.late_commit_fraction = 1.0
        answered, longest_s = 0, 0.0
        for label in world.labels * 3:
            began = world.now()
            status, _ = await world.ask("GET", f"/api/jobs/{job['id']}", label=label)
            answered += status == 200
            longest_s = max(longest_s, world.now() - began)
        world.faults.late_commit_fraction = 0.0
        assert not world.rules.violations, world.rules.notes
        return answered, longest_s

    answered, longest_s = run(play())
    assert answered >= 7
    assert longest_s < 1.5
