"""Fakes of the key-value store, and a transaction queue that sends to them in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from msgspec import Raw

from cloverplank.basic_types import Clock
from cloverplank.jobs.records import JobRecord
from cloverplank.jobs.store import JobStore
from cloverplank.kvstore.client import StoreClient
from cloverplank.kvstore.token_bucket import TokenBucket
from cloverplank.kvstore.transaction_queue import TransactionQueue
from cloverplank.kvstore.watch_cache import WatchCache
from cloverplank.net.messages import Response, make_response
from cloverplank.wire.codec import encode
from cloverplank.wire.kvstore import KeyValue, TransactionResponse
from tests.jobs.specs import spec

REQUESTS_PER_S = 1000.0
CHANGES_PER_S = 20.0
RESPONSE_TIME_S = 0.005


class FakeStore:
    """Executes every request after RESPONSE_TIME_S and records when it was sent."""

    def __init__(self) -> None:
        self.sent_at: list[float] = []

    async def request(
        self, addr: str, method: str, path: str, body: bytes | None = None, timeout: float = 2.0
    ) -> Response:
        self.sent_at.append(asyncio.get_running_loop().time())
        await asyncio.sleep(RESPONSE_TIME_S)
        return make_response(200, TransactionResponse(len(self.sent_at)))


class RejectingStore(FakeStore):
    """Rejects all transactions of jobs and executes every other request."""

    async def request(
        self, addr: str, method: str, path: str, body: bytes | None = None, timeout: float = 2.0
    ) -> Response:
        if body is not None and b"cp/job/" in body:
            self.sent_at.append(asyncio.get_running_loop().time())
            return make_response(400)
        if path.startswith("/keys/cp/job/"):
            return make_response(200, KeyValue("cp/job/run-000001", Raw(encode(JobRecord(spec(), 1))), 3))
        await asyncio.sleep(RESPONSE_TIME_S)
        return make_response(200, TransactionResponse(1))


@dataclass(frozen=True)
class RunningQueue:
    """A running transaction queue with its clock and watch cache."""

    clock: Clock
    watch_cache: WatchCache
    queue: TransactionQueue


@asynccontextmanager
async def running_queue(store: FakeStore) -> AsyncIterator[RunningQueue]:
    """Run a transaction queue within the context."""
    clock = Clock(asyncio.get_running_loop().time)
    client = StoreClient(store, "x", clock, TokenBucket(REQUESTS_PER_S, clock), TokenBucket(CHANGES_PER_S, clock))
    watch_cache = WatchCache(client, JobStore(), clock, 1.0)
    queue = TransactionQueue(client, watch_cache, clock)
    task = asyncio.ensure_future(queue.run())
    try:
        yield RunningQueue(clock, watch_cache, queue)
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
