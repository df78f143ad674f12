"""Requests, responses and errors of the HTTP layer."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Protocol

from msgspec import Struct, field

from cloverplank.errors import CloverplankError
from cloverplank.wire.codec import MessageDecodeError, encode
from cloverplank.wire.users import ErrorResponse

MAX_ERROR_CHARACTERS = 200  # limit on a decoder's message in a response


class Request(Struct):
    """A request as the server received it; `query` is the text after the question mark."""

    method: str
    path: str
    body: bytes = b""
    query: str = ""


class Response(Struct):
    """A response to send, or one that was received; `close` ends the connection after it."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    close: bool = False


Handler = Callable[[Request], Awaitable[Response]]


class NoResponseError(CloverplankError):
    """No response was received: the request may have been carried out, or may still be.

    The fields name the request; they are empty where it is unknown.
    """

    def __init__(self, message: str, *, address: str = "", method: str = "", path: str = "") -> None:
        super().__init__(message)
        self.address = address
        self.method = method
        self.path = path


class RequestNotSentError(NoResponseError):
    """The connection could not be made: the request was not carried out and will not be."""


class NoFreeSocketError(RequestNotSentError):
    """All sockets for requests are in use: the request was not attempted, which does not indicate a failed server."""


class HttpClient(Protocol):
    """Interface through which a controller sends requests; `Client` implements it over sockets."""

    async def request(
        self, addr: str, method: str, path: str, body: bytes | None = None, timeout: float = 2.0
    ) -> Response:
        """Send a request to `addr` (IPv4 address and port). Raises NoResponseError after `timeout` seconds."""

    def close_idle(self) -> None:
        """Close connections that have been idle for longer than the idle time-out."""


def make_response(status: int, value: object = None, **headers: str) -> Response:
    """Return a response with an encoded value; an underscore in a header's name stands for a hyphen."""
    named = {name.replace("_", "-"): text for name, text in headers.items()}
    return Response(status, b"" if value is None else encode(value), named)


def not_found() -> Response:
    """Return the response to a request for an unknown path."""
    return make_response(HTTPStatus.NOT_FOUND, ErrorResponse("no such path"))


def method_not_allowed(allowed: str) -> Response:
    """Return the response to a request whose method is not `allowed`, the only one of its path."""
    return make_response(HTTPStatus.METHOD_NOT_ALLOWED, ErrorResponse(f"{allowed} only"), Allow=allowed)


def bad_request(err: MessageDecodeError) -> Response:
    """Return the response to a request whose body is not the expected message."""
    return make_response(HTTPStatus.BAD_REQUEST, ErrorResponse(str(err)[:MAX_ERROR_CHARACTERS]))
