"""The HTTP layer over in-memory streams, in virtual time."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverplank.net.client import Client, _Connection
from cloverplank.net.messages import (
    NoFreeSocketError,
    NoResponseError,
    Request,
    RequestNotSentError,
    Response,
    make_response,
)
from cloverplank.net.server import Server
from cloverplank.net.sockets import FrontSockets, Sockets
from tests.simulation.loop import run


class RecordingWriter:
    """Collects what is written to a connection."""

    def __init__(self) -> None:
        self.data = b""
        self.closed = False

    def write(self, data: bytes) -> None:
        self.data += data

    async def drain(self) -> None:
        pass

    def close(self) -> None:
        self.closed = True

    def is_closing(self) -> bool:
        return self.closed


async def echo(request: Request) -> Response:
    if request.path == "/fails":
        raise RuntimeError("on purpose")
    return make_response(200, [request.method, request.path, len(request.body)])


def serve_bytes(*parts: bytes, pause: float = 0.0, end: bool = True) -> tuple[bytes, bool, float]:
    """Send parts to a server; return its output, whether it closed the connection, and the elapsed seconds."""

    async def exchange() -> tuple[bytes, bool, float]:
        loop = asyncio.get_running_loop()
        started = loop.time()
        reader, writer = asyncio.StreamReader(), RecordingWriter()
        serving = asyncio.ensure_future(Server("test", echo, 4)._serve(reader, writer))  # type: ignore[arg-type]
        for part in parts:
            reader.feed_data(part)
            await asyncio.sleep(pause)
        if end:
            reader.feed_eof()
        await serving
        return writer.data, writer.closed, loop.time() - started

    return run(exchange())


def post(path: str, body: bytes, *more: str) -> bytes:
    lines = [f"POST {path} HTTP/1.1", "Host: x", f"Content-Length: {len(body)}", *more, "", ""]
    return "\r\n".join(lines).encode() + body


@pytest.fixture(autouse=True)
def no_expected_log_lines(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level("CRITICAL")


def test_connection_persists_after_a_response() -> None:
    data, closed, _ = serve_bytes(post("/a", b"12"), b"GET /b?x=1 HTTP/1.1\r\nHost: x\r\n\r\n")
    assert data.count(b"HTTP/1.1 200") == 2
    assert closed


def test_declared_body_over_the_limit_is_refused_at_once() -> None:
    data, closed, elapsed_s = serve_bytes(b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 70000\r\n\r\n", end=False)
    assert data.startswith(b"HTTP/1.1 400")
    assert closed
    assert elapsed_s < 0.1


def test_chunked_body_over_the_limit_is_refused() -> None:
    chunk = b"8000\r\n" + b"x" * 0x8000 + b"\r\n"
    data, closed, _ = serve_bytes(
        b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk * 3, end=False
    )
    assert data.startswith(b"HTTP/1.1 400")
    assert closed


def test_handler_failure_does_not_end_the_connection() -> None:
    data, _, _ = serve_bytes(post("/fails", b""), post("/a", b""))
    assert data.index(b"HTTP/1.1 503") < data.index(b"HTTP/1.1 200")


def test_stalled_request_times_out() -> None:
    data, closed, elapsed_s = serve_bytes(b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n123", end=False)
    assert data == b""
    assert closed
    assert elapsed_s < 10


@settings(max_examples=80)
@given(
    st.lists(
        st.binary(max_size=60) | st.sampled_from([b"GET / HTTP/1.1\r\n", b"\r\n\r\n", post("/a", b"x")]), max_size=6
    )
)
def test_malformed_input_ends_in_a_response_or_a_close(parts: list[bytes]) -> None:
    data, closed, _ = serve_bytes(*parts)
    assert closed
    assert not data or data.startswith(b"HTTP/1.1 ")


class ResetWriter(RecordingWriter):
    """A writer of a connection that was reset while it was idle, as it behaves with uvloop."""

    def __init__(self, is_known: bool) -> None:
        super().__init__()
        self.is_known = is_known

    def is_closing(self) -> bool:
        return self.is_known

    def write(self, data: bytes) -> None:
        raise RuntimeError("the handler is closed")


@pytest.mark.parametrize("is_known", [True, False], ids=["seen as closing", "seen as open"])
def test_idle_connection_that_was_reset_raises_no_response(is_known: bool) -> None:
    """uvloop raises RuntimeError here; uncaught, it would end the loop that renews the lease, and with it the process."""

    async def play() -> int:
        client = Client(4)
        connection = _Connection(asyncio.StreamReader(), ResetWriter(is_known))  # type: ignore[arg-type]
        connection.idle_since = asyncio.get_running_loop().time()
        client._idle["127.0.0.1:x"] = [connection]
        client._open = 1
        with pytest.raises(NoResponseError):  # a new connection to this address can't be made
            await client.request("127.0.0.1:x", "GET", "/")
        return client._open

    assert run(play()) == 0


def test_error_names_the_request() -> None:
    async def play() -> RequestNotSentError:
        with pytest.raises(RequestNotSentError) as raised:
            await Client(8).request("worker.example:9000", "POST", "/orders", b"x")
        return raised.value

    error = run(play())
    assert error.address == "worker.example:9000"
    assert error.method == "POST"
    assert error.path == "/orders"


def test_request_over_the_connection_limit_is_not_sent() -> None:
    async def play() -> None:
        with pytest.raises(NoFreeSocketError):
            await Client(0).request("127.0.0.1:9000", "GET", "/")

    run(play())


def test_sockets_are_divided_within_their_total() -> None:
    sockets = Sockets(1200)
    assert sockets.front + sockets.client_min + sockets.peers < 1200
    assert sockets.front - sockets.front_free_min > 950  # 900 workers of one shard, and users


def test_client_gives_up_sockets_as_the_front_needs_them() -> None:
    sockets = Sockets(1200)
    trimmed = []
    front = FrontSockets(sockets, trim_client=lambda: trimmed.append(sockets.front_open))
    sockets.client_open = sockets.client_limit()
    for _ in range(sockets.front):
        front.opened()
        assert trimmed or sockets.front_open + sockets.client_open + sockets.peers < 1200
    assert sockets.client_limit() == sockets.client_min
    assert front.crowded()


def test_connection_is_closed_after_a_response_while_sockets_are_crowded() -> None:
    async def play() -> bytes:
        sockets = Sockets(100)
        sockets.front_open = sockets.front
        reader, writer = asyncio.StreamReader(), RecordingWriter()
        reader.feed_data(post("/a", b"12") + post("/a", b"12"))
        await Server("test", echo, 4, sockets=FrontSockets(sockets, lambda: None))._serve(reader, writer)  # type: ignore[arg-type]
        assert sockets.front_open == sockets.front
        return writer.data

    data = run(play())
    assert data.count(b"HTTP/1.1 200") == 1
    assert b"Connection: close" in data


def test_address_that_is_not_ipv4_is_refused() -> None:
    """Workers send their own addresses, so a name must not be resolved."""

    async def play() -> None:
        client = Client(8)
        for addr in ("localhost:80", "worker.example:9000", "", ":1", "10.0.0.1", "10.0.0.1:x", "10.0.0.1:99999999"):
            with pytest.raises(RequestNotSentError):
                await client.request(addr, "GET", "/")
        assert client._open == 0

    run(play())
