"""An event loop with simulated time, which advances to the next timer at once when no callback is ready."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

START_S = 1000.0
CLOCK_RESOLUTION_S = 1e-6  # timers due within this time fire; without it, rounding could stop simulated time


class _Selector(selectors.SelectSelector):
    """Advances the time of the loop to its next timer instead of waiting for sockets."""

    loop: VirtualLoop

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError("simulated event loop has no timer and no ready callback: it would wait forever")
        if timeout > 0:
            self.loop.now += timeout
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop without sockets whose clock is `now`, in seconds; tests may advance it, too."""

    def __init__(self) -> None:
        self.now = START_S
        selector = _Selector()
        super().__init__(selector)
        selector.loop = self
        self._clock_resolution = CLOCK_RESOLUTION_S

    def time(self) -> float:
        """Return the simulated time in seconds."""
        return self.now


def run(work: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to its end in simulated time, then cancel the remaining tasks."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(work)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
