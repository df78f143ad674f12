"""The transaction queue, with a fake store in virtual time and in the simulated world."""

from __future__ import annotations

import asyncio

from cloverplank.basic_types import JobId, ModRevision
from cloverplank.jobs import records
from cloverplank.jobs.records import JobRecord
from cloverplank.jobs.store import ChangeOutcome, PendingChange
from cloverplank.kvstore.transaction_priority import TransactionPriority
from cloverplank.wire.kvstore import Put, Transaction
from tests.jobs.specs import spec
from tests.kvstore.fake_store import CHANGES_PER_S, FakeStore, RejectingStore, RunningQueue, running_queue
from tests.simulation.loop import run
from tests.simulation.world import World

JOB = JobId("run-000001")
BURST_S = 0.5  # a burst has at most the number of changes that the token bucket refills in this time


def put(key: str) -> Transaction:
    return Transaction([], [Put(key, 0)])


async def seconds_to_commit(running: RunningQueue, priority: TransactionPriority) -> float:
    began = running.clock.monotonic()
    await running.queue.commit(put("other/now"), priority)
    return running.clock.monotonic() - began


def test_submission_does_not_wait_for_a_burst_of_transactions_of_lower_priority() -> None:
    """Guards against queued transactions that are all sent before any of them has taken its tokens.

    A submission that arrives then is answered only after the tokens of the whole burst are refilled, a quarter of a
    second later.
    """

    async def play() -> tuple[float, int]:
        store = FakeStore()
        async with running_queue(store) as running:
            began = running.clock.monotonic()
            burst = [
                asyncio.ensure_future(running.queue.commit(put(f"other/{n}"), TransactionPriority.PLACE))
                for n in range(60)
            ]
            waits = []
            for _ in range(5):
                await asyncio.sleep(0.45)
                waits.append(await seconds_to_commit(running, TransactionPriority.SUBMIT))
            sent_in_two_seconds = sum(sent_at - began < 2.0 for sent_at in store.sent_at)
            for task in burst:
                task.cancel()
            await asyncio.gather(*burst, return_exceptions=True)
        return max(waits), sent_in_two_seconds

    longest_wait, sent_in_two_seconds = run(play())
    assert longest_wait < 0.05
    assert sent_in_two_seconds <= CHANGES_PER_S * BURST_S + CHANGES_PER_S * 2.0 + 1


def test_change_of_an_ended_job_is_not_applicable_and_never_sent() -> None:
    """Guards against a cancellation that arrives as its job ends and is staged on the job's former record.

    Its transaction conflicts and is built again indefinitely, which delays all others.
    """

    async def play() -> None:
        world = World(seed=60)
        job = world.job(1, pieces=2)
        await world.submit(job)
        controller, _ = world.controllers["c-0"]
        await asyncio.sleep(1)
        view = controller.store.get(JobId(job["id"]))
        assert view is not None
        assert await world.follow(job) == "done"
        await asyncio.sleep(1)
        pending = PendingChange(
            records.cancel(), int(TransactionPriority.CANCEL), controller._environment.clock.monotonic()
        )
        async with asyncio.timeout(5):
            assert await controller.queue.stage_and_wait(view, pending) is ChangeOutcome.NOT_APPLICABLE
        assert controller.queue.backlog() == 0

    run(play())


def test_leaders_transactions_that_are_executed_late_restore_nothing() -> None:
    """Guards against scale-out requests and drains that are conditional only on the leader's mod revision.

    A copy of such a transaction that arrives after newer ones of the same leader reopens a finished request, and marks
    terminated machines as draining.
    """

    async def play() -> None:
        world = World(seed=61)
        executed: list[dict] = []
        execute = world.state._commit

        def recording(request: dict) -> tuple:
            result = execute(request)
            writes = request.get("writes") or []
            if result[0] == 200 and any("/hire/" in str(write) or "/ret/" in str(write) for write in writes):
                executed.append(request)
            return result

        world.state._commit = recording
        await asyncio.gather(*(world.follow(world.job(n, pieces=4)) for n in range(6)))
        await asyncio.sleep(120)
        assert len(executed) >= 4
        items_before, machines_before = dict(world.state.items), len(world.machines)
        # Only transactions that created a key that has since been deleted are executed again; they open scale-out
        # requests.
        statuses = [execute(request)[0] for request in executed]
        assert statuses.count(409) >= len(executed) / 2
        assert {key for key in world.state.items.keys() - items_before.keys() if "/hire/" not in key} == set()
        await asyncio.sleep(5)
        assert world.state.items.keys() == items_before.keys()
        assert len(world.machines) == machines_before

    run(play())


def test_rejected_job_backs_off_and_delays_no_other_transaction() -> None:
    """Guards against transactions that are rebuilt immediately after the store has rejected them as too large.

    After the limits of the store are lowered, this happens several times a second for each such job, and delays all
    others.
    """

    async def stage_repeatedly(running: RunningQueue) -> None:
        while True:  # as each scheduling cycle does
            view = running.watch_cache.store.jobs[JOB]
            if not view.pending:
                change = PendingChange(records.cancel(), int(TransactionPriority.PLACE), running.clock.monotonic())
                running.queue.stage(view, change)
            await asyncio.sleep(0.05)

    async def play() -> tuple[int, float]:
        store = RejectingStore()
        async with running_queue(store) as running:
            running.watch_cache.put(f"cp/job/{JOB}", JobRecord(spec(), 1), ModRevision(3))
            staging = asyncio.ensure_future(stage_repeatedly(running))
            await asyncio.sleep(30.0)
            took_s = await seconds_to_commit(running, TransactionPriority.DONE)
            staging.cancel()
            await asyncio.gather(staging, return_exceptions=True)
        return len(store.sent_at), took_s

    rejected, took_s = run(play())
    assert 4 <= rejected <= 10
    assert took_s < 0.1
