"""Operations on ranges are equivalent to operations on sets of numbers."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverplank.jobs import ranges

NUMBERS = st.sets(st.integers(0, 60))


@given(NUMBERS, NUMBERS, st.integers(0, 70))
def test_operations_give_the_results_of_set_operations(one: set[int], other: set[int], limit: int) -> None:
    a, b = ranges.from_numbers(one), ranges.from_numbers(other)
    assert set(ranges.numbers(a)) == one
    assert ranges.count(a) == len(one)
    assert ranges.union(a, b) == ranges.from_numbers(one | other)
    assert ranges.without(a, b) == ranges.from_numbers(one - other)
    assert all(ranges.contains(a, number) == (number in one) for number in range(62))
    taken, rest = ranges.take(a, limit)
    assert taken == ranges.from_numbers(sorted(one)[:limit])
    assert rest == ranges.from_numbers(sorted(one)[limit:])


@given(st.lists(NUMBERS, max_size=6))
def test_union_takes_any_number_of_sets(sets: list[set[int]]) -> None:
    assert ranges.union(*map(ranges.from_numbers, sets)) == ranges.from_numbers(set().union(*sets))


@pytest.mark.parametrize(
    ("numbers", "expected"),
    [
        pytest.param([], [], id="none"),
        pytest.param([3], [3, 3], id="one number"),
        pytest.param([5, 4, 3], [3, 5], id="adjacent numbers"),
        pytest.param([1, 2, 4], [1, 2, 4, 4], id="a gap"),
    ],
)
def test_adjacent_numbers_are_one_range(numbers: list[int], expected: ranges.Ranges) -> None:
    assert ranges.from_numbers(numbers) == expected
