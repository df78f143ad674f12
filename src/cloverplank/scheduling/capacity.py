"""Free capacity of machines, indexed for one scheduling cycle, and bin packing into it."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Iterator, Sequence
from copy import copy

from msgspec import Struct

from cloverplank.basic_types import JobId, MachineId, Zone
from cloverplank.jobs.records import JobRecord, Placement
from cloverplank.wire.users import JobSpec

EPSILON = 1e-6
FULL_VISITS_PER_MACHINE = 1 / 8  # visits to full machines, per machine, after which full ones are removed

# Zone, whether the machines are up, and whether they are spot instances. A plain tuple, since it is created per job.
GroupKey = tuple[Zone, bool, bool]


class FreeCapacity(Struct, eq=False):
    """The free capacity of one machine for new tasks."""

    machine: MachineId
    zone: Zone
    type: str
    spot: bool
    cpus: float
    gpus: float
    memory_gb: float
    images: Collection[str] = frozenset()
    running_images: Collection[str] = frozenset()  # those of the tasks that the records place on it
    empty: bool = True
    up: bool = True  # the machine is up
    used: bool = False  # tasks were allocated on the machine in this scheduling cycle
    reserved: bool = False  # for important jobs, while the machine's zone recovers from a loss

    def allocate(self, spec: JobSpec, tasks: int) -> None:
        """Subtract the resources of a number of a job's tasks."""
        self.cpus -= spec.cpus * tasks
        self.gpus -= spec.gpus * tasks
        self.memory_gb -= spec.memory_gb * tasks
        self.empty = False
        self.used = True


def matches_constraints(spec: JobSpec, type_name: str, zone: str, *, spot: bool) -> bool:
    """Return whether a job's constraints allow a machine of this type and zone, spot or on-demand."""
    return (
        (spec.types is None or type_name in spec.types)
        and (spec.zone is None or spec.zone == zone)
        and (spec.spot or not spot)
    )


def tasks_that_fit(spec: JobSpec, cpus: float, gpus: float, memory_gb: float) -> int:
    """Return how many of the job's tasks fit into the given resources."""
    tasks = spec.tasks
    for requested, available in ((spec.cpus, cpus), (spec.gpus, gpus), (spec.memory_gb, memory_gb)):
        if requested > 0:
            tasks = min(tasks, int((available + EPSILON) / requested))
    return max(0, tasks)


def fit_count(spec: JobSpec, capacity: FreeCapacity) -> int:
    """Return how many of the job's tasks fit on a machine, 0 if the job's constraints exclude the machine."""
    if not matches_constraints(spec, capacity.type, capacity.zone, spot=capacity.spot):
        return 0
    return tasks_that_fit(spec, capacity.cpus, capacity.gpus, capacity.memory_gb)


class CapacityIndex:
    """Free capacity of machines in one scheduling cycle, by zone.

    Three optimizations avoid an iteration over all machines for each job. Machines are sorted once, by how full they
    are at the start of the cycle, and visited only until a job has enough capacity. Machines that have become full are
    removed from time to time. Capacity only shrinks during a cycle, so jobs that found none are cached: a job that may
    use the same machines and needs as much or more finds none either. The exception is an idle on-demand machine, which
    becomes open to all jobs once it is in use: when one is allocated, the cached jobs that were not allowed to use idle
    machines are discarded.
    """

    def __init__(
        self,
        capacities: Iterable[FreeCapacity],
        min_cpus: float = 0.0,
        may_use_reserved: Callable[[JobSpec], bool] = lambda spec: True,
        avoided_machines: Callable[[JobId], Collection[MachineId]] = lambda job: (),
    ) -> None:
        """Index the machines' free capacity.

        `min_cpus`: machines with fewer free cpus are skipped, since no task of this cycle can use them.
        `may_use_reserved`: returns whether a job may use reserved capacity. `avoided_machines`: returns the machines
        that a job may not use for now although they have capacity.
        """
        self._min_cpus = min_cpus
        self._may_use_reserved = may_use_reserved
        self._avoided_machines = avoided_machines
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
        """Return an index of copied capacities, which can be allocated independently of this one."""
        return self._with_capacities(copy(capacity) for capacity in self)

    def without(self, machine: MachineId) -> CapacityIndex:
        """Return an index of the other machines, which shares their capacity with this one."""
        return self._with_capacities(capacity for capacity in self if capacity.machine != machine)

    def _with_capacities(self, capacities: Iterable[FreeCapacity]) -> CapacityIndex:
        """Return an index of other capacities for the same cycle, including those that have become full."""
        result = CapacityIndex(
            capacities, may_use_reserved=self._may_use_reserved, avoided_machines=self._avoided_machines
        )
        result._min_cpus = self._min_cpus
        return result

    def _sort_into_groups(self) -> dict[GroupKey, list[FreeCapacity]]:
        groups = self._groups = {}
        fullest_first = sorted(self.by_name.values(), key=lambda c: (c.empty, c.cpus, c.machine))
        for capacity in fullest_first:
            group = (capacity.zone, capacity.up, capacity.spot)
            groups.setdefault(group, []).append(capacity)
        return groups

    def _is_full(self, capacity: FreeCapacity) -> bool:
        return capacity.cpus + EPSILON < self._min_cpus

    def _remove_full(self) -> None:
        """Remove full machines from the lists once the visits wasted on them outweigh the cost of the removal."""
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

    def _in_packing_order(self, spec: JobSpec, zone: Zone) -> Iterator[FreeCapacity]:
        """Yield machines in order of preference: up, spot if the job allows it, with the job's image, fullest."""
        groups = self._groups if self._groups is not None else self._sort_into_groups()
        for up in (True, False):
            for spot in (True, False) if spec.spot else (False, True):
                if (zone, up, spot) not in groups:
                    continue
                yield from self._having_image(groups, (zone, up, spot), spec.image)
                for capacity in groups[zone, up, spot]:
                    if spec.image not in capacity.images:
                        yield capacity

    def candidates(self, spec: JobSpec, zone: Zone, *, urgent: bool = True) -> Iterator[FreeCapacity]:
        """Yield the machines with capacity for a task of the job, in order of preference.

        A spot job that is not urgent uses no empty on-demand machine, since bursts would keep those machines from ever
        becoming idle.
        """
        may_use_idle = urgent or not spec.spot
        may_use_reserved = self._may_use_reserved(spec)
        unplaceable = self._unplaceable.setdefault((zone, may_use_idle, may_use_reserved), [])
        for other in unplaceable:
            if _at_least_as_demanding(spec, other):
                return
        cpus, memory_gb = spec.cpus - EPSILON, spec.memory_gb - EPSILON
        avoided = self.avoided_machines(spec)
        self._remove_full()
        found = False
        for capacity in self._in_packing_order(spec, zone):
            if (
                capacity.cpus >= cpus
                and capacity.memory_gb >= memory_gb
                and (may_use_idle or capacity.spot or not capacity.empty)
                and (may_use_reserved or not capacity.reserved)
                and fit_count(spec, capacity) > 0
            ):
                found = True  # by other jobs of this size, even if this one avoids the machine
                if capacity.machine not in avoided:
                    yield capacity
            elif self._is_full(capacity):
                self._full_visits += 1
        if not found:
            unplaceable.append(spec)

    def avoided_machines(self, spec: JobSpec) -> Collection[MachineId]:
        """Return the machines that a job may not use for now although they may have capacity."""
        return self._avoided_machines(JobId(spec.id))

    def count_fitting(self, spec: JobSpec, zone: Zone, max_tasks: int, *, urgent: bool = True) -> int:
        """Return for how many tasks of a job the zone has capacity, at most `max_tasks`."""
        tasks = 0
        for capacity in self.candidates(spec, zone, urgent=urgent):
            tasks += fit_count(spec, capacity)
            if tasks >= max_tasks:
                return max_tasks
        return tasks

    def allocate(self, machine: MachineId, spec: JobSpec, tasks: int) -> None:
        """Allocate capacity of a machine for a number of a job's tasks."""
        capacity = self.by_name[machine]
        if capacity.empty and not capacity.spot:
            for may_use_reserved in (True, False):
                self._unplaceable.pop((capacity.zone, False, may_use_reserved), None)
        capacity.allocate(spec, tasks)

    def reserve(self, specs: Sequence[JobSpec], zone: Zone) -> None:
        """Subtract capacity of a zone for the tasks of the jobs, as many as fit.

        Unlike `fill`, it marks no machine as used. It prefers machines that run tasks with the job's image, which all
        controllers know from the records, while cached images are known to the shard's owner first.
        """
        groups = self._groups if self._groups is not None else self._sort_into_groups()
        min_cpus = min((spec.cpus for spec in specs), default=0.0) - EPSILON
        usable = [
            capacity
            for up in (True, False)
            for spot in (True, False)
            for capacity in groups.get((zone, up, spot), ())
            if capacity.cpus >= min_cpus
        ]
        for spec in specs:
            self._reserve_from(usable, spec)

    def _reserve_from(self, usable: Sequence[FreeCapacity], spec: JobSpec) -> None:
        may_use_reserved = self._may_use_reserved(spec)
        missing = spec.tasks
        for runs_image in (True, False):
            for capacity in usable:
                if missing <= 0:
                    return
                is_preferred = (spec.image in capacity.running_images) is runs_image
                if is_preferred and (may_use_reserved or not capacity.reserved):
                    missing -= _reserve_on(spec, capacity, missing)

    def fill(
        self,
        record: JobRecord,
        zone: Zone,
        max_tasks: int,
        *,
        urgent: bool = True,
        allowed: Callable[[FreeCapacity], bool] | None = None,
    ) -> list[Placement]:
        """Allocate capacity of a zone for up to `max_tasks` tasks of a job and return the placements.

        `allowed`: returns whether a machine may be used; None allows all machines.
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


def _reserve_on(spec: JobSpec, capacity: FreeCapacity, max_tasks: int) -> int:
    """Subtract capacity of a machine for up to `max_tasks` tasks of a job; return for how many."""
    tasks = min(max_tasks, fit_count(spec, capacity))
    if tasks > 0:
        capacity.cpus -= spec.cpus * tasks
        capacity.gpus -= spec.gpus * tasks
        capacity.memory_gb -= spec.memory_gb * tasks
    return tasks


def _at_least_as_demanding(spec: JobSpec, other: JobSpec) -> bool:
    """Return whether a task of `spec` can't find capacity where a task of `other` found none."""
    return (
        spec.cpus >= other.cpus
        and spec.memory_gb >= other.memory_gb
        and spec.gpus >= other.gpus
        and (other.spot or not spec.spot)
        and other.zone in (None, spec.zone)
        and (other.types is None or (spec.types is not None and set(spec.types) <= set(other.types)))
    )
