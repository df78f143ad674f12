"""Measurement of the rate of changes that a controller needs to make in the store."""

from __future__ import annotations

from cloverplank.basic_types import Clock
from cloverplank.kvstore.token_bucket import TokenBucket

DEMAND_WINDOW_S = 2.0  # time constant of the average, and the time in which the backlog should be sent
MIN_SAMPLE_S = 0.2  # samples taken sooner return the previous average


class WriteDemandMeter:
    """Moving average of the changes per second that are made and that would be needed to send the backlog."""

    def __init__(self, clock: Clock, change_tokens: TokenBucket) -> None:
        self._clock = clock
        self._change_tokens = change_tokens
        self._average_per_s = 0.0
        self._sampled_at = clock.monotonic()
        self._previously_taken = 0.0

    def sample(self, backlog: int) -> float:
        """Update the average with a backlog of this length and return it, in changes per second."""
        now = self._clock.monotonic()
        taken = self._change_tokens.taken
        elapsed_s = now - self._sampled_at
        if elapsed_s >= MIN_SAMPLE_S:
            per_s = (taken - self._previously_taken) / elapsed_s + backlog / DEMAND_WINDOW_S
            self._average_per_s += (per_s - self._average_per_s) * min(1.0, elapsed_s / DEMAND_WINDOW_S)
            self._sampled_at, self._previously_taken = now, taken
        return self._average_per_s
