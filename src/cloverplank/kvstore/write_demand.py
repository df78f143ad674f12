"""How many changes a second a controller needs."""

from __future__ import annotations

from cloverplank.basic_types import Clock
from cloverplank.kvstore.token_bucket import TokenBucket

DEMAND_WINDOW_S = 2.0
MIN_SAMPLE_S = 0.2


class DemandMeter:
    """A moving average of the changes a second that are made, and that the backlog would take."""

    def __init__(self, clock: Clock, changes: TokenBucket) -> None:
        self._clock = clock
        self._changes = changes
        self._per_s = 0.0
        self._sampled_at = clock.monotonic()
        self._taken_before = 0.0

    def sample(self, backlog: int) -> float:
        """Return the changes a second over the last seconds, for a backlog of this length now."""
        now = self._clock.monotonic()
        taken = self._changes.taken
        passed_s = now - self._sampled_at
        if passed_s >= MIN_SAMPLE_S:
            per_s = (taken - self._taken_before) / passed_s + backlog / DEMAND_WINDOW_S
            self._per_s += (per_s - self._per_s) * min(1.0, passed_s / DEMAND_WINDOW_S)
            self._sampled_at, self._taken_before = now, taken
        return self._per_s
