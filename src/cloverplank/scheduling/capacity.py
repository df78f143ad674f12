"""Free capacity of machines, indexed for one scheduling cycle, and bin packing into it."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Iterator
from copy import copy

from msgspec import Struct

from cloverplank.basic_types import MachineId, Zone
from cloverplank.jobs.records import JobRecord, Placement
from cloverplank.wire.users import JobSpec

EPSILON = 1e-6
FULL_VISITS_PER_MACHINE = 1 / 8  # full machines are removed from the lists after so many visits to them

# Zone, whether the machines are up, and whether they are spot instances. A plain tuple, since it is made for each job.
GroupKey = tuple[Zone, bool, bool]


class FreeCapacity(Struct, eq=False):
    """What one machine has left for new tasks."""

    machine: MachineId
    zone: Zone
    type: str
    spot: bool
    cpus: float
    gpus: float
    memory_gb: float
    images: Collection[str] = frozenset()
    empty: bool = True
    real: bool = True  # the machine is up
    used: bool = False  # tasks were allocated here in this scheduling cycle
    reserved: bool = False  # for important work, since the machine's zone recovers from a loss

    def allocate(self, spec: JobSpec, tasks: int) -> None:
        """Take the capacity for a number of a job's tasks."""
        self.cpus -= spec.cpus * tasks
        self.gpus -= spec.gpus * tasks
        self.memory_gb -= spec.memory_gb * tasks
        self.empty = False
        self.used = True


def matches_constraints(spec: JobSpec, type_name: str, zone: str, *, spot: bool) -> bool:
    """Return whether a job may use a machine of this type and zone, spot or on-demand."""
    return (
        (spec.types is None or type_name in spec.types)
        and (spec.zone is None or spec.zone == zone)
        and (spec.spot or not spot)
    )


def tasks_that_fit(spec: JobSpec, cpus: float, gpus: float, memory_gb: float) -> int:
    """Return how many of the job's tasks fit."""
    tasks = spec.tasks
    for requested, available in ((spec.cpus, cpus), (spec.gpus, gpus), (spec.memory_gb, memory_gb)):
        if requested > 0:
            tasks = min(tasks, int((available + EPSILON) / requested))
    return max(0, tasks)


def fit_count(spec: JobSpec, capacity: FreeCapacity) -> int:
    """Return how many of the job's tasks fit on a machine that the job may use, 0 on any other."""
    if not matches_constraints(spec, capacity.type, capacity.zone, spot=capacity.spot):
        return 0
    return tasks_that_fit(spec, capacity.cpus, capacity.gpus, capacity.memory_gb)


class CapacityIndex:
    """Free capacity of machines in one scheduling cycle, by zone.

    Three things spare a pass over all machines for each job. Machines are sorted once, by how full they are at the
    start of the cycle, and visited only until a job has what it wants. Machines that have become full are removed from
    time to time. And capacity only shrinks during a cycle, so a job that found none is remembered: a job that may use
    the same machines and needs as much or more finds none either. One thing grows: an on-demand machine that is no
    longer idle is open to all jobs, so those that were kept from idle ones are forgotten when one is taken.
    """

    def __init__(
        self,
        capacities: Iterable[FreeCapacity],
        min_cpus: float = 0.0,
        may_use_reserved: Callable[[JobSpec], bool] = lambda spec: True,
    ) -> None:
        """Index the machines' free capacity.

        `min_cpus`: machines with less left are skipped, since no task of this cycle can use them. `may_use_reserved`:
        jobs that may use reserved capacity.
        """
        self._min_cpus = min_cpus
        self._may_use_reserved = may_use_reserved
        self.by_name: dict[MachineId, FreeCapacity] = {
            capacity.machine: capacity for capacity in capacities if capacity.cpus + EPSILON >= min_cpus
        }
        self._full_visits = 0  # visits to full machines since they were last removed
        # Jobs that found no capacity, by zone and whether they may use idle on-demand machines and reserved capacity.
        self._unplaceable: dict[tuple[Zone, bool, bool], list[JobSpec]] = {}
        self._groups: dict[GroupKey, list[FreeCapacity]] | None = None
        self._with_image: dict[tuple[Zone, bool, bool, str], list[FreeCapacity]] = {}

    def __iter__(self) -> Iterator[FreeCapacity]:
        return iter(self.by_name.values())

    def copy(self) -> CapacityIndex:
        """Return an index of copies, which can be allocated independently."""
        return self._replaced(copy(capacity) for capacity in self)

    def without(self, machine: MachineId) -> CapacityIndex:
        """Return an index of the other machines, which shares their capacity with this one."""
        return self._replaced(capacity for capacity in self if capacity.machine != machine)

    def _replaced(self, capacities: Iterable[FreeCapacity]) -> CapacityIndex:
        """Return an index of other capacities for the same cycle, those that have become full included."""
        result = CapacityIndex(capacities, may_use_reserved=self._may_use_reserved)
        result._min_cpus = self._min_cpus
        return result

    def _sort(self) -> dict[GroupKey, list[FreeCapacity]]:
        groups = self._groups = {}
        fullest_first = sorted(self.by_name.values(), key=lambda c: (c.empty, c.cpus, c.machine))
        for capacity in fullest_first:
            group = (capacity.zone, capacity.real, capacity.spot)
            groups.setdefault(group, []).append(capacity)
        return groups

    def _is_full(self, capacity: FreeCapacity) -> bool:
        return capacity.cpus + EPSILON < self._min_cpus

    def _remove_full(self) -> None:
        """Remove full machines from the lists once enough visits were lost on them to pay for it."""
        if self._groups is None or self._full_visits < len(self.by_name) * FULL_VISITS_PER_MACHINE:
            return
        self._full_visits = 0
        for group, capacities in self._groups.items():
            self._groups[group] = [capacity for capacity in capacities if not self._is_full(capacity)]
        for group_and_image, capacities in self._with_image.items():
            self._with_image[group_and_image] = [capacity for capacity in capacities if not self._is_full(capacity)]

    def _having_image(
        self, groups: dict[GroupKey, list[FreeCapacity]], group: GroupKey, image: str
    ) -> list[FreeCapacity]:
        capacities = self._with_image.get((*group, image))
        if capacities is None:
            capacities = [capacity for capacity in groups[group] if image in capacity.images]
            self._with_image[(*group, image)] = capacities
        return capacities

    def _in_order(self, spec: JobSpec, zone: Zone) -> Iterator[FreeCapacity]:
        """Yield machines in order: up ones, spot ones if the job may use them, those with its image, the fullest."""
        groups = self._groups if self._groups is not None else self._sort()
        for real in (True, False):
            for spot in (True, False) if spec.spot else (False, True):
                if (zone, real, spot) not in groups:
                    continue
                yield from self._having_image(groups, (zone, real, spot), spec.image)
                for capacity in groups[zone, real, spot]:
                    if spec.image not in capacity.images:
                        yield capacity

    def candidates(self, spec: JobSpec, zone: Zone, *, urgent: bool = True) -> Iterator[FreeCapacity]:
        """Yield the machines with capacity for a task, in the order in which they are tried.

        A job that is not urgent uses no empty on-demand machine: bursts would keep them from ever being idle.
        """
        may_use_idle = urgent or not spec.spot
        may_use_reserved = self._may_use_reserved(spec)
        unplaceable = self._unplaceable.setdefault((zone, may_use_idle, may_use_reserved), [])
        for other in unplaceable:
            if _no_easier(spec, other):
                return
        cpus, memory_gb = spec.cpus - EPSILON, spec.memory_gb - EPSILON
        self._remove_full()
        found = False
        for capacity in self._in_order(spec, zone):
            if (
                capacity.cpus >= cpus
                and capacity.memory_gb >= memory_gb
                and (may_use_idle or capacity.spot or not capacity.empty)
                and (may_use_reserved or not capacity.reserved)
                and fit_count(spec, capacity) > 0
            ):
                found = True
                yield capacity
            elif self._is_full(capacity):
                self._full_visits += 1
        if not found:
            unplaceable.append(spec)

    def count_fitting(self, spec: JobSpec, zone: Zone, max_tasks: int, *, urgent: bool = True) -> int:
        """Return for how many tasks of a job there is capacity, `max_tasks` at most."""
        tasks = 0
        for capacity in self.candidates(spec, zone, urgent=urgent):
            tasks += fit_count(spec, capacity)
            if tasks >= max_tasks:
                return max_tasks
        return tasks

    def allocate(self, machine: MachineId, spec: JobSpec, tasks: int) -> None:
        """Take the capacity for a number of a job's tasks on a machine."""
        capacity = self.by_name[machine]
        if capacity.empty and not capacity.spot:
            for may_use_reserved in (True, False):
                self._unplaceable.pop((capacity.zone, False, may_use_reserved), None)
        capacity.allocate(spec, tasks)

    def fill(
        self,
        record: JobRecord,
        zone: Zone,
        max_tasks: int,
        *,
        urgent: bool = True,
        allowed: Callable[[FreeCapacity], bool] | None = None,
    ) -> list[Placement]:
        """Allocate capacity of a zone for up to `max_tasks` tasks of a job and return where.

        `allowed`: the machines that may be used, all if None.
        """
        result: list[Placement] = []
        if max_tasks <= 0:
            return result
        for capacity in self.candidates(record.spec, zone, urgent=urgent):
            if allowed is not None and not allowed(capacity):
                continue
            tasks = min(max_tasks, fit_count(record.spec, capacity))
            self.allocate(capacity.machine, record.spec, tasks)
            result.append(Placement(capacity.machine, zone, tasks))
            max_tasks -= tasks
            if max_tasks <= 0:
                break
        return result


def _no_easier(spec: JobSpec, other: JobSpec) -> bool:
    """Return whether a task of `spec` finds no capacity where one of `other` found none."""
    return (
        spec.cpus >= other.cpus
        and spec.memory_gb >= other.memory_gb
        and spec.gpus >= other.gpus
        and (other.spot or not spec.spot)
        and other.zone in (None, spec.zone)
        and (other.types is None or (spec.types is not None and set(spec.types) <= set(other.types)))
    )
