"""HTTP server: bounded bodies, a bounded number of connections, and time-outs for slow clients."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from functools import lru_cache
from http import HTTPStatus

import h11

from cloverplank.load_meter import LoadMeter, NoMeter, Part
from cloverplank.net.messages import Handler, Request, Response, make_response
from cloverplank.net.sockets import FrontSockets
from cloverplank.wire.codec import MAX_BODY_BYTES
from cloverplank.wire.users import ErrorResponse

log = logging.getLogger(__name__)

REQUEST_TIMEOUT_S = 5.0  # from the first byte of a request to its last
IDLE_TIMEOUT_S = 30.0  # users send a request every few seconds, workers more often
CROWDED_IDLE_TIMEOUT_S = 6.0
SWEEP_INTERVAL_S = 1.0
READ_BYTES = 64 * 1024
MAX_LENGTH_DIGITS = 9  # a Content-Length with more digits is refused without being parsed
CACHED_HEADS = 1024
BACKLOG = 256
CLOSE_HEADER = ("Connection", "close")


class _ServerConnection:
    """A connection, and the deadline of its current read or write.

    A periodic check of the deadlines of all connections costs less than a timer for each request.
    """

    __slots__ = ("deadline", "is_sending", "reader", "timed_out", "writer")

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.deadline: float | None = None  # None while a request is being handled
        self.is_sending = False
        self.timed_out = False

    def expire(self) -> None:
        """Abort the response that is being sent, or end the pending read."""
        self.timed_out = True
        if self.is_sending:
            self.writer.transport.abort()
        else:
            self.reader.feed_eof()


class Server:
    """Serves requests on one address.

    At most `limit` connections are open. `sockets` is given where this server shares its sockets with other parts of
    the process: it then closes each connection after a response while sockets are scarce.
    """

    def __init__(
        self,
        name: str,
        handler: Handler,
        limit: int,
        *,
        sockets: FrontSockets | None = None,
        meter: LoadMeter | None = None,
    ) -> None:
        self._name = name
        self._handler = handler
        self._limit = limit
        self._sockets = sockets
        self._connections: set[_ServerConnection] = set()
        self._is_sweeping = False
        self._meter = meter or NoMeter()

    async def start(self, host: str, port: int) -> asyncio.Server:
        """Start to listen. Raises OSError where the address can't be used."""
        return await asyncio.start_server(self._serve, host, port, backlog=BACKLOG, limit=MAX_BODY_BYTES * 2)

    def _sweep(self) -> None:
        """Expire connections that are past their deadlines; idle ones earlier while sockets are scarce."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        crowded = self._sockets is not None and self._sockets.crowded()
        for connection in list(self._connections):
            if connection.deadline is None or connection.timed_out:
                continue
            is_idle = connection.deadline - now > REQUEST_TIMEOUT_S
            earlier_s = IDLE_TIMEOUT_S - CROWDED_IDLE_TIMEOUT_S if crowded and is_idle else 0.0
            if now >= connection.deadline - earlier_s:
                connection.expire()
        self._is_sweeping = bool(self._connections)
        if self._is_sweeping:
            loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._connections) >= self._limit:
            writer.close()
            return
        connection = _ServerConnection(reader, writer)
        self._connections.add(connection)
        if self._sockets is not None:
            self._sockets.opened()
        if not self._is_sweeping:
            self._is_sweeping = True
            asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep)
        try:
            await self._meter.metered(Part.HTTP, self._serve_requests(connection))
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        except Exception:
            # An error in one connection must not end the others.
            log.exception("%s: connection failed", self._name)
        finally:
            self._connections.discard(connection)
            if self._sockets is not None:
                self._sockets.closed()
            # The transport may be in any state, and a failure to close it needs no handling.
            with contextlib.suppress(Exception):
                writer.close()

    async def _serve_requests(self, connection: _ServerConnection) -> None:
        protocol = h11.Connection(h11.SERVER)
        has_data = False  # whether bytes of the next request arrived with the previous one
        while True:
            try:
                received = await self._receive(protocol, connection, has_data=has_data)
            except h11.RemoteProtocolError as err:
                if connection.timed_out:
                    return
                received = _closing_response(err.error_status_hint, "malformed request")
            if received is None:
                return
            response = await self._handle(received) if isinstance(received, Request) else received
            if self._sockets is not None and self._sockets.crowded():
                response.close = True
            await self._send(protocol, connection, response)
            if protocol.our_state is not h11.DONE or protocol.their_state is not h11.DONE:
                return
            protocol.start_next_cycle()
            has_data = bool(protocol.trailing_data[0])

    async def _handle(self, request: Request) -> Response:
        try:
            return await self._handler(request)
        except Exception:
            # An error in one request must not end the connection, or the process.
            log.exception("%s: %s %s failed", self._name, request.method, request.path)
            return make_response(503, ErrorResponse("internal"), Retry_After="1")

    async def _receive(
        self, protocol: h11.Connection, connection: _ServerConnection, *, has_data: bool
    ) -> Request | Response | None:
        """Return the next request, the response to one that is refused, or None where the connection has ended.

        Raises h11.RemoteProtocolError for a malformed request.
        """
        head: h11.Request | None = None
        chunks: list[bytes] = []
        size = 0
        loop = asyncio.get_running_loop()
        connection.deadline = loop.time() + (REQUEST_TIMEOUT_S if has_data else IDLE_TIMEOUT_S)
        has_begun = has_data
        event = protocol.next_event() if has_data else h11.NEED_DATA
        while not isinstance(event, h11.EndOfMessage):
            if event is h11.NEED_DATA:
                if head is not None and protocol.they_are_waiting_for_100_continue:
                    return _closing_response(417, "send the body without Expect")
                data = await connection.reader.read(READ_BYTES)
                if connection.timed_out:
                    return None
                if not has_begun:
                    has_begun = True
                    connection.deadline = loop.time() + REQUEST_TIMEOUT_S
                protocol.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
                if _declares_too_large_body(head):
                    return _too_large()
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > MAX_BODY_BYTES:
                    return _too_large()
                chunks.append(bytes(event.data))
            else:
                return None
            event = protocol.next_event()
        assert head is not None
        connection.deadline = None
        path, _, query = head.target.decode("latin-1").partition("?")
        body = chunks[0] if len(chunks) == 1 else b"".join(chunks)
        return Request(head.method.decode("latin-1"), path, body, query)

    async def _send(self, protocol: h11.Connection, connection: _ServerConnection, response: Response) -> None:
        headers = tuple(response.headers.items())
        if response.close:
            headers += (CLOSE_HEADER,)
        try:
            data = protocol.send(_head(response.status, len(response.body), headers))
            if response.body:
                data += protocol.send(h11.Data(data=response.body))
            data += protocol.send(h11.EndOfMessage()) or b""
        except h11.LocalProtocolError:
            return  # the connection's state no longer allows a response
        if connection.writer.is_closing():
            raise ConnectionResetError
        connection.writer.write(data)
        connection.deadline = asyncio.get_running_loop().time() + REQUEST_TIMEOUT_S
        connection.is_sending = True
        await connection.writer.drain()
        connection.is_sending = False


@lru_cache(maxsize=CACHED_HEADS)
def _head(status: int, size: int, extra_headers: tuple[tuple[str, str], ...]) -> h11.Response:
    """Return the head of a response. Cached, since most responses are alike and h11 checks each head that it makes."""
    headers = [("Content-Length", str(size))]
    if size:
        headers.append(("Content-Type", "application/msgpack"))
    headers += extra_headers
    try:
        reason = HTTPStatus(status).phrase
    except ValueError:
        reason = ""
    return h11.Response(status_code=status, headers=headers, reason=reason.encode())


def _declares_too_large_body(head: h11.Request) -> bool:
    for name, value in head.headers:
        if name == b"content-length" and (len(value) > MAX_LENGTH_DIGITS or int(value) > MAX_BODY_BYTES):
            return True
    return False


def _closing_response(status: int, error: str) -> Response:
    response = make_response(status, ErrorResponse(error))
    response.close = True
    return response


def _too_large() -> Response:
    return _closing_response(400, "body over 64 KiB")
