"""Access to the stored jobs for handlers of users' requests."""

from __future__ import annotations

from dataclasses import dataclass

from cloverplank.basic_types import Clock
from cloverplank.kvstore.client import StoreClient
from cloverplank.kvstore.linearizable_reader import LinearizableReader
from cloverplank.kvstore.transaction_queue import TransactionQueue
from cloverplank.kvstore.watch_cache import WatchCache


@dataclass(frozen=True, kw_only=True)
class JobAccess:
    """The components through which request handlers read and change jobs in the key-value store."""

    clock: Clock
    client: StoreClient
    watch_cache: WatchCache
    queue: TransactionQueue
    reader: LinearizableReader
