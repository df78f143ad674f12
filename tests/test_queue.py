"""The commit queue, against a stand-in state service in virtual time."""

from __future__ import annotations

import asyncio

from cloverplank.jobs.book import Book
from cloverplank.kinds import Clock
from cloverplank.net.messages import Response, answer
from cloverplank.state.client import Budget, StateClient
from cloverplank.state.mirror import Mirror
from cloverplank.state.queue import CommitQueue, Urgency
from cloverplank.wire.statesvc import Commit, CommitAnswer, Put

from .world.loop import run

RATE = 20.0


class Service:
    """Carries everything out after a few milliseconds, and notes when it was asked."""

    def __init__(self) -> None:
        self.asked: list[float] = []

    async def request(self, addr: str, method: str, path: str, body: bytes | None = None, timeout: float = 2.0) -> Response:
        self.asked.append(asyncio.get_running_loop().time())
        await asyncio.sleep(0.005)
        return answer(200, CommitAnswer(len(self.asked)))


def test_a_submission_does_not_wait_for_a_burst_of_less_urgent_commits() -> None:
    """All that waited went at once, before any of it was booked: a submission that came then was answered
    after the whole burst had been paid, a quarter of a second later."""

    async def play() -> tuple[float, int]:
        clock = Clock(asyncio.get_running_loop().time)
        service = Service()
        client = StateClient(service, "x", clock, Budget(1000.0, clock), Budget(RATE, clock))
        queue = CommitQueue(client, Mirror(client, Book(), clock, 1.0), clock)
        work = [asyncio.ensure_future(queue.run())]
        work += [
            asyncio.ensure_future(queue.commit(Commit([], [Put(f"other/{n}", n)]), Urgency.PLACE)) for n in range(60)
        ]
        waits = []
        for _ in range(5):
            await asyncio.sleep(0.45)
            began = clock.mono()
            await queue.commit(Commit([], [Put("other/now", 0)]), Urgency.SUBMIT)
            waits.append(clock.mono() - began)
        in_time = sum(at < 2.0 for at in service.asked)
        for task in work:
            task.cancel()
        await asyncio.gather(*work, return_exceptions=True)
        return max(waits), in_time

    waited, made = run(play())
    assert waited < 0.05
    assert made <= RATE * 0.5 + RATE * 2.0 + 1  # the burst, and the rate
