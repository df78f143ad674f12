"""The watch cache when keys change while it is loaded."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from cloverplank.basic_types import Clock, Zone
from cloverplank.jobs.store import JobStore
from cloverplank.kvstore import keys
from cloverplank.kvstore.client import StoreClient
from cloverplank.kvstore.token_bucket import TokenBucket
from cloverplank.kvstore.watch_cache import WatchCache
from cloverplank.net.messages import Response, make_response
from cloverplank.records.cluster import ShardRecord
from cloverplank.wire.codec import encode
from cloverplank.wire.kvstore import Put, Transaction
from tests.simulation.kvstore import KeyValueStore
from tests.simulation.loop import run

ZONE = Zone("a")
ASSIGNMENT = Transaction([], [Put(keys.shard(ZONE), ShardRecord(ZONE, "c-1", 7))])
OTHER_CHANGE = Transaction([], [Put(keys.node("c-2"), {"yard": ZONE, "hold": 8})])
READS = 2  # requests that load a small store


class ChangingStore:
    """A key-value store in which a shard is assigned immediately after `reads_before` reads."""

    def __init__(self, changes_before: int, reads_before: int) -> None:
        self._store = KeyValueStore(asyncio.get_running_loop().time)
        self._reads_before = reads_before
        for _ in range(changes_before):
            self._commit(OTHER_CHANGE)

    def _commit(self, transaction: Transaction) -> None:
        status, _ = self._store._commit(msgspec.msgpack.decode(encode(transaction)))
        assert status == 200

    async def request(
        self, addr: str, method: str, path: str, body: bytes | None = None, timeout: float = 2.0
    ) -> Response:
        status, answer = await self._store.handle("c-2", method, path, body or b"")
        if path.startswith("/keys?"):
            self._reads_before -= 1
            if self._reads_before == 0:
                self._commit(ASSIGNMENT)
                self._commit(OTHER_CHANGE)
        return make_response(status, answer)


# Guards against a first assignment that is missing from the cache of a controller that started to read the store while
# the store was empty: a task then runs twice, or a zone has no owner.
@pytest.mark.parametrize("reads_before", range(1, READS + 1))
@pytest.mark.parametrize("changes_before", [0, 1, 3])
def test_change_between_the_reads_of_a_load_is_known_after_the_next_watch(
    changes_before: int, reads_before: int
) -> None:
    async def main() -> None:
        clock = Clock(asyncio.get_running_loop().time, asyncio.get_running_loop().time)
        store = ChangingStore(changes_before, reads_before)
        client = StoreClient(store, "store", clock, TokenBucket(100.0, clock), TokenBucket(100.0, clock))
        cache = WatchCache(client, JobStore(), clock, 0.1)
        running = asyncio.ensure_future(cache.run())
        await asyncio.sleep(5.0)
        running.cancel()
        stored = cache.get(keys.shard(ZONE), ShardRecord)
        assert stored is not None
        assert stored.record.node == "c-1"

    run(main())
