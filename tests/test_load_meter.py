"""The load meter: processor time is charged to the part that runs, across coroutines and tasks."""

from __future__ import annotations

import asyncio

import pytest

from cloverplank.load_meter import LoadMeter, NoMeter, Part
from tests.simulation.loop import run


class ProcessorClock:
    """A processor clock that advances only in `work`."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now

    def work(self, seconds: float) -> None:
        self.now += seconds


def test_nested_sections_charge_the_innermost_part() -> None:
    clock = ProcessorClock()
    meter = LoadMeter(clock)
    with meter.section(Part.CYCLE):
        clock.work(1.0)
        with meter.section(Part.CONSOLIDATION):
            clock.work(2.0)
        clock.work(4.0)
    clock.work(8.0)
    sample = meter.take()
    assert sample.seconds[Part.CYCLE] == 5.0
    assert sample.seconds[Part.CONSOLIDATION] == 2.0
    assert sample.seconds[Part.OTHER] == 8.0
    assert sample.entries[Part.CONSOLIDATION] == 1


def test_interleaved_coroutines_are_charged_step_by_step() -> None:
    """Guards against charging the work of one coroutine to another one that is suspended meanwhile."""
    clock = ProcessorClock()
    meter = LoadMeter(clock)

    async def steps(seconds: float) -> float:
        for _ in range(3):
            clock.work(seconds)
            await asyncio.sleep(0.1)
        return seconds

    async def both() -> list[float]:
        return await asyncio.gather(meter.metered(Part.USERS, steps(1.0)), meter.metered(Part.HEARTBEATS, steps(10.0)))

    assert run(both()) == [1.0, 10.0]
    sample = meter.take()
    assert sample.seconds[Part.USERS] == 3.0
    assert sample.seconds[Part.HEARTBEATS] == 30.0


def test_task_is_charged_to_the_part_that_created_it() -> None:
    clock = ProcessorClock()
    meter = LoadMeter(clock)

    async def child() -> None:
        await asyncio.sleep(0.1)
        clock.work(5.0)

    async def parent() -> None:
        await asyncio.ensure_future(child())

    async def main() -> None:
        asyncio.get_running_loop().set_task_factory(meter.task_factory)
        await meter.metered(Part.GOSSIP, parent())

    run(main())
    assert meter.take().seconds[Part.GOSSIP] == 5.0


@pytest.mark.parametrize(
    "meter", [LoadMeter(ProcessorClock()), NoMeter(ProcessorClock())], ids=["load meter", "no meter"]
)
def test_metered_coroutine_passes_errors_and_cancellation_on(meter: LoadMeter) -> None:
    cleaned: list[str] = []

    async def fails() -> None:
        await asyncio.sleep(0.1)
        raise KeyError("lost")

    async def waits() -> None:
        try:
            await asyncio.sleep(1000.0)
        finally:
            cleaned.append("waits")

    async def main() -> None:
        with pytest.raises(KeyError):
            await meter.metered(Part.USERS, fails())
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(1.0):
                await meter.metered(Part.USERS, waits())

    run(main())
    assert cleaned == ["waits"]


def test_longest_lag_of_the_event_loop_is_measured() -> None:
    meter = LoadMeter(ProcessorClock())

    async def main() -> None:
        watch = asyncio.ensure_future(meter.watch_lag())
        await asyncio.sleep(0.1)
        asyncio.get_running_loop().now += 2.0  # something blocked the event loop
        await asyncio.sleep(0.5)
        watch.cancel()

    run(main())
    assert 1.5 < meter.take().max_lag_s < 2.5
    assert meter.max_lag_s == 0.0
