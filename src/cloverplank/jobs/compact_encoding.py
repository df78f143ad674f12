"""Encoding of runs and done tasks as base64 strings in compact records."""

from __future__ import annotations

import base64
from collections.abc import Iterator

from cloverplank.jobs import ranges
from cloverplank.jobs.ranges import Ranges
from cloverplank.jobs.records import Run
from cloverplank.jobs.varint import read_signed, read_unsigned, write_signed, write_unsigned

DONE_AS_RANGES = 0
DONE_AS_BITMAP = 1
MAX_NAME_DIGITS = 18

NamePattern = tuple[str, int]  # the prefix of all machine names, and the number of digits that follow it


def name_pattern(runs: list[Run]) -> NamePattern | None:
    """Return the pattern that all machine names follow, or None if there is no common one."""
    patterns = set()
    for run in runs:
        prefix = run.machine.rstrip("0123456789")
        digits = run.machine[len(prefix) :]
        if not digits.isascii() or not 0 < len(digits) <= MAX_NAME_DIGITS:
            return None
        patterns.add((prefix, len(digits)))
    if not patterns:
        return "", 0
    return patterns.pop() if len(patterns) == 1 else None


# -- runs: grouped by zone and attempt; machine and task numbers are stored as differences from the previous run


def encode_runs(runs: list[Run], zones: list[str], pattern: NamePattern) -> str:
    """Return the runs in base64. `zones` contains the zones of all runs; `pattern` fits all machine names."""
    out = bytearray()
    last_machine, expected_task = 0, 0
    prefix_length = len(pattern[0])
    for group in _groups(runs):
        write_unsigned(out, zones.index(group[0].zone))
        write_unsigned(out, group[0].attempt)
        write_unsigned(out, len(group))
        for run in group:
            machine = int(run.machine[prefix_length:])
            write_signed(out, machine - last_machine)
            last_machine = machine
            expected_task = _write_ranges(out, run.tasks, expected_task)
    return base64.b64encode(out).decode("ascii")


def decode_runs(text: str, zones: list[str], pattern: NamePattern) -> list[Run]:
    """Decode runs. Raises ValueError, IndexError, StopIteration or binascii.Error if they are malformed."""
    data = iter(base64.b64decode(text, validate=True))
    prefix, digits = pattern
    runs: list[Run] = []
    machine, expected_task = 0, 0
    for first_byte in data:
        zone = zones[read_unsigned(data, first_byte)]
        attempt = read_unsigned(data)
        for _ in range(read_unsigned(data)):
            machine += read_signed(data)
            tasks, expected_task = _read_ranges(data, expected_task)
            runs.append(Run(f"{prefix}{machine:0{digits}d}", zone, attempt, tasks))
    return runs


def _groups(runs: list[Run]) -> Iterator[list[Run]]:
    """Yield the sequences of consecutive runs that have the same zone and attempt."""
    group: list[Run] = []
    for run in runs:
        if group and (group[0].zone, group[0].attempt) != (run.zone, run.attempt):
            yield group
            group = []
        group.append(run)
    if group:
        yield group


def _write_ranges(out: bytearray, tasks: Ranges, expected: int) -> int:
    """Append each range as its distance from `expected` and its length; return the number after the last range.

    `expected` is the number after the previous range. The lowest bit of an encoded length is set if another range
    follows.
    """
    for position in range(0, len(tasks), 2):
        first, last = tasks[position], tasks[position + 1]
        more = position + 2 < len(tasks)
        write_signed(out, first - expected)
        write_unsigned(out, (last - first) << 1 | more)
        expected = last + 1
    return expected


def _read_ranges(data: Iterator[int], expected: int) -> tuple[Ranges, int]:
    tasks: Ranges = []
    more = True
    while more:
        first = expected + read_signed(data)
        length = read_unsigned(data)
        more = bool(length & 1)
        expected = first + (length >> 1) + 1
        tasks += (first, expected - 1)
    return tasks, expected


# -- done tasks: as ranges or as a bitmap, whichever is shorter


def encode_done(done: Ranges) -> str:
    """Return the done tasks in base64, an empty string if there are none."""
    if not done:
        return ""
    as_ranges = bytearray([DONE_AS_RANGES])
    _write_ranges(as_ranges, done, 0)
    bitmap_bytes = done[-1] // 8 + 1
    if 1 + bitmap_bytes < len(as_ranges):
        as_bitmap = bytes([DONE_AS_BITMAP]) + _bitmap(done).to_bytes(bitmap_bytes, "little")
        return base64.b64encode(as_bitmap).decode("ascii")
    return base64.b64encode(as_ranges).decode("ascii")


def _bitmap(done: Ranges) -> int:
    return sum(((1 << (last - first + 1)) - 1) << first for first, last in ranges.pairs(done))


def decode_done(text: str) -> Ranges:
    """Decode the done tasks. Raises StopIteration or binascii.Error if they are malformed."""
    data = base64.b64decode(text, validate=True)
    if not data:
        return []
    if data[0] == DONE_AS_RANGES:
        return _read_ranges(iter(data[1:]), 0)[0]
    bitmap = int.from_bytes(data[1:], "little")
    return ranges.from_numbers(number for number in range(bitmap.bit_length()) if bitmap >> number & 1)
