"""The machines that the leader schedules on: which exist, which are drained, and what their types offer."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from cloverplank.autoscaling.draining import DrainingMachines
from cloverplank.autoscaling.registry import ASSIGNABLE_HEALTH, STATE_FAILED, MachineEntry, MachineRegistry
from cloverplank.wire.cloud import MachineType


class ClusterMachines(Struct, frozen=True):
    """What is known of all machines; `types` returns the machine types by name."""

    registry: MachineRegistry
    draining: DrainingMachines
    types: Callable[[], dict[str, MachineType]]

    def is_assignable(self, entry: MachineEntry) -> bool:
        """Return whether the machine may be given new tasks, now or once it is up."""
        if entry.id in self.draining or entry.termination_announced or entry.state == STATE_FAILED:
            return False
        return entry.health in ASSIGNABLE_HEALTH
