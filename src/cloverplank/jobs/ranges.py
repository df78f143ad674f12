"""Sets of task numbers as sorted, disjoint, non-adjacent closed ranges: [first, last, first, last, ...]."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Iterator
from itertools import chain

Ranges = list[int]

SINGLE_RANGE_LENGTH = 2  # list length of a set that consists of one range


def from_numbers(numbers: Iterable[int]) -> Ranges:
    """Return the ranges that contain exactly these numbers."""
    result: Ranges = []
    for number in sorted(set(numbers)):
        if result and result[-1] == number - 1:
            result[-1] = number
        else:
            result += (number, number)
    return result


def count(ranges: Ranges) -> int:
    """Return how many numbers the ranges contain."""
    if len(ranges) == SINGLE_RANGE_LENGTH:  # the common case: the tasks of a job on one machine
        return ranges[1] - ranges[0] + 1
    return sum(ranges[1::2]) - sum(ranges[::2]) + len(ranges) // 2


def pairs(ranges: Ranges) -> Iterator[tuple[int, int]]:
    """Yield the first and the last number of each range."""
    return zip(ranges[::2], ranges[1::2], strict=True)


def text(ranges: Ranges) -> str:
    """Return the ranges as text for log lines, such as `0-3,7`."""
    return ",".join(str(first) if first == last else f"{first}-{last}" for first, last in pairs(ranges))


def numbers(ranges: Ranges) -> Iterator[int]:
    """Yield all numbers in ascending order."""
    for first, last in pairs(ranges):
        yield from range(first, last + 1)


def contains(ranges: Ranges, number: int) -> bool:
    """Return whether the number is in one of the ranges."""
    position = bisect_right(ranges, number)
    # An odd position is inside a range; an even one only if the number is the end of the range before it.
    return position % 2 == 1 or (position > 0 and ranges[position - 1] == number)


def union(*sets: Ranges) -> Ranges:
    """Return the numbers that are in at least one of the sets."""
    filled = [ranges for ranges in sets if ranges]
    if len(filled) <= 1:
        return list(filled[0]) if filled else []
    result: Ranges = []
    for first, last in sorted(chain.from_iterable(map(pairs, filled))):
        if result and first <= result[-1] + 1:
            result[-1] = max(result[-1], last)
        else:
            result += (first, last)
    return result


def without(ranges: Ranges, removed: Ranges) -> Ranges:
    """Return the numbers of `ranges` that are not in `removed`."""
    if not removed:
        return list(ranges)
    result: Ranges = []
    cuts = list(pairs(removed))
    next_cut = 0
    for first, last in pairs(ranges):
        while next_cut < len(cuts) and cuts[next_cut][1] < first:
            next_cut += 1
        start = first
        cut = next_cut
        while cut < len(cuts) and cuts[cut][0] <= last:
            cut_first, cut_last = cuts[cut]
            if cut_first > start:
                result += (start, cut_first - 1)
            start = cut_last + 1
            cut += 1
        if start <= last:
            result += (start, last)
    return result


def take(ranges: Ranges, limit: int) -> tuple[Ranges, Ranges]:
    """Return the lowest numbers, at most `limit` of them, and the remaining numbers."""
    taken: Ranges = []
    rest: Ranges = []
    for first, last in pairs(ranges):
        if limit <= 0:
            rest += (first, last)
            continue
        length = min(limit, last - first + 1)
        taken += (first, first + length - 1)
        if first + length <= last:
            rest += (first + length, last)
        limit -= length
    return taken, rest
