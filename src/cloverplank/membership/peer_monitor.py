"""The suspicion level of one peer, derived from its gossip and its responses to requests."""

from __future__ import annotations

from cloverplank.basic_types import NEVER, MonotonicTime
from cloverplank.membership.interval_estimator import IntervalEstimator

DEFAULT_GOSSIP_INTERVAL_S = 1.2  # expected between gossip messages until enough intervals are measured
MIN_GOSSIP_INTERVAL_S = 1.0  # shorter intervals occur in bursts and don't predict when the next message arrives
RESPONSE_FRESH_S = 1.5  # a response received less than this time ago shows that the peer is alive


class PeerMonitor:
    """Tracks the messages and responses of one peer. All times are read from this controller's monotonic clock."""

    def __init__(self) -> None:
        self._intervals = IntervalEstimator(DEFAULT_GOSSIP_INTERVAL_S)
        self._last_message_at: MonotonicTime | None = None
        self._last_response_at = NEVER
        self._unanswered_since: MonotonicTime | None = None
        self.incarnation = 0

    def record_message(self, now: MonotonicTime, incarnation: int) -> None:
        """Record the arrival of a gossip message. A message of an earlier incarnation is a late copy and is ignored."""
        if incarnation < self.incarnation:
            return
        if self._last_message_at is not None and incarnation == self.incarnation:
            interval_s = now - self._last_message_at
            if interval_s >= MIN_GOSSIP_INTERVAL_S / 2:
                self._intervals.add(interval_s)
        self.incarnation = incarnation
        self._last_message_at = now
        self._unanswered_since = None

    def record_request(self, now: MonotonicTime, *, answered: bool) -> None:
        """Record whether a request to the peer was answered."""
        if answered:
            self._last_response_at = now
            self._unanswered_since = None
        elif self._unanswered_since is None:
            self._unanswered_since = now

    def compensate_lag(self, lag_s: float) -> None:
        """Subtract a pause of this controller from the peer's silence: it received nothing during the pause."""
        if self._last_message_at is not None:
            self._last_message_at = MonotonicTime(self._last_message_at + lag_s)
        self._unanswered_since = None

    def level(self, now: MonotonicTime) -> float:
        """Return the suspicion level: the time since the last gossip message, in units of the estimated interval.

        The level is 0 for a peer that has never sent a message, and after a response within RESPONSE_FRESH_S.
        """
        if self._last_message_at is None:
            return 0.0
        if now - self._last_response_at < RESPONSE_FRESH_S:
            return 0.0
        return (now - self._last_message_at) / max(MIN_GOSSIP_INTERVAL_S, self._intervals.expected_s())

    def is_unresponsive(self) -> bool:
        """Return whether a request got no response, and neither a response nor a message has arrived since."""
        return self._unanswered_since is not None

    def silent_s(self, now: MonotonicTime) -> float:
        """Return the seconds since the last gossip message, 0 for a peer that has never sent one."""
        return 0.0 if self._last_message_at is None else now - self._last_message_at
