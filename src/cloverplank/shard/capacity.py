"""Free capacity of the machines in a shard that accept new tasks."""

from __future__ import annotations

from cloverplank.scheduling.capacity import EPSILON, CapacityIndex
from cloverplank.scheduling.capacity_cache import CapacityCache
from cloverplank.shard.machine import Health, Machine
from cloverplank.shard.shard_types import TaskState
from cloverplank.shard.state import ShardState


class ShardCapacity:
    """Builds an index of free capacity for one scheduling decision."""

    def __init__(self, state: ShardState) -> None:
        self._state = state
        self._cache = CapacityCache(state.store)

    def index(self, min_cpus: float = 0.0) -> CapacityIndex:
        """Return the free capacity of machines that accept new tasks and have at least `min_cpus` free."""
        state = self._state
        machine_types = state.machine_types()
        restricts_admission = state.plan.restricts_admission(state.zone)
        is_faulty = state.failures.is_faulty
        free_capacities = []
        for machine in state.machines.values():
            machine_type = machine_types.get(machine.type)
            if machine_type is None or machine.health is not Health.UP or machine.terminates_at is not None:
                continue
            if state.store.load(machine.id).cpus + min_cpus > machine_type.cpus + EPSILON:
                continue  # too few free cpus, which is true of most machines under a backlog
            if machine.id in state.draining or is_faulty(machine.id) or machine.id in state.emptying:
                continue
            if restricts_admission and not self._is_reconciled(machine):
                continue
            capacity = self._cache.capacity(
                machine.id, state.zone, machine_type, spot=machine.spot, images=machine.known_images
            )
            capacity.reserved = restricts_admission and not self._is_admitted(machine)
            free_capacities.append(capacity)
        return CapacityIndex(free_capacities, min_cpus, state.plan.may_use_reserved, state.failures.avoided_machines)

    def _is_admitted(self, machine: Machine) -> bool:
        """Return whether a machine in a zone that is recovering from a loss accepts any new tasks."""
        state = self._state
        up_for_s = 0.0 if machine.up_since is None else state.clock.monotonic() - machine.up_since
        return state.plan.admits(state.zone, machine.id, up_for_s)

    def _is_reconciled(self, machine: Machine) -> bool:
        """Return whether all tasks that run on the machine are placed there by the records.

        Stale copies of tasks that were placed elsewhere must end before the capacity that they use counts as free.
        """
        for ref, task in machine.tasks.items():
            view = self._state.store.get(ref.job)
            if task.state != TaskState.ENDED and (view is None or view.record.run_of(ref, machine.id) is None):
                return False
        return True
