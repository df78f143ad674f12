"""Measures processor time by part of the program, and memory; logged periodically if operators enable it."""

from __future__ import annotations

import asyncio
import logging
import resource
import time
from collections.abc import Callable, Coroutine, Generator, Iterator
from contextlib import AbstractContextManager, contextmanager, nullcontext
from enum import Enum
from typing import Any, NamedTuple, TypeVar

log = logging.getLogger(__name__)

LAG_PROBE_INTERVAL_S = 0.25
MIN_LOGGED_S = 0.005  # a shorter time would be logged as 0.00 s
KIB_PER_MIB = 1024
_NOT_MEASURED = nullcontext()
T = TypeVar("T")


class Part(Enum):
    """Part of the program to which processor time is charged."""

    HTTP = "http"
    HEARTBEATS = "heartbeats"
    USERS = "users"
    GOSSIP = "gossip"
    WATCH = "watch"
    TRANSACTIONS = "transactions"
    COMMANDS = "commands"
    CYCLE = "scheduling cycle"
    LEADER_CYCLE = "leader cycle"
    PLACEMENT = "placement"
    CONSOLIDATION = "consolidation"
    SCALING = "scaling"
    OTHER = "other"


class LoadSample(NamedTuple):
    """Processor seconds and entries by part, and the longest lag of the event loop, within one period."""

    seconds: dict[Part, float]
    entries: dict[Part, int]
    max_lag_s: float


class LoadMeter:
    """Charges processor time to the part that runs. A task is charged to the part that started it."""

    def __init__(self, processor_time: Callable[[], float] = time.process_time) -> None:
        self._processor_time = processor_time
        self._part = Part.OTHER
        self._since = processor_time()
        self.seconds = dict.fromkeys(Part, 0.0)
        self.entries = dict.fromkeys(Part, 0)
        self.max_lag_s = 0.0

    def switch(self, to: Part) -> Part:
        """Charge the time since the last call to the part that ran, and return that part."""
        now = self._processor_time()
        previous = self._part
        self.seconds[previous] += now - self._since
        self._part, self._since = to, now
        return previous

    def section(self, part: Part) -> AbstractContextManager[None]:
        """Return a context in which synchronous work is charged to a part."""
        return self._section(part)

    @contextmanager
    def _section(self, part: Part) -> Iterator[None]:
        previous = self.switch(part)
        self.entries[part] += 1
        try:
            yield
        finally:
            self.switch(previous)

    def metered(self, part: Part, work: Coroutine[Any, Any, T]) -> Coroutine[Any, Any, T]:
        """Return a coroutine that runs `work` and charges each of its steps to a part."""
        self.entries[part] += 1
        return _MeteredCoroutine(self, part, work).run()

    def task_factory(
        self, loop: asyncio.AbstractEventLoop, work: Coroutine[Any, Any, T] | Generator[Any, None, T], **options: Any
    ) -> asyncio.Task[T]:
        """Make tasks that are charged to the part that creates them; for `loop.set_task_factory`."""
        return asyncio.Task(_MeteredCoroutine(self, self._part, work).run(), loop=loop, **options)

    def take(self) -> LoadSample:
        """Return the measurements since the last call, and reset them."""
        self.switch(self._part)
        sample = LoadSample(self.seconds, self.entries, self.max_lag_s)
        self.seconds, self.entries = dict.fromkeys(Part, 0.0), dict.fromkeys(Part, 0)
        self.max_lag_s = 0.0
        return sample

    async def watch_lag(self) -> None:
        """Measure by how much timers of the event loop are late, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due_at = loop.time() + LAG_PROBE_INTERVAL_S
            await asyncio.sleep(LAG_PROBE_INTERVAL_S)
            self.max_lag_s = max(self.max_lag_s, loop.time() - due_at)

    async def report(self, every_s: float, sizes: Callable[[], dict[str, int]]) -> None:
        """Log processor time and memory after each period of `every_s` seconds, until cancelled.

        `sizes` returns the number of entries of each cache by its name.
        """
        while True:
            await asyncio.sleep(every_s)
            sample = self.take()
            spent = ", ".join(
                f"{part.value} {sample.seconds[part]:.2f} ({sample.entries[part]})"
                for part in Part
                if sample.seconds[part] >= MIN_LOGGED_S
            )
            log.info("processor s (entries): %s; longest lag of the event loop %.3f s", spent, sample.max_lag_s)
            caches = ", ".join(f"{name} {size}" for name, size in sizes().items())
            log.info("memory: %.1f MiB at most; %s", peak_memory_mib(), caches)


class NoMeter(LoadMeter):
    """A load meter that measures nothing and adds no overhead."""

    def section(self, part: Part) -> AbstractContextManager[None]:
        """Return a context that does nothing."""
        return _NOT_MEASURED

    def metered(self, part: Part, work: Coroutine[Any, Any, T]) -> Coroutine[Any, Any, T]:
        """Return `work` itself."""
        return work


class _MeteredCoroutine:
    """Drives a coroutine and charges each of its steps to a part."""

    def __init__(
        self, meter: LoadMeter, part: Part, work: Coroutine[Any, Any, Any] | Generator[Any, None, Any]
    ) -> None:
        self._meter = meter
        self._part = part
        self._work = work

    def __await__(self) -> Generator[Any, Any, Any]:
        response: Any = None
        error: BaseException | None = None
        while True:
            previous = self._meter.switch(self._part)
            try:
                awaited = self._work.send(response) if error is None else self._work.throw(error)
            except StopIteration as end:
                return end.value
            finally:
                self._meter.switch(previous)
            response = error = None
            try:
                response = yield awaited
            except GeneratorExit:
                self._work.close()
                raise
            except BaseException as err:  # noqa: BLE001, RUF100 - thrown into the driven coroutine
                error = err

    async def run(self) -> Any:
        """Drive the coroutine to its end and return its result."""
        return await self


def peak_memory_mib() -> float:
    """Return the peak memory of this process (maximum resident set size), in MiB."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / KIB_PER_MIB
