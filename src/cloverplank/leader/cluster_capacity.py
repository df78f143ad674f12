"""Free capacity of all machines of the cluster, as the leader knows it."""

from __future__ import annotations

from cloverplank.basic_types import Clock, MachineId, Zone
from cloverplank.kvstore import keys
from cloverplank.kvstore.watch_cache import WatchCache
from cloverplank.leader.cluster_machines import ClusterMachines
from cloverplank.records.machines import ProvisioningRecord
from cloverplank.scheduling.capacity import EPSILON, CapacityIndex, FreeCapacity
from cloverplank.scheduling.capacity_cache import CapacityCache, free_capacity_of
from cloverplank.scheduling.failure_history import FailureHistory
from cloverplank.wire.cloud import MachineType
from cloverplank.zones.recovery_plan import RecoveryPlan


class ClusterCapacity:
    """Builds an index of the cluster's free capacity for one scheduling cycle."""

    def __init__(
        self, *, clock: Clock, watch_cache: WatchCache, machines: ClusterMachines, failures: FailureHistory
    ) -> None:
        self._clock = clock
        self._watch_cache = watch_cache
        self._store = watch_cache.store
        self._machines = machines
        self._failures = failures
        self._cache = CapacityCache(watch_cache.store)

    def index(self, plan: RecoveryPlan, min_cpus: float) -> CapacityIndex:
        """Return the free capacity of machines that may be assigned new tasks, now or once they are up.

        `min_cpus`: machines with fewer free cpus are left out.
        """
        types = self._machines.types()
        capacities = self._registered(types, plan, min_cpus)
        capacities += self._provisioning(types)
        return CapacityIndex(capacities, min_cpus, plan.may_use_reserved, self._failures.unusable_machines)

    def _registered(self, types: dict[str, MachineType], plan: RecoveryPlan, min_cpus: float) -> list[FreeCapacity]:
        result: list[FreeCapacity] = []
        for entry in self._machines.registry.entries.values():
            machine_type = types.get(entry.type)
            if machine_type is None or self._store.load(entry.id).cpus + min_cpus > machine_type.cpus + EPSILON:
                continue
            if not self._machines.is_assignable(entry):
                continue
            capacity = self._cache.capacity(entry.id, entry.zone, machine_type, spot=entry.spot, images=entry.images)
            up_for_s = 0.0 if entry.up_since is None else self._clock.monotonic() - entry.up_since
            capacity.reserved = not plan.admits(entry.zone, entry.id, up_for_s)
            capacity.up = entry.is_up()
            result.append(capacity)
        return result

    def _provisioning(self, types: dict[str, MachineType]) -> list[FreeCapacity]:
        """Return the capacity of machines that are requested but have no names yet."""
        result: list[FreeCapacity] = []
        for name, (provisioning, _) in self._watch_cache.list_records(keys.PROVISIONING, ProvisioningRecord).items():
            machine_type = types.get(provisioning.type)
            if machine_type is None or provisioning.machines:
                continue
            result += [
                free_capacity_of(
                    MachineId(f"{name}#{number}"),
                    Zone(provisioning.zone),
                    machine_type,
                    spot=provisioning.spot,
                    store=self._store,
                    up=False,
                )
                for number in range(provisioning.count)
            ]
        return result
