"""Fixtures for the tests of the client side of the key-value store."""

from __future__ import annotations

import pytest


class ManualClock:
    """A monotonic clock that advances only when a test sets `now`."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def time() -> ManualClock:
    return ManualClock()
