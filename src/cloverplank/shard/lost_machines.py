"""Lost machines: silent without a probe response. The leader terminates them, which proves that their tasks ended."""

from __future__ import annotations

import logging

from cloverplank.basic_types import MonotonicTime
from cloverplank.shard.machine import Machine
from cloverplank.shard.state import ShardState

log = logging.getLogger(__name__)

# No more machines are marked when this many are lost at the same time: the owner itself may be partitioned.
MIN_LOST_LIMIT = 2
MAX_LOST_FRACTION = 0.6


class LostMachines:
    """Marks machines of one shard as lost."""

    def __init__(self, state: ShardState) -> None:
        self._state = state
        self._changed = False

    def mark(self, machine: Machine, now: MonotonicTime, reason: str) -> None:
        """Mark the machine as lost, unless so many others are lost that the owner itself may be partitioned."""
        machines = self._state.machines
        other_lost = sum(1 for other in machines.values() if other.lost_since is not None and other is not machine)
        if other_lost >= max(MIN_LOST_LIMIT, MAX_LOST_FRACTION * len(machines)):
            return
        if machine.lost_since is None:
            log.info("machine %s: %s", machine.id, reason)
        machine.lost_since = now
        self._changed = True
        self._state.request_cycle()

    def take_changed(self) -> bool:
        """Return whether a machine was marked since the last call."""
        changed, self._changed = self._changed, False
        return changed
