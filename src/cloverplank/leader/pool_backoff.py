"""Back-off for machine pools in which the cloud has no capacity."""

from __future__ import annotations

from collections import Counter

from cloverplank.autoscaling.machine_pools import MachinePool
from cloverplank.basic_types import NEVER, Clock, MonotonicTime, Zone


class PoolBackoff:
    """Pauses requests for machines of a pool for `pause_s` seconds after the pool had no capacity."""

    def __init__(self, clock: Clock, pause_s: float) -> None:
        self._clock = clock
        self._pause_s = pause_s
        self._paused_until: dict[MachinePool, MonotonicTime] = {}
        self._refusals: Counter[MachinePool] = Counter()

    def pause(self, pool: MachinePool) -> None:
        """Start the pause of a pool that has no capacity."""
        self._paused_until[pool] = MonotonicTime(self._clock.monotonic() + self._pause_s)
        self._refusals[pool] += 1

    def refusals(self, pool: MachinePool) -> int:
        """Return how many requests the pool has refused, in whole or in part."""
        return self._refusals[pool]

    def is_paused(self, pool: MachinePool) -> bool:
        """Return whether the pool had no capacity recently."""
        return self._clock.monotonic() < self._paused_until.get(pool, NEVER)

    def has_paused_pool(self, zone: Zone) -> bool:
        """Return whether any pool of the zone had no capacity recently."""
        now = self._clock.monotonic()
        return any(pool.zone == zone and now < until for pool, until in self._paused_until.items())
