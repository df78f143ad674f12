"""Rate at which capacity is freed without preemption."""

from __future__ import annotations

from cloverplank.basic_types import Clock
from cloverplank.shard.preemption import TurnoverRate


def test_turnover_rate_is_freed_capacity_per_second() -> None:
    """Guards against preempting tasks for capacity that is freed anyway within seconds."""
    now = 100.5
    turnover = TurnoverRate(Clock(lambda: now, lambda: now))
    for _ in range(30):
        turnover.record_freed(4.0)
        now += 0.25
    assert turnover.rate() == 16.0
    now += 20
    assert turnover.rate() == 0.0
