"""HTTP client: persistent connections without pipelining, and a time-out for each request."""

from __future__ import annotations

import asyncio
import contextlib
import ipaddress
from functools import lru_cache
from typing import Any, Self

import h11

from cloverplank.net.messages import NoFreeSocketError, NoResponseError, RequestNotSentError, Response
from cloverplank.net.sockets import Sockets

IDLE_TIMEOUT_S = 20.0
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
READ_BYTES = 64 * 1024
CACHED_ADDRESSES = 16_384  # enough for one for each worker
CACHED_HEADS = 4_096  # enough for one for each worker and body size


class _Connection:
    """A connection to a server; `is_reusable` says whether it can carry another request."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_BYTES)
        self.idle_since = 0.0
        self.is_reusable = False

    def is_open(self) -> bool:
        """Return whether the connection is open at both ends; after a reset the reader has no end of file."""
        return not self.reader.at_eof() and not self.writer.is_closing()

    def close(self) -> None:
        """Close the connection, whatever its state."""
        # The transport may be in any state, and a failure to close it needs no handling.
        with contextlib.suppress(Exception):
            self.writer.close()

    async def wait_closed(self) -> None:
        """Wait until the closed connection's socket is released."""
        with contextlib.suppress(Exception):
            await self.writer.wait_closed()

    async def exchange(self, host: str, method: str, path: str, body: bytes | None) -> Response:
        """Send a request and return its response. Raises NoResponseError, OSError or h11.ProtocolError."""
        data = self.h11.send(_head(host, method, path, None if body is None else len(body)))
        if body:
            data += self.h11.send(h11.Data(data=body))
        data += self.h11.send(h11.EndOfMessage()) or b""
        self.writer.write(data)
        status = 0
        chunks: list[bytes] = []
        size = 0
        event: Any = h11.NEED_DATA
        while True:
            if event is h11.NEED_DATA:
                chunk = await self.reader.read(READ_BYTES)
                self.h11.receive_data(chunk)
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > MAX_RESPONSE_BYTES:
                    raise NoResponseError(
                        f"response over {MAX_RESPONSE_BYTES} bytes", address=host, method=method, path=path
                    )
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                raise NoResponseError(
                    "connection closed before the response was complete", address=host, method=method, path=path
                )
            event = self.h11.next_event()
        self.is_reusable = self.h11.our_state is h11.DONE and self.h11.their_state is h11.DONE
        if self.is_reusable:
            self.h11.start_next_cycle()
        return Response(status, chunks[0] if len(chunks) == 1 else b"".join(chunks))


@lru_cache(maxsize=CACHED_HEADS)
def _head(host: str, method: str, path: str, size: int | None) -> h11.Request:
    """Return the head of a request. Cached, since most requests are alike and h11 checks each head that it makes."""
    headers = [("Host", host)]
    if size is not None:
        headers += [("Content-Type", "application/msgpack"), ("Content-Length", str(size))]
    return h11.Request(method=method, target=path, headers=headers)


@lru_cache(maxsize=CACHED_ADDRESSES)
def _host_and_port(addr: str) -> tuple[str, int]:
    """Return host and port of an address. Raises ValueError.

    Workers state their own addresses, so anything but an IPv4 address is refused instead of being resolved.
    """
    host, _, port = addr.rpartition(":")
    return str(ipaddress.IPv4Address(host)), int(port)


class Client:
    """HTTP client with a pool of connections by address.

    The number of open connections is bounded by `limit`, or by `sockets` where it is given. At the bound, idle
    connections to other addresses are closed first. A client is closed at the end of an `async with` block, which must
    run in the same event loop as its requests.
    """

    def __init__(self, limit: int, sockets: Sockets | None = None) -> None:
        self._fixed_limit = limit
        self._sockets = sockets
        self._open_count = 0
        self._idle: dict[str, list[_Connection]] = {}

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    @property
    def _limit(self) -> int:
        return self._fixed_limit if self._sockets is None else self._sockets.client_limit()

    @property
    def _open(self) -> int:
        return self._open_count

    @_open.setter
    def _open(self, value: int) -> None:
        self._open_count = value
        if self._sockets is not None:
            self._sockets.client_open = value

    def _take_idle(self, addr: str) -> _Connection | None:
        now = asyncio.get_running_loop().time()
        pool = self._idle.get(addr, [])
        while pool:
            connection = pool.pop()
            if now - connection.idle_since < IDLE_TIMEOUT_S and connection.is_open():
                return connection
            self._drop(connection)
        return None

    def _drop(self, connection: _Connection) -> None:
        self._open -= 1
        connection.close()

    def trim(self) -> None:
        """Close idle connections until fewer connections than the limit are open, or none is idle."""
        limit = self._limit
        if self._open < limit:
            return
        for pool in self._idle.values():
            while pool and self._open >= limit:
                self._drop(pool.pop(0))

    async def _connect(self, addr: str, method: str, path: str) -> _Connection:
        self.trim()
        if self._open >= self._limit:
            raise NoFreeSocketError("all connections are in use", address=addr, method=method, path=path)
        self._open += 1
        try:
            reader, writer = await asyncio.open_connection(*_host_and_port(addr))
        except BaseException as err:
            self._open -= 1
            if isinstance(err, OSError | ValueError | OverflowError | TimeoutError):
                raise RequestNotSentError(str(err), address=addr, method=method, path=path) from err
            raise
        return _Connection(reader, writer)

    async def request(
        self, addr: str, method: str, path: str, body: bytes | None = None, timeout: float = 2.0
    ) -> Response:
        """Send a request to `addr` (IPv4 address and port) and return its response.

        Raises RequestNotSentError where it was not sent, and NoResponseError where it may have been carried out.
        `timeout` is in seconds.
        """
        connection = None
        try:
            async with asyncio.timeout(timeout):
                connection = self._take_idle(addr)
                if connection is None:
                    connection = await self._connect(addr, method, path)
                response = await connection.exchange(addr, method, path, body)
        except TimeoutError as err:
            if connection is None:
                raise RequestNotSentError(
                    f"no connection within {timeout:g} s", address=addr, method=method, path=path
                ) from err
            self._drop(connection)
            raise NoResponseError(f"no response within {timeout:g} s", address=addr, method=method, path=path) from err
        except (OSError, RuntimeError, h11.ProtocolError, asyncio.IncompleteReadError) as err:
            # uvloop raises RuntimeError for a connection that was reset while it was idle.
            if connection is not None:
                self._drop(connection)
            raise NoResponseError(str(err), address=addr, method=method, path=path) from err
        except BaseException:
            if connection is not None:
                self._drop(connection)
            raise
        if connection.is_reusable:
            connection.idle_since = asyncio.get_running_loop().time()
            self._idle.setdefault(addr, []).append(connection)
        else:
            self._drop(connection)
        return response

    def close_idle(self) -> None:
        """Close connections that have been idle for IDLE_TIMEOUT_S; callers run it periodically."""
        now = asyncio.get_running_loop().time()
        for addr in list(self._idle):
            pool = self._idle[addr]
            for connection in [each for each in pool if now - each.idle_since >= IDLE_TIMEOUT_S]:
                pool.remove(connection)
                self._drop(connection)
            if not pool:
                del self._idle[addr]

    async def close(self) -> None:
        """Close all idle connections, and wait until their sockets are released.

        An event loop that ends with open connections has each of them print a traceback on standard error.
        """
        connections = [connection for pool in self._idle.values() for connection in pool]
        self._idle.clear()
        for connection in connections:
            self._drop(connection)
        await asyncio.gather(*(connection.wait_closed() for connection in connections))
