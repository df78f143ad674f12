"""Background asyncio tasks, and waiting for an event with a timeout."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine, Iterator
from typing import Any

log = logging.getLogger(__name__)


async def wait_for_event(event: asyncio.Event, timeout_s: float) -> None:
    """Wait until the event is set, for at most `timeout_s` seconds."""
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        pass


class BackgroundTasks:
    """Holds a strong reference to each task until it ends, and logs the exception of every task that fails.

    The log is needed because a background task is usually not awaited, so its exception would go unnoticed.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def __iter__(self) -> Iterator[asyncio.Task[None]]:
        return iter(self._tasks)

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start the coroutine as a task and return the task."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def cancel(self) -> None:
        """Request cancellation of every task that has not ended."""
        for task in self._tasks:
            task.cancel()

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("background task failed: %r", task, exc_info=task.exception())
