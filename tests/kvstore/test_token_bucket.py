"""The token bucket from which requests and changes take their tokens."""

from __future__ import annotations

import pytest

from cloverplank.basic_types import Clock
from cloverplank.kvstore.token_bucket import TokenBucket
from tests.kvstore.conftest import ManualClock

RATE = 10.0
BURST = 5.0  # half a second's worth


@pytest.fixture
def bucket(time: ManualClock) -> TokenBucket:
    return TokenBucket(RATE, Clock(time))


def test_full_bucket_gives_a_burst_and_no_more(bucket: TokenBucket) -> None:
    assert bucket.take(BURST)
    assert not bucket.take(0.1)
    assert bucket.taken == BURST


def test_bucket_refills_at_its_rate(bucket: TokenBucket, time: ManualClock) -> None:
    bucket.take(BURST)
    assert bucket.seconds_until_available(2.0) == pytest.approx(2.0 / RATE)
    time.now += 2.0 / RATE
    assert bucket.take(2.0)


def test_bucket_never_holds_more_than_a_burst(bucket: TokenBucket, time: ManualClock) -> None:
    time.now += 3600.0
    assert bucket.take(BURST)
    assert not bucket.take(0.1)


def test_reserve_is_left_in_the_bucket(bucket: TokenBucket) -> None:
    assert not bucket.take(3.0, reserve=3.0)
    assert bucket.take(2.0, reserve=3.0)


def test_forced_tokens_make_later_ones_wait(bucket: TokenBucket) -> None:
    bucket.take_unconditionally(BURST + 1.0)
    assert bucket.seconds_until_available(1.0) == pytest.approx(2.0 / RATE)


def test_drained_bucket_is_empty(bucket: TokenBucket) -> None:
    bucket.drain()
    assert not bucket.take(0.1)


def test_small_rate_keeps_its_minimum_burst(time: ManualClock) -> None:
    bucket = TokenBucket(1.0, Clock(time), min_burst=6.0)
    time.now += 3600.0
    assert bucket.take(6.0)
