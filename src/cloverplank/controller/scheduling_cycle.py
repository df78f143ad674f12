"""One scheduling cycle: the decisions of the leader and of the shard owners about the whole queue of jobs."""

from __future__ import annotations

from collections.abc import Iterator

from cloverplank.autoscaling.headroom_reader import HeadroomReader
from cloverplank.autoscaling.registry import MachineRegistry
from cloverplank.basic_types import NEVER, Clock
from cloverplank.controller.job_queue import JobQueue
from cloverplank.kvstore.controller_lease import ControllerLease
from cloverplank.leader.leader import Leader
from cloverplank.load_meter import LoadMeter, Part
from cloverplank.scheduling.objectives import ServiceLevelObjectives
from cloverplank.shard.owned_shards import OwnedShards
from cloverplank.zones.watch import ZoneHealthMonitor

# Minimum intervals between two updates of the owned shards' machines in the registry, on the leader and on followers.
LEADER_REGISTRY_INTERVAL_S = 0.5
FOLLOWER_REGISTRY_INTERVAL_S = 1.0


class SchedulingCycle:
    """Runs the leader's cycle and then the placement of each owned shard."""

    def __init__(
        self,
        *,
        clock: Clock,
        meter: LoadMeter,
        controller_lease: ControllerLease,
        owned: OwnedShards,
        registry: MachineRegistry,
        zone_health_monitor: ZoneHealthMonitor,
        job_queue: JobQueue,
        objectives: ServiceLevelObjectives,
        headroom_reader: HeadroomReader,
        leader: Leader,
    ) -> None:
        self._clock = clock
        self._meter = meter
        self._controller_lease = controller_lease
        self._owned = owned
        self._registry = registry
        self._zone_health_monitor = zone_health_monitor
        self._job_queue = job_queue
        self._objectives = objectives
        self._headroom_reader = headroom_reader
        self._leader = leader
        self._registry_updated_at = NEVER

    def steps(self, *, changed: bool) -> Iterator[None]:
        """Run one cycle in steps, so that requests can be served in between; each step uses the state at its start.

        If `changed` is false, only time-outs are checked.
        """
        shards = self._owned.shards
        self._owned.update()
        self._owned.check_former_owners()
        for shard in shards.values():
            shard.check_machines()
        is_leader = self._is_leader()
        if not changed or not (is_leader or shards):
            return
        yield
        self._update_registry()
        plan = self._zone_health_monitor.plan(self._objectives.time_left)
        queued_jobs = plan.arrange(self._job_queue.in_order())
        if is_leader:
            with self._meter.section(Part.LEADER_CYCLE):
                self._leader.run_cycle(queued_jobs, plan)
        for shard in list(shards.values()):
            yield
            with self._meter.section(Part.PLACEMENT):
                shard.place(queued_jobs, self._headroom_reader.current(), plan)
            yield
            with self._meter.section(Part.CONSOLIDATION):
                shard.consolidate(self._headroom_reader.current())
            shard.remove_completed_evictions()

    def _is_leader(self) -> bool:
        return self._controller_lease.leadership_revision() is not None

    def _update_registry(self) -> None:
        """Update the machines of the owned shards in the registry, as gossip does for a peer's machines."""
        now = self._clock.monotonic()
        # Evaluated for every shard, since the call clears the shard's flag. A lost machine is reported without waiting
        # for the interval, so that the leader can release it.
        any_newly_lost = any([shard.take_newly_lost() for shard in self._owned.shards.values()])
        interval_s = LEADER_REGISTRY_INTERVAL_S if self._is_leader() else FOLLOWER_REGISTRY_INTERVAL_S
        if not any_newly_lost and now - self._registry_updated_at < interval_s:
            return
        self._registry_updated_at = now
        for message in self._owned.machine_gossip():
            self._registry.apply_gossip(message)
