"""MessagePack codecs shared by all interfaces."""

from __future__ import annotations

import math
from typing import Any, TypeVar

import msgspec

from cloverplank.errors import CloverplankError

MAX_BODY_BYTES = 64 * 1024  # limit in bytes of a request, and of a response to users and workers
T = TypeVar("T")

_encoder = msgspec.msgpack.Encoder()
_decoders: dict[Any, msgspec.msgpack.Decoder[Any]] = {}


class MessageDecodeError(CloverplankError, ValueError):
    """The bytes are not a message of the expected type; the error text names the invalid field, if any."""


def encode(value: Any) -> bytes:
    """Return a value in MessagePack."""
    return _encoder.encode(value)


def decode(data: bytes, message_type: type[T]) -> T:
    """Return the message in `data`. Raises MessageDecodeError."""
    decoder: msgspec.msgpack.Decoder[T] | None = _decoders.get(message_type)
    if decoder is None:
        decoder = _decoders[message_type] = msgspec.msgpack.Decoder(message_type)
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, RecursionError, OverflowError, ValueError) as err:
        raise MessageDecodeError(str(err)) from err


def json_size(value: Any) -> int:
    """Return the size in bytes of a value in JSON, the form in which the protocol measures sizes."""
    return len(msgspec.json.encode(value))


def all_finite(*numbers: float | None) -> bool:
    """Return whether no number is infinite or not a number; None counts as finite."""
    return all(number is None or math.isfinite(number) for number in numbers)
