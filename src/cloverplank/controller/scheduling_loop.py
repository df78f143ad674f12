"""Runs scheduling cycles: after changes, and with a bounded fraction of the processor time."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterator
from typing import Protocol

from cloverplank.background import wait_for_event
from cloverplank.basic_types import NEVER, Clock

log = logging.getLogger(__name__)

MIN_CYCLE_INTERVAL_S = 0.05
IDLE_CYCLE_INTERVAL_S = 0.25
UNCHANGED_CYCLE_INTERVAL_S = 1.0  # between two full cycles without changes; the cycles in between only check time-outs
# The processor time for cycles is a fraction of a whole core, since the work of a cycle does not shrink with the
# machine. It is bounded by fractions of this process's share of a core.
CYCLE_CORES = 0.025
MIN_CYCLE_FRACTION = 0.05
MAX_CYCLE_FRACTION = 0.25  # heartbeats and leases take precedence


class CycleSteps(Protocol):
    """Runs one scheduling cycle in steps, between which requests may be served."""

    def __call__(self, *, changed: bool) -> Iterator[None]:
        """Run the cycle; if `changed` is false, only check time-outs."""


class SchedulingLoop:
    """Runs scheduling cycles periodically. `cpu` is the fraction of a core that is available to this process."""

    def __init__(self, clock: Clock, cpu: float, steps: CycleSteps) -> None:
        self._clock = clock
        self._cycle_fraction = min(MAX_CYCLE_FRACTION, max(MIN_CYCLE_FRACTION, CYCLE_CORES / cpu))
        self._steps = steps
        self._requested = asyncio.Event()

    def request(self) -> None:
        """Request a full cycle without waiting for the next interval."""
        self._requested.set()

    def pause_after(self, took_s: float) -> float:
        """Return the pause in seconds after a cycle whose own work took `took_s` seconds."""
        return max(MIN_CYCLE_INTERVAL_S, took_s * (1 / self._cycle_fraction - 1))

    async def run(self) -> None:
        """Run cycles until the task is cancelled."""
        full_cycle_at = NEVER
        while True:
            await wait_for_event(self._requested, IDLE_CYCLE_INTERVAL_S)
            now = self._clock.monotonic()
            changed = self._requested.is_set() or now - full_cycle_at >= UNCHANGED_CYCLE_INTERVAL_S
            if changed:
                full_cycle_at = now
            self._requested.clear()
            took_s = 0.0
            try:
                took_s = await self._run_cycle(changed=changed)
            except Exception:  # a fault in one cycle must not prevent later ones
                log.exception("scheduling cycle failed")
            await asyncio.sleep(self.pause_after(took_s))

    async def _run_cycle(self, *, changed: bool) -> float:
        """Run one cycle; return the seconds spent in its own work, without the requests served between its steps."""
        took_s = 0.0
        step_started_at = self._clock.monotonic()
        for _ in self._steps(changed=changed):
            took_s += self._clock.monotonic() - step_started_at
            await asyncio.sleep(0)
            step_started_at = self._clock.monotonic()
        return took_s + self._clock.monotonic() - step_started_at
