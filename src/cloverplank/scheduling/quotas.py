"""Team quotas and zone spread: how many tasks of each job may be placed, and in which zones."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence

from msgspec import Struct, field

from cloverplank.basic_types import JobId, Zone
from cloverplank.jobs.records import JobRecord, Placement, zone_cap
from cloverplank.scheduling.capacity import EPSILON, CapacityIndex
from cloverplank.scheduling.queue import QueuedJob
from cloverplank.settings.platform import Team


class Quota(Struct, frozen=True):
    """The maximum resources that a team may use."""

    cpus: float
    gpus: float


NO_QUOTA = Quota(0.0, 0.0)


def team_quotas(teams: Iterable[Team]) -> dict[str, Quota]:
    """Return the quotas by team name."""
    return {team.name: Quota(team.cpus_max, team.gpus_max) for team in teams}


class UnmetDemand(Struct, eq=False):
    """Tasks that are allocated to a zone in which they have no capacity."""

    queued_job: QueuedJob
    zone: Zone
    tasks: int


class ZoneSplit(Struct, eq=False):
    """The split of a job's tasks over the zones.

    `allocation`: how many tasks may run in each zone. `placements`: the capacity that was allocated for missing tasks.
    """

    allocation: dict[Zone, int]
    placements: list[Placement] = field(default_factory=list)
    unmet_demands: list[UnmetDemand] = field(default_factory=list)


class _TeamUsage(Struct):
    """The resources that a team uses."""

    cpus: float = 0.0
    gpus: float = 0.0


def tasks_within_quota(record: JobRecord, left_cpus: float, left_gpus: float, max_tasks: int) -> int:
    """Return how many tasks of a job fit into the rest of a quota, at most `max_tasks`."""
    for requested, left in ((record.spec.cpus, left_cpus), (record.spec.gpus, left_gpus)):
        if requested > 0:
            max_tasks = min(max_tasks, int((left + EPSILON) / requested))
    return max(0, max_tasks)


def task_limits(
    queued_jobs: Sequence[QueuedJob],
    held: Callable[[JobId], int],
    limits: Mapping[str, Quota],
    others: Mapping[str, Quota] | None = None,
) -> dict[JobId, int]:
    """Return the maximum number of placed tasks of each job.

    `held` returns the number of a job's tasks that count against its team until a commit changes it, so a total that is
    lowered here frees no quota before it is committed. `others`: resources that jobs outside the queue still hold, by
    team.
    """
    held_counts = [held(queued_job.record.id) for queued_job in queued_jobs]
    placed_counts = [queued_job.record.placed() for queued_job in queued_jobs]
    planned_usage = _team_usage(queued_jobs, placed_counts, others or {})
    held_usage = _team_usage(queued_jobs, held_counts, others or {})
    result: dict[JobId, int] = {}
    for queued_job, placed_count, held_count in zip(queued_jobs, placed_counts, held_counts, strict=True):
        record, spec = queued_job.record, queued_job.record.spec
        quota = limits.get(spec.team, NO_QUOTA)
        planned = planned_usage[spec.team]
        missing = record.missing_count()
        extra = tasks_within_quota(record, quota.cpus - planned.cpus, quota.gpus - planned.gpus, missing)
        if spec.gang and extra < missing:
            extra = 0  # a gang is placed as a whole or not at all
        planned.cpus += extra * spec.cpus
        planned.gpus += extra * spec.gpus
        total = placed_count + extra
        if total > held_count:
            in_use = held_usage[spec.team]
            more = tasks_within_quota(record, quota.cpus - in_use.cpus, quota.gpus - in_use.gpus, total - held_count)
            in_use.cpus += more * spec.cpus
            in_use.gpus += more * spec.gpus
            is_partial_gang = spec.gang and held_count + more < total
            total = held_count if is_partial_gang else held_count + more
        result[record.id] = total
    return result


def _team_usage(
    queued_jobs: Sequence[QueuedJob], task_counts: Sequence[int], others: Mapping[str, Quota]
) -> dict[str, _TeamUsage]:
    """Return the usage of each team: that of `others` plus the given number of tasks of each job."""
    usage = {team: _TeamUsage(quota.cpus, quota.gpus) for team, quota in others.items()}
    for queued_job, tasks in zip(queued_jobs, task_counts, strict=True):
        spec = queued_job.record.spec
        team = usage.get(spec.team)
        if team is None:
            team = usage[spec.team] = _TeamUsage()
        team.cpus += tasks * spec.cpus
        team.gpus += tasks * spec.gpus
    return usage


def record_covers_allocation(record: JobRecord, allocation: Mapping[Zone, int]) -> bool:
    """Return whether the record's allocation allows as many tasks in each zone, and no more count against the team.

    As tasks end, the number of tasks that a job may still place shrinks without a commit. Committing the smaller
    allocation would have no effect, and would take one commit per task.
    """
    if record.held() > sum(allocation.values()):
        return False
    return all(record.allocation.get(zone, 0) >= tasks for zone, tasks in allocation.items())


def split_by_weight(amount: int, weights: Mapping[Zone, float], caps: Mapping[Zone, int]) -> dict[Zone, int]:
    """Split an amount over zones by static weights, the largest first; a full zone's excess goes to the others."""
    result = dict.fromkeys(weights, 0)
    zones = sorted((zone for zone in weights if caps.get(zone, 0) > 0), key=lambda zone: (-weights[zone], zone))
    while amount > 0 and zones:
        assigned = _assign_by_weight(amount, weights, caps, zones, result)
        if assigned == 0:
            # Each share is less than one: assign one per zone, in order, until the amount is used up.
            for zone in zones:
                if assigned < amount and result[zone] < caps[zone]:
                    result[zone] += 1
                    assigned += 1
        if assigned == 0:
            break
        amount -= assigned
        zones = [zone for zone in zones if result[zone] < caps[zone]]
    return result


def _assign_by_weight(
    amount: int, weights: Mapping[Zone, float], caps: Mapping[Zone, int], zones: list[Zone], result: dict[Zone, int]
) -> int:
    """Add each zone's share, rounded down, to the result and return the sum."""
    total_weight = sum(weights[zone] for zone in zones) or float(len(zones))
    weight_of_unweighted = 1.0 if total_weight == len(zones) else 0.0
    assigned = 0
    for zone in zones:
        share = int(amount * (weights[zone] or weight_of_unweighted) / total_weight)
        share = min(share, caps[zone] - result[zone])
        result[zone] += share
        assigned += share
    return assigned


def split_over_zones(
    queued_job: QueuedJob,
    total: int,
    zones: Mapping[Zone, float],
    capacity_index: CapacityIndex,
    can_scale_out: Callable[[Zone], bool],
) -> ZoneSplit:
    """Return how many of a job's `total` tasks may run in each zone, and the tasks that lack capacity there.

    `zones`: the weights of the zones. Only missing tasks are split: placed ones stay, and an earlier allocation is kept
    where it has capacity. The capacity for the split is allocated from the index.
    """
    record = queued_job.record
    placed = {zone: record.placed(zone) for zone in zones}
    allocation = {zone: tasks for zone, tasks in placed.items() if tasks}
    missing = total - record.placed()
    if missing <= 0:
        return ZoneSplit(allocation)
    splitter = _ZoneSplitter(
        queued_job, placed, _allowed_zones(record, zones, placed, capacity_index, missing), capacity_index
    )
    missing = splitter.keep_allocated(missing)
    if missing > 0:
        missing = splitter.allocate_by_weight(missing)
    unmet_demands = splitter.allocate_unmet(missing, can_scale_out) if missing > 0 else []
    for zone, tasks in splitter.added.items():
        if tasks:
            allocation[zone] = allocation.get(zone, 0) + tasks
    return ZoneSplit(allocation, splitter.placements, unmet_demands)


class _ZoneSplitter:
    """Splits one job's missing tasks. `added` is the number of tasks that each zone gets besides the placed ones.

    `weights`: the weights of the zones that the job may use.
    """

    def __init__(
        self,
        queued_job: QueuedJob,
        placed: Mapping[Zone, int],
        weights: Mapping[Zone, float],
        capacity_index: CapacityIndex,
    ) -> None:
        record = queued_job.record
        self._queued_job = queued_job
        self._weights = weights
        self._capacity_index = capacity_index
        cap = zone_cap(record.spec)
        self._caps = {zone: cap - placed[zone] for zone in weights}
        self._allocated = {zone: max(0, record.allocation.get(zone, 0) - placed[zone]) for zone in weights}
        self.added = dict.fromkeys(weights, 0)
        self.placements: list[Placement] = []

    def keep_allocated(self, missing: int) -> int:
        """Add tasks to zones where the job already has an allocation; return how many are still missing."""
        for zone, allocated in self._allocated.items():
            missing -= self._fill(zone, min(allocated, missing))
        return missing

    def allocate_by_weight(self, missing: int) -> int:
        """Add tasks to zones with capacity, by the zones' weights; return how many are still missing."""
        spec, urgent = self._queued_job.record.spec, self._queued_job.urgent
        free = {
            zone: self._capacity_index.count_fitting(
                spec, zone, max(0, min(missing, cap - self.added[zone])), urgent=urgent
            )
            for zone, cap in self._caps.items()
        }
        for zone, share in split_by_weight(missing, self._weights, free).items():
            missing -= self._fill(zone, share)
        return missing

    def allocate_unmet(self, missing: int, can_scale_out: Callable[[Zone], bool]) -> list[UnmetDemand]:
        """Add tasks that have no capacity anywhere, and return them as demand in zones that can be scaled out.

        Tasks stay in the zone of their earlier allocation, even if the cloud temporarily has no capacity there, because
        each move is a change of the job's record.
        """
        remaining = {zone: cap - self.added[zone] for zone, cap in self._caps.items()}
        scalable = {zone: weight for zone, weight in self._weights.items() if can_scale_out(zone)} or self._weights
        unallocated = missing
        for zone, allocated in self._allocated.items():
            kept = max(0, min(unallocated, allocated - self.added[zone], remaining[zone]))
            self.added[zone] += kept
            unallocated -= kept
        remaining_after = {zone: cap - self.added[zone] for zone, cap in self._caps.items()}
        for zone, share in split_by_weight(unallocated, scalable, remaining_after).items():
            self.added[zone] += share
        return [
            UnmetDemand(self._queued_job, zone, tasks)
            for zone, tasks in split_by_weight(missing, scalable, remaining).items()
            if tasks
        ]

    def _fill(self, zone: Zone, max_tasks: int) -> int:
        """Allocate capacity of the zone for up to `max_tasks` tasks and add them; return how many were added."""
        max_tasks = min(max_tasks, self._caps[zone] - self.added[zone])
        if max_tasks <= 0:
            return 0
        placements = self._capacity_index.fill(self._queued_job.record, zone, max_tasks, urgent=self._queued_job.urgent)
        tasks = sum(placement.count for placement in placements)
        self.added[zone] += tasks
        self.placements += placements
        return tasks


def _allowed_zones(
    record: JobRecord,
    zones: Mapping[Zone, float],
    placed: Mapping[Zone, int],
    capacity_index: CapacityIndex,
    missing: int,
) -> dict[Zone, float]:
    """Return the weights of the zones that a job may use; a gang or one-zone job may use a single zone."""
    spec = record.spec
    weights = {zone: weight for zone, weight in zones.items() if spec.zone in (None, zone)}
    if not (spec.one_zone or spec.gang):
        return weights
    occupied = [zone for zone, tasks in placed.items() if tasks][:1]
    if occupied:
        return {zone: weights[zone] for zone in occupied if zone in weights}
    if len(weights) <= 1:
        return weights
    free = {zone: capacity_index.count_fitting(spec, zone, missing) for zone in weights}
    best = max(weights, key=lambda zone: (min(free[zone], missing), record.allocation.get(zone, 0) > 0))
    return {best: weights[best]}
