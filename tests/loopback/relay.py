"""A TCP relay between two controllers on loopback that can be cut, delay data or drop connections.

Delays and drops are drawn from a seeded generator. Data that is sent while the relay is cut is held back, as
by a packet filter. Times are seconds of real time.
"""

from __future__ import annotations

import asyncio
import contextlib
import random

CHUNK_BYTES = 65536


class Relay:
    """Listens on one address and forwards bytes to another, in both directions, unless it is cut."""

    def __init__(self, target: str, rng: random.Random) -> None:
        self._rng = rng
        self.delay_s = 0.0  # upper bound of the additional delay of a chunk
        self.drop_fraction = 0.0  # fraction of the chunks that abort the connection
        host, _, port = target.partition(":")
        self._host, self._port = host, int(port)
        self._open = asyncio.Event()
        self._open.set()
        self._tasks: set[asyncio.Task] = set()

    async def listen(self, address: str) -> asyncio.Server:
        """Start to accept connections at an address."""
        host, _, port = address.partition(":")
        return await asyncio.start_server(self._serve, host, int(port))

    def cut(self) -> None:
        """Hold back all data that is sent from now on."""
        self._open.clear()

    def heal(self) -> None:
        """Forward the data that was held back, and all data that follows."""
        self._open.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self._open.wait()
        try:
            target_reader, target_writer = await asyncio.open_connection(self._host, self._port)
        except OSError:
            writer.close()
            return
        with contextlib.suppress(OSError):
            await asyncio.gather(self._forward(reader, target_writer), self._forward(target_reader, writer))
        writer.close()
        target_writer.close()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(CHUNK_BYTES):
            await self._open.wait()
            if self._rng.random() < self.drop_fraction:
                writer.transport.abort()
                raise ConnectionResetError
            if self.delay_s:
                await asyncio.sleep(self._rng.uniform(0.0, self.delay_s))
            writer.write(data)
            await writer.drain()
        writer.close()
