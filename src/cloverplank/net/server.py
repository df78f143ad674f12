"""HTTP server: bounded bodies, bounded connections, no slow client holds anything up."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from http import HTTPStatus

import h11

from cloverplank.wire.codec import MAX_BODY
from cloverplank.wire.users import ErrorAnswer

from .messages import Handler, Request, Response, answer

log = logging.getLogger("cloverplank.net")

REQUEST_S = 5.0  # from the first byte of a request to its last
IDLE_S = 30.0  # users ask every few seconds, workers more often: what is silent for longer is gone


class Server:
    def __init__(self, name: str, handler: Handler, limit: int) -> None:
        self._name = name
        self._handler = handler
        self._limit = limit
        self._open = 0

    async def start(self, host: str, port: int) -> asyncio.Server:
        return await asyncio.start_server(self._serve, host, port, backlog=256, limit=MAX_BODY * 2)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._open >= self._limit:
            writer.close()
            return
        self._open += 1
        try:
            await self._requests(reader, writer)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        except Exception:
            log.exception("%s: connection failed", self._name)
        finally:
            self._open -= 1
            with contextlib.suppress(Exception):
                writer.close()

    async def _requests(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = h11.Connection(h11.SERVER)
        while True:
            try:
                request, response = await self._receive(connection, reader)
                if request is None and response is None:
                    return
            except h11.RemoteProtocolError as err:
                request, response = None, answer(err.error_status_hint, ErrorAnswer("malformed request"))
                response.close = True
            if response is None and request is not None:
                response = await self._handle(request)
            assert response is not None
            await self._send(connection, writer, response)
            if connection.our_state is not h11.DONE or connection.their_state is not h11.DONE:
                return
            connection.start_next_cycle()

    async def _handle(self, request: Request) -> Response:
        try:
            return await self._handler(request)
        except Exception:
            # One request that meets a fault of ours must not take the process with it.
            log.exception("%s: %s %s failed", self._name, request.method, request.path)
            return answer(503, ErrorAnswer("internal"), Retry_After="1")

    async def _receive(
        self, connection: h11.Connection, reader: asyncio.StreamReader
    ) -> tuple[Request | None, Response | None]:
        head: h11.Request | None = None
        chunks: list[bytes] = []
        size = 0
        loop = asyncio.get_running_loop()
        deadline = loop.time() + IDLE_S
        started = False
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                if connection.they_are_waiting_for_100_continue and head is not None:
                    return None, _too_large_or_continue()
                async with asyncio.timeout_at(deadline):
                    data = await reader.read(65536)
                if data and not started:
                    started = True
                    deadline = loop.time() + REQUEST_S
                connection.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
                for name, value in event.headers:
                    if name == b"content-length" and (len(value) > 9 or int(value) > MAX_BODY):
                        return None, _too_large()
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > MAX_BODY:
                    return None, _too_large()
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                path, _, query = head.target.decode("latin-1").partition("?")
                return Request(head.method.decode("latin-1"), path, b"".join(chunks), query), None
            else:
                return None, None

    async def _send(self, connection: h11.Connection, writer: asyncio.StreamWriter, response: Response) -> None:
        headers = [("Content-Length", str(len(response.body)))]
        if response.body:
            headers.append(("Content-Type", "application/msgpack"))
        headers += response.headers.items()
        if response.close:
            headers.append(("Connection", "close"))
        try:
            reason = HTTPStatus(response.status).phrase
        except ValueError:
            reason = ""
        try:
            data = connection.send(
                h11.Response(status_code=response.status, headers=headers, reason=reason.encode())
            )
            if response.body:
                data += connection.send(h11.Data(data=response.body))
            data += connection.send(h11.EndOfMessage()) or b""
        except h11.LocalProtocolError:
            return
        writer.write(data)
        async with asyncio.timeout(REQUEST_S):
            await writer.drain()


def _too_large() -> Response:
    response = answer(400, ErrorAnswer("body over 64 KiB"))
    response.close = True
    return response


def _too_large_or_continue() -> Response:
    # Nobody in the protocol asks for "100 Continue"; who does is told to go ahead another way.
    response = answer(417, ErrorAnswer("send the body without Expect"))
    response.close = True
    return response
