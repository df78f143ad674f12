"""Jobs that may use the headroom, because no machine can be provisioned for them."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from itertools import islice

from msgspec import Struct, field

from cloverplank.autoscaling.machine_pools import MachinePool, matching_pools
from cloverplank.basic_types import Clock, JobId, MonotonicTime, Zone
from cloverplank.jobs.records import Phase
from cloverplank.jobs.store import JobStore
from cloverplank.leader.cluster_machines import ClusterMachines
from cloverplank.leader.pool_backoff import PoolBackoff
from cloverplank.scheduling.capacity import EPSILON
from cloverplank.scheduling.turnover import ArrayTurnover
from cloverplank.wire.users import JobSpec

MAX_EXEMPT_JOBS = 20
MIN_REFUSALS = 3  # by one pool, since capacity may become free meanwhile
MAX_GAP_S = 5.0  # a job that is not blocked for this long is blocked anew afterwards


class _Block(Struct):
    """A job that is blocked, with what had been refused and freed before, and the zones of its latest unmet demands."""

    seen_at: MonotonicTime
    freed_cpus_before: float
    zones: Collection[Zone] = ()
    refusals_before: dict[MachinePool, int] = field(default_factory=dict)


class HeadroomExemptions:
    """Selects the jobs to exempt while this controller leads.

    A blocked job is exempt once the cloud has refused a few times the machines that were asked for on its behalf, while
    tasks that ended have not freed the capacity for one task of it either. In a backlog with tasks that end, jobs wait
    for one another, and the headroom is kept.
    `max_machines`: how many machines the cluster may have. `blocked_jobs` returns the jobs that lack capacity only
    because the headroom is kept, in scheduling order, with the zones of their unmet demands.
    """

    def __init__(
        self,
        zones: Sequence[Zone],
        max_machines: int,
        *,
        clock: Clock,
        store: JobStore,
        machines: ClusterMachines,
        pool_backoff: PoolBackoff,
        turnover: ArrayTurnover,
        blocked_jobs: Callable[[], Mapping[JobId, Collection[Zone]]],
    ) -> None:
        self._zones = zones
        self._max_machines = max_machines
        self._clock = clock
        self._store = store
        self._machines = machines
        self._pool_backoff = pool_backoff
        self._turnover = turnover
        self._blocked_jobs = blocked_jobs
        self._blocks: dict[JobId, _Block] = {}

    def select(self, exempt_jobs: Iterable[str]) -> list[str]:
        """Return the jobs to exempt, given those that are exempt now.

        A job that is exempt is not blocked; it stays exempt until all its tasks are placed or capacity becomes free.
        """
        self._update_blocks(map(JobId, exempt_jobs))
        selected = (str(job) for job, block in self._blocks.items() if self._lacks_capacity(job, block))
        return list(islice(selected, MAX_EXEMPT_JOBS))

    def _update_blocks(self, exempt_jobs: Iterable[JobId]) -> None:
        now = self._clock.monotonic()
        for job in exempt_jobs:
            self._block(job).seen_at = now
        for job, zones in self._blocked_jobs().items():
            block = self._block(job)
            block.seen_at, block.zones = now, zones
        self._blocks = {job: block for job, block in self._blocks.items() if now - block.seen_at <= MAX_GAP_S}

    def _block(self, job: JobId) -> _Block:
        block = self._blocks.get(job)
        if block is None:
            block = _Block(self._clock.monotonic(), self._freed_cpus(job))
            self._blocks[job] = block
        return block

    def _freed_cpus(self, job: JobId) -> float:
        view = self._store.get(job)
        zone = None if view is None else view.record.spec.zone
        return self._turnover.freed_cpus(self._zones if zone is None else [Zone(zone)])

    def _lacks_capacity(self, job: JobId, block: _Block) -> bool:
        """Return whether the job has tasks to place for which no capacity could be had while it was blocked."""
        view = self._store.get(job)
        if view is None or view.staged.phase is not Phase.OPEN or not view.staged.missing_count():
            return False
        freed_cpus = self._freed_cpus(job)
        if freed_cpus - block.freed_cpus_before >= max(view.staged.spec.cpus, EPSILON):
            block.freed_cpus_before = freed_cpus
            block.refusals_before.clear()
            return False
        if len(self._machines.registry.entries) >= self._max_machines:
            return True
        pools = self._preferred_pools(view.staged.spec, block.zones)
        return min((self._refusals(pool, block) for pool in pools), default=MIN_REFUSALS) >= MIN_REFUSALS

    def _refusals(self, pool: MachinePool, block: _Block) -> int:
        """Return how many requests the pool has refused since it was first asked for the blocked job."""
        refusals = self._pool_backoff.refusals(pool)
        return refusals - block.refusals_before.setdefault(pool, refusals)

    def _preferred_pools(self, spec: JobSpec, zones: Iterable[Zone]) -> list[MachinePool]:
        """Return, for each of the zones, the pool from which machines are provisioned first for the job."""
        result: list[MachinePool] = []
        for zone in zones:
            pools = matching_pools(spec, zone, self._machines.types().values())
            result += [priced_pool.pool for priced_pool in pools if priced_pool.pool.spot == spec.spot][:1]
        return result
