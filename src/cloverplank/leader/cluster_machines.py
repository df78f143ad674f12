"""The machines that the leader schedules on: the registry, the draining machines and the machine types."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from cloverplank.autoscaling.draining import DrainingMachines
from cloverplank.autoscaling.registry import ASSIGNABLE_HEALTH, STATE_FAILED, MachineEntry, MachineRegistry
from cloverplank.wire.cloud import MachineType


class ClusterMachines(Struct, frozen=True):
    """All machines of the cluster; `types` returns the machine types by name."""

    registry: MachineRegistry
    draining: DrainingMachines
    types: Callable[[], dict[str, MachineType]]

    def is_assignable(self, entry: MachineEntry) -> bool:
        """Return whether the machine may be assigned new tasks, now or once it is up."""
        if entry.id in self.draining or entry.termination_announced or entry.state == STATE_FAILED:
            return False
        return entry.health in ASSIGNABLE_HEALTH
