"""Consolidation: moves replicas off machines whose few tasks fit elsewhere, so that these can be scaled in."""

from __future__ import annotations

import logging
from functools import partial

from msgspec import Struct

from cloverplank.basic_types import NEVER, JobId, MachineId, MonotonicTime
from cloverplank.jobs.records import Phase
from cloverplank.jobs.store import CachedJob
from cloverplank.scheduling.capacity import CapacityIndex, FreeCapacity, fit_count
from cloverplank.scheduling.committed_headroom import CommittedHeadroom
from cloverplank.shard.capacity import ShardCapacity
from cloverplank.shard.machine import Health, Machine
from cloverplank.shard.shard_types import placed_refs, refs_of_run
from cloverplank.shard.state import ShardState
from cloverplank.shard.task_stops import TaskStops

log = logging.getLogger(__name__)

SCAN_INTERVAL_S = 3.0  # minimum time between scans for machines to empty
MOVE_INTERVAL_S = 1.0  # minimum time between moving two replicas off the same machine
# Minimum time between scans for replicas to move, because each scan indexes the capacity of all machines.
MOVE_SCAN_INTERVAL_S = 0.5
MAX_MOVE_WAIT_S = 30.0  # emptying a machine is given up if its next move has to wait for longer
MIN_REPLICA_AGE_S = 35.0  # younger replicas are not moved
MAX_FIT_ATTEMPTS_PER_SCAN = 8  # machines per scan whose replicas are tentatively allocated elsewhere
MACHINES_PER_CONSOLIDATION = 40  # one machine is emptied at a time, and one more per this many in the shard
MOSTLY_USED_FRACTION = 0.5  # machines with a larger share of their cpus in use are tried last


class ConsolidationCandidate(Struct, order=True):
    """A machine in use. Sorting by the fields in order puts the most expensive and the least used machines first."""

    is_mostly_used: bool
    negative_cpu_price: float
    used_cpus: float
    machine: MachineId


class Consolidation:
    """Empties machines of one shard, one replica at a time.

    A replica is moved only to a machine that has its image, so that it is down for two transactions and not for an
    image pull.
    """

    def __init__(self, state: ShardState, *, capacity: ShardCapacity, stops: TaskStops) -> None:
        self._state = state
        self._capacity = capacity
        self._stops = stops
        self._emptying = state.emptying
        self._scanned_at = state.clock.monotonic()
        self._moves_scanned_at = NEVER

    def run(self, headroom: CommittedHeadroom, *, replicas_lack_capacity: bool) -> None:
        """Move replicas off the machines being emptied, and periodically choose more machines to empty.

        Stops emptying machines while replicas lack capacity.
        """
        if replicas_lack_capacity:
            self._emptying.clear()
            return
        now = self._state.clock.monotonic()
        if self._emptying and now - self._moves_scanned_at >= MOVE_SCAN_INTERVAL_S:
            self._moves_scanned_at = now
            self._move_replicas(headroom, now)
        if now - self._scanned_at >= SCAN_INTERVAL_S:
            self._scanned_at = now
            max_emptying = 1 + len(self._state.machines) // MACHINES_PER_CONSOLIDATION
            if len(self._emptying) < max_emptying:
                self._scan(headroom, max_emptying, now)

    def _move_replicas(self, headroom: CommittedHeadroom, now: MonotonicTime) -> None:
        """Stop one replica on each machine being emptied, unless a replica that was moved before is not running yet."""
        state = self._state
        capacity_index: CapacityIndex | None = None
        for name in list(self._emptying):
            machine = state.machines.get(name)
            if machine is None or machine.health is not Health.UP or not state.store.jobs_on(name):
                del self._emptying[name]
                continue
            if now - self._emptying[name] < MOVE_INTERVAL_S:
                continue
            if any(not self._all_replicas_running(view) for view in state.store.jobs_on(name)):
                self._give_up_if_stuck(name, now)
                continue
            self._emptying[name] = now
            views = self._movable_jobs(machine, now)
            if capacity_index is None:
                capacity_index = self._capacity.index()
                headroom.reserve(capacity_index, [state.zone])
            if views is None or not self._allocate_elsewhere(views, machine, capacity_index):
                del self._emptying[name]
                continue
            ref = placed_refs(views[0].record, name)[0]
            self._stops.stop(ref, machine, grace_s=0.0, reason="consolidation")

    def _give_up_if_stuck(self, name: MachineId, now: MonotonicTime) -> None:
        """Let a machine accept tasks again if its next move has waited for long: a missing replica may stay so."""
        if now - self._emptying[name] > MAX_MOVE_WAIT_S:
            log.info("consolidation: no longer emptying machine %s: a replica is missing", name)
            del self._emptying[name]

    def _all_replicas_running(self, view: CachedJob) -> bool:
        """Return whether all replicas of a job run, so that moving one leaves only that one missing."""
        state = self._state
        return (
            not view.pending
            and view.record.missing_count() == 0
            and all(
                ref not in state.stops and state.is_running(ref, run.machine)
                for run in view.record.runs
                if run.zone == state.zone
                for ref in refs_of_run(view.record, run)
            )
        )

    def _movable_jobs(self, machine: Machine, now: MonotonicTime) -> list[CachedJob] | None:
        """Return the jobs on a machine, or None unless all its tasks are replicas older than MIN_REPLICA_AGE_S."""
        views = self._state.store.jobs_on(machine.id)
        if not views or any(not view.record.spec.service or view.record.phase is not Phase.OPEN for view in views):
            return None
        if any(now - machine.first_seen.get(ref, now) < MIN_REPLICA_AGE_S for ref in machine.tasks):
            return None
        return views

    def _may_fit_elsewhere(self, views: list[CachedJob], name: MachineId, capacity_index: CapacityIndex) -> bool:
        """Return whether each job on its own fits on other machines, before headroom is reserved."""
        for view in views:
            spec, tasks = view.record.spec, view.staged.placed_on(name)
            for capacity in capacity_index.candidates(spec, self._state.zone):
                if _may_take_over(name, spec.image, capacity):
                    tasks -= fit_count(spec, capacity)
                    if tasks <= 0:
                        break
            if tasks > 0:
                return False
        return True

    def _allocate_elsewhere(self, views: list[CachedJob], machine: Machine, capacity_index: CapacityIndex) -> bool:
        """Allocate the tasks of a machine on other machines; return whether all of them fit."""
        for view in views:
            tasks = view.staged.placed_on(machine.id)
            allowed = partial(_may_take_over, machine.id, view.record.spec.image)
            placements = capacity_index.fill(view.record, self._state.zone, tasks, allowed=allowed)
            if sum(placement.count for placement in placements) < tasks:
                return False
        return True

    def _scan(self, headroom: CommittedHeadroom, max_emptying: int, now: MonotonicTime) -> None:
        """Choose the most expensive and least used machines whose replicas fit on others that have their images."""
        state = self._state
        capacity_index = self._capacity.index()
        unreserved: CapacityIndex | None = None
        attempts = 0
        running_cache: dict[JobId, bool] = {}
        for candidate in self._candidates(capacity_index):
            name = candidate.machine
            machine = state.machines[name]
            views = self._movable_jobs(machine, now)
            if views is None or not all(self._all_replicas_running_cached(view, running_cache) for view in views):
                continue
            if len(self._emptying) >= max_emptying:
                return
            if not self._may_fit_elsewhere(views, name, capacity_index):
                continue  # rejected without building new indexes, which is expensive with hundreds of machines
            attempts += 1
            if attempts > MAX_FIT_ATTEMPTS_PER_SCAN:
                return
            if unreserved is None:
                unreserved = capacity_index.copy()
                headroom.reserve(unreserved, [state.zone])
            # The machine itself is excluded, because headroom must have its capacity elsewhere, too.
            remaining_index = capacity_index.without(name)
            if unreserved.by_name[name].cpus < capacity_index.by_name[name].cpus:
                target_index = remaining_index.copy()
                headroom.reserve(target_index, [state.zone])
            else:
                target_index = unreserved.without(name).copy()
            if self._allocate_elsewhere(views, machine, target_index):
                capacity_index, unreserved = remaining_index, None
                self._emptying[name] = MonotonicTime(now - MOVE_INTERVAL_S)
                log.info("consolidation: emptying machine %s", name)

    def _candidates(self, capacity_index: CapacityIndex) -> list[ConsolidationCandidate]:
        """Return the machines in use, in the order in which they are considered."""
        machine_types = self._state.machine_types()
        candidates = []
        for capacity in capacity_index:
            if capacity.empty:
                continue
            machine_type = machine_types[capacity.type]
            used_cpus = machine_type.cpus - capacity.cpus
            price = machine_type.spot_price or machine_type.price if capacity.spot else machine_type.price
            candidates.append(
                ConsolidationCandidate(
                    used_cpus / machine_type.cpus > MOSTLY_USED_FRACTION,
                    -(price / max(1.0, machine_type.cpus)),
                    used_cpus,
                    capacity.machine,
                )
            )
        return sorted(candidates)

    def _all_replicas_running_cached(self, view: CachedJob, cache: dict[JobId, bool]) -> bool:
        """Return `_all_replicas_running`, computed once per scan for each job: its replicas are on many machines."""
        result = cache.get(view.id)
        if result is None:
            result = cache[view.id] = self._all_replicas_running(view)
        return result


def _may_take_over(source: MachineId, image: str, capacity: FreeCapacity) -> bool:
    """Return whether the capacity is that of a machine other than `source` that is in use and has the image."""
    return capacity.machine != source and not capacity.empty and image in capacity.images
