"""Decides which machines to provision for unmet demands; all functions are pure."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from msgspec import Struct

from cloverplank.basic_types import Zone
from cloverplank.records.machines import ProvisioningRecord
from cloverplank.scheduling.capacity import matches_constraints, tasks_that_fit
from cloverplank.scheduling.quotas import UnmetDemand
from cloverplank.wire.cloud import MAX_PROVISION, MachineType
from cloverplank.wire.users import JobSpec


class MachinePool(Struct, frozen=True):
    """The machines of one type in one zone with one purchase option, spot or on-demand."""

    type: str
    zone: Zone
    spot: bool

    def purchase_option(self) -> str:
        """Return the name of the purchase option for log lines."""
        return "spot" if self.spot else "on-demand"


def pool_of(provisioning: ProvisioningRecord) -> MachinePool:
    """Return the pool from which a recorded request provisions machines."""
    return MachinePool(provisioning.type, Zone(provisioning.zone), provisioning.spot)


class ScaleOutRequest(Struct, frozen=True):
    """A number of machines to provision from one pool."""

    pool: MachinePool
    count: int


class PricedPool(Struct, frozen=True):
    """A pool that a job can use, with the price for each task of the job."""

    price_per_task: float
    pool: MachinePool


class ScaleOutRules(Struct, frozen=True):
    """Rules for what may be provisioned.

    `types`: the machine types by name. `is_paused`: returns whether a pool recently had no capacity.
    `max_on_demand_tasks`: returns how many tasks of a demand that can use spot machines may use on-demand ones.
    `max_machines`: how many machines may be provisioned in total.
    """

    types: Mapping[str, MachineType]
    is_paused: Callable[[MachinePool], bool]
    max_on_demand_tasks: Callable[[UnmetDemand], int]
    max_machines: int


class NewMachine(Struct):
    """A machine to provision, with its capacity that is not allocated to tasks yet."""

    pool: MachinePool
    cpus: float
    gpus: float
    memory_gb: float

    def allocate(self, spec: JobSpec, max_tasks: int) -> int:
        """Allocate capacity to up to `max_tasks` tasks and return how many fit."""
        tasks = min(max_tasks, tasks_that_fit(spec, self.cpus, self.gpus, self.memory_gb))
        self.cpus -= tasks * spec.cpus
        self.gpus -= tasks * spec.gpus
        self.memory_gb -= tasks * spec.memory_gb
        return tasks


def tasks_per_machine(spec: JobSpec, machine_type: MachineType) -> int:
    """Return how many tasks of a job fit on an empty machine."""
    return tasks_that_fit(spec, machine_type.cpus, machine_type.gpus, machine_type.memory_gb)


def price(machine_type: MachineType, *, spot: bool) -> float:
    """Return the price of a machine: the spot price if `spot` and the type has one, otherwise the on-demand price."""
    return machine_type.spot_price if spot and machine_type.spot_price is not None else machine_type.price


def matching_pools(spec: JobSpec, zone: Zone, types: Iterable[MachineType]) -> list[PricedPool]:
    """Return the pools of a zone that a job can use, in ascending order of the price per task."""
    result = []
    for machine_type in types:
        if machine_type.zones and zone not in machine_type.zones:
            continue
        tasks = tasks_per_machine(spec, machine_type)
        if not tasks:
            continue
        for spot in (True, False):
            is_offered = not spot or machine_type.spot_price is not None
            if is_offered and matches_constraints(spec, machine_type.name, zone, spot=spot):
                pool = MachinePool(machine_type.name, zone, spot)
                result.append(PricedPool(price(machine_type, spot=spot) / tasks, pool))
    result.sort(key=lambda priced_pool: (priced_pool.price_per_task, priced_pool.pool.type, priced_pool.pool.spot))
    return result


def scale_out_requests(unmet_demands: Iterable[UnmetDemand], rules: ScaleOutRules) -> list[ScaleOutRequest]:
    """Return the machines to provision for the demands, which are served in the given order."""
    return _ScaleOutPlan(rules).requests(unmet_demands)


class _ScaleOutPlan:
    """Collects the machines to provision."""

    def __init__(self, rules: ScaleOutRules) -> None:
        self._rules = rules
        self._machines: list[NewMachine] = []
        self._counts: dict[MachinePool, int] = {}

    def requests(self, unmet_demands: Iterable[UnmetDemand]) -> list[ScaleOutRequest]:
        for demand in unmet_demands:
            missing = self._allocate_planned_machines(demand)
            self._add_machines(demand, missing)
        return [ScaleOutRequest(pool, count) for pool, count in self._counts.items()]

    def _allocate_planned_machines(self, demand: UnmetDemand) -> int:
        """Allocate unused capacity of the machines planned so far; return how many tasks still lack capacity."""
        spec, missing = demand.queued_job.record.spec, demand.tasks
        for machine in self._machines:
            pool = machine.pool
            if missing and pool.zone == demand.zone and matches_constraints(spec, pool.type, pool.zone, spot=pool.spot):
                missing -= machine.allocate(spec, missing)
        return missing

    def _add_machines(self, demand: UnmetDemand, missing: int) -> None:
        """Add machines from the cheapest pools that may be used."""
        spec = demand.queued_job.record.spec
        for priced_pool in matching_pools(spec, demand.zone, self._rules.types.values()):
            pool = priced_pool.pool
            if missing <= 0 or len(self._machines) >= self._rules.max_machines:
                break
            if self._rules.is_paused(pool):
                continue
            if spec.spot and not pool.spot:
                missing = min(missing, self._rules.max_on_demand_tasks(demand))
            missing = self._add_machines_from_pool(pool, spec, missing)

    def _add_machines_from_pool(self, pool: MachinePool, spec: JobSpec, missing: int) -> int:
        """Add machines from one pool; return how many tasks still lack capacity."""
        machine_type = self._rules.types[pool.type]
        while (
            missing > 0 and len(self._machines) < self._rules.max_machines and self._counts.get(pool, 0) < MAX_PROVISION
        ):
            machine = NewMachine(pool, machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
            tasks = machine.allocate(spec, missing)
            if tasks <= 0:
                break
            missing -= tasks
            self._counts[pool] = self._counts.get(pool, 0) + 1
            self._machines.append(machine)
        return missing
