"""Scheduling cycles on slow and fast machines; work advances the simulated clock of the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

import pytest

from cloverplank.basic_types import Clock
from cloverplank.controller.scheduling_loop import (
    CYCLE_CORES,
    MAX_CYCLE_FRACTION,
    MIN_CYCLE_FRACTION,
    UNCHANGED_CYCLE_INTERVAL_S,
    SchedulingLoop,
)
from tests.simulation.loop import run

CYCLE_WORK_S = 0.02  # the processor time of a cycle on a whole core
RUN_S = 60.0
STALL_S = 5.0
SLOW_CPU, FAST_CPU, SMALLEST_CPU = 0.216, 0.45, 0.02  # fractions of a core


async def cycle_times(cpu: float, stall_at: int | None = None) -> list[float]:
    """Return the start times of the cycles in a run with constant changes.

    The process stalls for STALL_S after cycle number `stall_at`, counted from 1.
    """
    loop = asyncio.get_running_loop()
    started_at: list[float] = []

    def steps(*, changed: bool) -> Iterator[None]:
        if not changed:
            return
        started_at.append(loop.time())
        for _ in range(2):
            loop.now += CYCLE_WORK_S / 2 / cpu  # type: ignore[attr-defined]
            yield
        if len(started_at) == stall_at:
            loop.now += STALL_S  # type: ignore[attr-defined]

    scheduling_loop = SchedulingLoop(Clock(loop.time, loop.time), cpu, steps)
    loop_task = asyncio.ensure_future(scheduling_loop.run())
    end = loop.time() + RUN_S
    while loop.time() < end:
        scheduling_loop.request()
        await asyncio.sleep(0.01)
    loop_task.cancel()
    return started_at


def test_slow_machine_runs_as_many_cycles_as_a_fast_one() -> None:
    """The processor time for cycles must not shrink with the machine.

    If cycles get a fixed fraction of the time, a third of a core runs only a third of the cycles, and placements wait
    for seconds.
    """
    fast, slow = run(cycle_times(FAST_CPU)), run(cycle_times(SLOW_CPU))
    assert len(slow) == pytest.approx(len(fast), rel=0.05)
    assert len(slow) * CYCLE_WORK_S == pytest.approx(RUN_S * CYCLE_CORES, rel=0.1)


def test_large_machine_gives_cycles_their_minimal_fraction() -> None:
    assert len(run(cycle_times(1.0))) * CYCLE_WORK_S == pytest.approx(RUN_S * MIN_CYCLE_FRACTION, rel=0.1)


def test_cycles_leave_most_of_the_smallest_machine_to_heartbeats() -> None:
    cycles = run(cycle_times(SMALLEST_CPU))
    assert len(cycles) * CYCLE_WORK_S / SMALLEST_CPU <= RUN_S * MAX_CYCLE_FRACTION * 1.1


def test_cycles_missed_in_a_stall_are_not_made_up_for() -> None:
    """After a stall of several seconds, the controller must run one cycle, not all the cycles that it has missed."""
    cycles = run(cycle_times(SLOW_CPU, stall_at=5))
    gaps = [later - earlier for earlier, later in zip(cycles, cycles[1:], strict=False)]
    assert min(gaps) >= CYCLE_WORK_S / SLOW_CPU
    assert max(gaps) >= STALL_S


def test_cycles_without_changes_are_rare() -> None:
    async def count_changed_cycles() -> int:
        loop = asyncio.get_running_loop()
        count = 0

        def steps(*, changed: bool) -> Iterator[None]:
            nonlocal count
            count += changed
            return iter(())

        scheduling_loop = SchedulingLoop(Clock(loop.time, loop.time), SLOW_CPU, steps)
        loop_task = asyncio.ensure_future(scheduling_loop.run())
        await asyncio.sleep(RUN_S)
        loop_task.cancel()
        return count

    assert run(count_changed_cycles()) <= RUN_S / UNCHANGED_CYCLE_INTERVAL_S + 1


def test_failed_cycle_does_not_stop_the_loop() -> None:
    async def count_cycles() -> int:
        loop = asyncio.get_running_loop()
        count = 0

        def steps(*, changed: bool) -> Iterator[None]:
            nonlocal count
            count += 1
            if count == 1:
                raise RuntimeError("injected fault")
            return iter(())

        loop_task = asyncio.ensure_future(SchedulingLoop(Clock(loop.time, loop.time), 1.0, steps).run())
        await asyncio.sleep(2.0)
        loop_task.cancel()
        return count

    assert run(count_cycles()) > 2
