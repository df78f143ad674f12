"""Cache of the machines' free capacity, which is computed again only for machines that have changed."""

from __future__ import annotations

from collections.abc import Collection
from copy import copy

from msgspec import Struct

from cloverplank.basic_types import MachineId, Zone
from cloverplank.jobs.store import JobStore, MachineLoad
from cloverplank.scheduling.capacity import FreeCapacity
from cloverplank.wire.cloud import MachineType

MAX_ENTRIES = 10_000


def free_capacity_of(
    name: MachineId,
    zone: Zone,
    machine_type: MachineType,
    *,
    spot: bool,
    store: JobStore,
    images: Collection[str] = frozenset(),
    up: bool = True,
) -> FreeCapacity:
    """Return a machine's size minus all tasks that the staged records place on it. `up`: the machine is up."""
    load = store.load(name)
    return FreeCapacity(
        machine=name,
        zone=zone,
        type=machine_type.name,
        spot=spot,
        cpus=machine_type.cpus - load.cpus,
        gpus=machine_type.gpus - load.gpus,
        memory_gb=machine_type.memory_gb - load.memory_gb,
        images=load.images.union(images) if images else load.images,
        running_images=load.images,
        empty=not load.tasks,
        up=up,
    )


class _CachedCapacity(Struct, frozen=True):
    """A machine's free capacity with the inputs that it was computed from."""

    load: MachineLoad
    images: frozenset[str]
    machine_type: MachineType
    capacity: FreeCapacity


class CapacityCache:
    """Caches the free capacity of machines between scheduling cycles, in most of which most machines don't change."""

    def __init__(self, store: JobStore) -> None:
        self._store = store
        self._cached: dict[MachineId, _CachedCapacity] = {}

    def capacity(
        self, name: MachineId, zone: Zone, machine_type: MachineType, *, spot: bool, images: frozenset[str]
    ) -> FreeCapacity:
        """Return a copy of the machine's free capacity, from which the caller may allocate."""
        load = self._store.load(name)
        cached = self._cached.get(name)
        if (
            cached is None
            or cached.load is not load
            or cached.images is not images
            or cached.machine_type is not machine_type
            or cached.capacity.spot != spot
        ):
            if len(self._cached) >= MAX_ENTRIES:
                self._cached.clear()
            capacity = free_capacity_of(name, zone, machine_type, spot=spot, images=images, store=self._store)
            cached = self._cached[name] = _CachedCapacity(load, images, machine_type, capacity)
        return copy(cached.capacity)
