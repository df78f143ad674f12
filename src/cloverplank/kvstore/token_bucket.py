"""A token bucket that keeps requests within the rate limit of a service."""

from __future__ import annotations

from cloverplank.basic_types import Clock

ROUNDING_TOLERANCE = 1e-9  # tokens


class TokenBucket:
    """A bucket that is refilled with `rate` tokens per second.

    Its capacity is the number of tokens refilled in `burst_s` seconds, and at least `min_burst` tokens: a controller
    with a small rate makes few changes, but its users' changes arrive in bursts.
    """

    def __init__(self, rate: float, clock: Clock, burst_s: float = 0.5, min_burst: float = 1.0) -> None:
        self._clock = clock
        self._burst_s = burst_s
        self._min_burst = min_burst
        self.rate = rate
        self.taken = 0.0  # total number of tokens taken since the start
        self._level = rate * burst_s
        self._refilled_at = clock.monotonic()

    def _refill(self) -> None:
        now = self._clock.monotonic()
        capacity = max(self._min_burst, self.rate * self._burst_s)
        self._level = min(capacity, self._level + (now - self._refilled_at) * self.rate)
        self._refilled_at = now

    def take(self, amount: float = 1.0, reserve: float = 0.0) -> bool:
        """Take `amount` tokens if at least `reserve` tokens remain afterwards. Return whether they were taken."""
        self._refill()
        if self._level - amount < reserve - ROUNDING_TOLERANCE:
            return False
        self._level -= amount
        self.taken += amount
        return True

    def take_unconditionally(self, amount: float = 1.0) -> None:
        """Take tokens for a request that can't wait, even if the level becomes negative.

        A negative `amount` returns tokens to the bucket.
        """
        self._refill()
        self._level -= amount
        self.taken += amount

    def seconds_until_available(self, amount: float = 1.0) -> float:
        """Return the seconds until `amount` tokens are available."""
        self._refill()
        return max(0.0, (amount - self._level) / self.rate)

    def drain(self) -> None:
        """Empty the bucket after the service has responded that its rate limit is exceeded."""
        self._refill()
        self._level = min(self._level, 0.0)
