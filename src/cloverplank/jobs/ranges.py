"""Sets of task numbers as sorted, disjoint, non-adjacent closed ranges: [first, last, first, last, ...]."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Iterator
from itertools import chain

Ranges = list[int]


def from_numbers(numbers: Iterable[int]) -> Ranges:
    result: Ranges = []
    for number in sorted(set(numbers)):
        if result and result[-1] == number - 1:
            result[-1] = number
        else:
            result += (number, number)
    return result


def count(ranges: Ranges) -> int:
    """How many numbers there are."""
    if len(ranges) == 2:  # most sets are one range: what a machine has of a job
        return ranges[1] - ranges[0] + 1
    return sum(ranges[1::2]) - sum(ranges[::2]) + len(ranges) // 2


def pairs(ranges: Ranges) -> Iterator[tuple[int, int]]:
    return zip(ranges[::2], ranges[1::2], strict=True)


def numbers(ranges: Ranges) -> Iterator[int]:
    for first, last in pairs(ranges):
        yield from range(first, last + 1)


def contains(ranges: Ranges, number: int) -> bool:
    at = bisect_right(ranges, number)
    # An odd place lies inside a range; an even one only if it is the end just passed.
    return at % 2 == 1 or (at > 0 and ranges[at - 1] == number)


def union(*sets: Ranges) -> Ranges:
    """All numbers that are in one of the sets."""
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


def without(ranges: Ranges, taken: Ranges) -> Ranges:
    if not taken:
        return list(ranges)
    result: Ranges = []
    cuts = list(pairs(taken))
    at = 0
    for first, last in pairs(ranges):
        while at < len(cuts) and cuts[at][1] < first:
            at += 1
        here = at
        while here < len(cuts) and cuts[here][0] <= last:
            low, high = cuts[here]
            if low > first:
                result += (first, low - 1)
            first = high + 1
            here += 1
        if first <= last:
            result += (first, last)
    return result


def take(ranges: Ranges, most: int) -> tuple[Ranges, Ranges]:
    """The first `most` numbers, and the rest."""
    taken: Ranges = []
    rest: Ranges = []
    for first, last in pairs(ranges):
        if most <= 0:
            rest += (first, last)
            continue
        length = min(most, last - first + 1)
        taken += (first, first + length - 1)
        if first + length <= last:
            rest += (first + length, last)
        most -= length
    return taken, rest
