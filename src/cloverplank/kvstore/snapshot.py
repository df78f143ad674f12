"""Reads of committed keys by the status commands, which run outside the service."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from cloverplank.basic_types import Clock
from cloverplank.kvstore.client import StoreClient
from cloverplank.kvstore.token_bucket import TokenBucket
from cloverplank.net.client import Client
from cloverplank.settings.platform import PlatformSettings
from cloverplank.wire.kvstore import KeyValue

MAX_CONNECTIONS = 4
MAX_REQUESTS_PER_S = 50.0
MAX_CHANGES_PER_S = 1.0  # no change is made, but a token bucket needs a rate


async def _read_prefixes(platform: PlatformSettings, prefixes: Sequence[str]) -> list[KeyValue]:
    clock = Clock()
    request_tokens = TokenBucket(MAX_REQUESTS_PER_S, clock)
    change_tokens = TokenBucket(MAX_CHANGES_PER_S, clock)
    key_values: list[KeyValue] = []
    async with Client(MAX_CONNECTIONS) as http:
        client = StoreClient(http, platform.outside.state, clock, request_tokens, change_tokens)
        for prefix in prefixes:
            async for page in client.pages(prefix):
                key_values += page.items
    return key_values


def read_key_values(platform: PlatformSettings, prefixes: Sequence[str]) -> list[KeyValue]:
    """Read all key-values under the prefixes. Raises StoreError if the store can't be read."""
    return asyncio.run(_read_prefixes(platform, prefixes))
