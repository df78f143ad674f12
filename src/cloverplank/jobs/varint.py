"""Variable-length integers: seven bits per byte, with the highest bit set if another byte follows."""

from __future__ import annotations

from collections.abc import Iterator

MAX_BYTE_VALUE = 0x7F
CONTINUATION_BIT = 0x80
BITS_PER_BYTE = 7


def write_unsigned(out: bytearray, number: int) -> None:
    """Append a non-negative number."""
    while number > MAX_BYTE_VALUE:
        out.append(number & MAX_BYTE_VALUE | CONTINUATION_BIT)
        number >>= BITS_PER_BYTE
    out.append(number)


def write_signed(out: bytearray, number: int) -> None:
    """Append a number of either sign, with the sign in the lowest bit."""
    write_unsigned(out, number << 1 if number >= 0 else (-number << 1) - 1)


def read_unsigned(data: Iterator[int], first_byte: int | None = None) -> int:
    """Read a number written by `write_unsigned`. Raises StopIteration if bytes are missing.

    `first_byte`: the first byte of the number if the caller has already read it from `data`.
    """
    byte = next(data) if first_byte is None else first_byte
    number, shift = byte & MAX_BYTE_VALUE, BITS_PER_BYTE
    while byte & CONTINUATION_BIT:
        byte = next(data)
        number |= (byte & MAX_BYTE_VALUE) << shift
        shift += BITS_PER_BYTE
    return number


def read_signed(data: Iterator[int]) -> int:
    """Read a number written by `write_signed`. Raises StopIteration if bytes are missing."""
    number = read_unsigned(data)
    return -((number + 1) >> 1) if number & 1 else number >> 1
