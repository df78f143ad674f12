"""Limits on the tasks that may run on on-demand machines because spot capacity is not available."""

from __future__ import annotations

import math
from collections.abc import Sequence

from msgspec import Struct, field

from cloverplank.basic_types import Clock, Zone
from cloverplank.jobs.dependencies import ESTIMATE_FACTOR
from cloverplank.kvstore.watch_cache import WatchCache
from cloverplank.leader.cluster_machines import ClusterMachines
from cloverplank.scheduling.objectives import NO_OBJECTIVE_MS, ServiceLevelObjectives
from cloverplank.scheduling.quotas import UnmetDemand

DEFAULT_BOOT_S = 30.0  # assumed until the machine types are known
REMAINING_RUN_FRACTION = 0.5  # a running task still has, on average, half of its estimated run time to go


class CpuTotal(Struct):
    """The number of CPUs that job arrays can use on several machines."""

    cpus: float = 0.0


class ZoneArrayCapacity(Struct):
    """The CPUs that job arrays can use in one zone, and the work that runs or is queued there."""

    running: CpuTotal = field(default_factory=CpuTotal)
    booting: CpuTotal = field(default_factory=CpuTotal)
    running_cpu_s: dict[int, float] = field(default_factory=dict)  # remaining work of running tasks, by rank
    queued_cpu_s: float = 0.0  # work of the unmet demands that precede the current one

    def preceding_cpu_s(self, rank: int) -> float:
        """Return the CPU seconds of work that take precedence over a job of this rank."""
        return self.queued_cpu_s + sum(work_cpu_s for other, work_cpu_s in self.running_cpu_s.items() if other <= rank)


class OnDemandAllowance:
    """Computes how many tasks of unmet demands may run on on-demand machines in place of spot ones.

    `trusted_capacity`: the fraction of the existing capacity that the computation relies on.
    """

    def __init__(
        self,
        zones: Sequence[Zone],
        trusted_capacity: float,
        *,
        clock: Clock,
        watch_cache: WatchCache,
        machines: ClusterMachines,
        objectives: ServiceLevelObjectives,
    ) -> None:
        self._zones = zones
        self._trusted_capacity = trusted_capacity
        self._clock = clock
        self._watch_cache = watch_cache
        self._store = watch_cache.store
        self._machines = machines
        self._objectives = objectives

    def max_tasks(self, unmet_demands: Sequence[UnmetDemand]) -> dict[int, int]:
        """Return how many tasks may use on-demand machines, by `id` of the demand.

        These are the tasks that existing machines can't finish in time. A guaranteed quota alone does not justify an
        on-demand machine: booting one takes longer than such work should wait, and preemption covers that case. A
        provisioned machine runs several tasks one after another.
        """
        capacity = self._array_capacity()
        allowed: dict[int, int] = {}
        for demand in unmet_demands:
            spec = demand.queued_job.record.spec
            work_cpu_s = spec.cpus * (spec.estimate_s * ESTIMATE_FACTOR)  # of one task
            zone_capacity = capacity[demand.zone]
            allowed[id(demand)] = self._max_tasks(demand, zone_capacity, work_cpu_s)
            zone_capacity.queued_cpu_s += work_cpu_s * demand.tasks
        return allowed

    def _max_tasks(self, demand: UnmetDemand, capacity: ZoneArrayCapacity, work_cpu_s: float) -> int:
        record = demand.queued_job.record
        spec = record.spec
        now = self._clock.wall_ms()
        boot_s = self._boot_s()
        if demand.queued_job.headroom or spec.service or work_cpu_s <= 0:
            return 0
        # A machine that is provisioned now is up after `boot_s`: too late for objectives with less time left.
        time_left_s = next((left for left in self._objectives.remaining_times(record, now) if left > boot_s), None)
        if time_left_s is None:
            # The job is late or has no objective. One task still gets a machine if no existing one can ever run it.
            is_stuck = now - record.runnable_at > NO_OBJECTIVE_MS and (
                capacity.running.cpus + capacity.booting.cpus < max(1.0, spec.cpus)
            )
            return int(is_stuck)
        preceding_cpu_s = capacity.preceding_cpu_s(demand.queued_job.rank)
        available = capacity.running.cpus * time_left_s + capacity.booting.cpus * (time_left_s - boot_s)
        finished = int(max(0.0, available * self._trusted_capacity - preceding_cpu_s) / work_cpu_s)
        tasks_in_sequence = max(1.0, (time_left_s - boot_s) / (spec.estimate_s * ESTIMATE_FACTOR))
        return math.ceil(max(0, demand.tasks - finished) / tasks_in_sequence)

    def _boot_s(self) -> float:
        return max((machine_type.boot_s for machine_type in self._machines.types().values()), default=DEFAULT_BOOT_S)

    def _array_capacity(self) -> dict[Zone, ZoneArrayCapacity]:
        """Return the capacity for job arrays on machines that are up and on those that boot, by zone."""
        capacity = {zone: ZoneArrayCapacity() for zone in self._zones}
        types = self._machines.types()
        for entry in self._machines.registry.entries.values():
            machine_type = types.get(entry.type)
            zone_capacity = capacity.get(entry.zone)
            if machine_type is None or zone_capacity is None or not self._machines.is_assignable(entry):
                continue
            total = zone_capacity.booting if entry.last_contact_at is None else zone_capacity.running
            total.cpus += machine_type.cpus
            for view in self._store.jobs_on(entry.id):
                spec = view.staged.spec
                used_cpus = spec.cpus * view.staged.placed_on(entry.id)
                if spec.service:
                    total.cpus -= used_cpus
                else:
                    rank = self._watch_cache.effective_priorities.of(view.staged).rank
                    work_cpu_s = zone_capacity.running_cpu_s.get(rank, 0.0)
                    zone_capacity.running_cpu_s[rank] = (
                        work_cpu_s + used_cpus * spec.estimate_s * REMAINING_RUN_FRACTION
                    )
        return capacity
