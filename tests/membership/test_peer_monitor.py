"""Tests of the suspicion level of one peer, with generated gossip intervals."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cloverplank.basic_types import MonotonicTime
from cloverplank.membership.interval_estimator import MAX_SAMPLES_PER_SKETCH, IntervalEstimator
from cloverplank.membership.peer_monitor import MIN_GOSSIP_INTERVAL_S, RESPONSE_FRESH_S, PeerMonitor

SUSPECT_LEVEL = 1.5


@given(st.lists(st.floats(0.8, 1.4), min_size=10, max_size=300))
def test_peer_with_usual_intervals_is_never_suspected(intervals: list[float]) -> None:
    now = 0.0
    monitor = PeerMonitor()
    monitor.record_message(MonotonicTime(now), 1)
    for interval_s in intervals:
        assert monitor.level(MonotonicTime(now + interval_s - 0.001)) < SUSPECT_LEVEL
        now += interval_s
        monitor.record_message(MonotonicTime(now), 1)


@given(st.lists(st.floats(0.9, 3.0), min_size=20, max_size=60), st.floats(5.0, 60.0))
def test_silence_raises_the_level_and_any_sign_of_life_resets_it(intervals: list[float], silence: float) -> None:
    now = 0.0
    monitor = PeerMonitor()
    for interval_s in intervals:
        now += interval_s
        monitor.record_message(MonotonicTime(now), 1)
    late = MonotonicTime(now + silence)
    assert monitor.level(late) >= min(SUSPECT_LEVEL, silence / 3.1)
    monitor.record_request(late, answered=True)
    assert monitor.level(late) == 0.0
    assert monitor.level(MonotonicTime(late + RESPONSE_FRESH_S + 0.1)) > 0.0
    monitor.record_message(late, 2)
    assert monitor.level(late) == 0.0


def test_own_lag_is_compensated() -> None:
    monitor = PeerMonitor()
    monitor.record_message(MonotonicTime(10.0), 1)
    monitor.record_request(MonotonicTime(10.5), answered=False)
    monitor.compensate_lag(6.0)
    assert monitor.level(MonotonicTime(16.5)) <= 0.5 / MIN_GOSSIP_INTERVAL_S
    assert not monitor.is_unresponsive()


def test_message_of_an_earlier_incarnation_is_ignored() -> None:
    monitor = PeerMonitor()
    monitor.record_message(MonotonicTime(1.0), 7)
    monitor.record_message(MonotonicTime(9.0), 6)
    assert monitor.level(MonotonicTime(9.0)) > SUSPECT_LEVEL


def test_old_intervals_are_forgotten() -> None:
    intervals = IntervalEstimator(1.2)
    for _ in range(MAX_SAMPLES_PER_SKETCH):
        intervals.add(9.0)
    assert intervals.expected_s() > 8.0
    for _ in range(2 * MAX_SAMPLES_PER_SKETCH + 1):
        intervals.add(1.0)
    assert intervals.expected_s() < 1.1
