"""The composition root: builds the parts of a controller and connects them."""

from __future__ import annotations

import asyncio
import random

from cloverplank.autoscaling.cloud import CloudClient
from cloverplank.autoscaling.draining import DrainingMachines, is_drain_key
from cloverplank.autoscaling.headroom_reader import HeadroomReader
from cloverplank.autoscaling.registry import MachineRegistry
from cloverplank.basic_types import Clock, FencingToken, JobId, MonotonicTime, Zone
from cloverplank.controller.builders import (
    build_job_queue,
    build_rate_allocator,
    build_rollout,
    build_users,
    build_zone_health_monitor,
    zone_has_workers,
)
from cloverplank.controller.environment import Environment
from cloverplank.controller.machine_types import MachineTypeCatalog
from cloverplank.controller.reconcile_loop import ReconcileLoop
from cloverplank.controller.routing import Router
from cloverplank.controller.scheduling_cycle import SchedulingCycle
from cloverplank.controller.scheduling_loop import SchedulingLoop
from cloverplank.controller.store_access import StoreListeners, build_store_access
from cloverplank.jobs.store import CachedJob
from cloverplank.kvstore import keys
from cloverplank.kvstore.controller_lease import LeaseState
from cloverplank.leader.cluster_machines import ClusterMachines
from cloverplank.leader.dependency_reconciler import DependencyReconciler
from cloverplank.leader.handover import ShardHandover
from cloverplank.leader.leader import Leader, LeaderDependencies
from cloverplank.leader.shard_assignment import ShardAssigner
from cloverplank.load_meter import LoadMeter, NoMeter, Part
from cloverplank.membership.failure_detector import FailureDetector, WorkerCounts
from cloverplank.membership.gossip import PeerGossip
from cloverplank.net.messages import HttpClient
from cloverplank.scheduling.failure_history import FailureHistory
from cloverplank.scheduling.headroom import HeadroomEstimator
from cloverplank.scheduling.objectives import ServiceLevelObjectives
from cloverplank.scheduling.turnover import ArrayTurnover
from cloverplank.settings.operator import OperatorSettings
from cloverplank.settings.platform import PlatformSettings
from cloverplank.shard.heartbeat_handler import HeartbeatHandler
from cloverplank.shard.owned_shards import OwnedShards
from cloverplank.shard.shard import Shard
from cloverplank.shard.state import ShardServices


class Controller:
    """One controller with all its parts.

    Parts notify each other of changes through the callbacks that are passed to them here.
    """

    def __init__(
        self,
        platform: PlatformSettings,
        operator: OperatorSettings,
        *,
        clock: Clock,
        http: HttpClient,
        rng: random.Random,
        meter: LoadMeter | None = None,
    ) -> None:
        self._environment = Environment(
            platform=platform, operator=operator, clock=clock, http=http, rng=rng, meter=meter or NoMeter()
        )
        self._build_store_access()
        self._build_machines()
        self._build_shards()
        self._build_membership()
        self._build_leader()
        self._build_serving()
        self._build_loops()

    # -- construction

    def _build_store_access(self) -> None:
        """Build the parts that access the key-value store: client, watch cache, transaction queue and lease."""
        environment = self._environment
        self._access = access = build_store_access(
            environment,
            StoreListeners(
                job_changed=self._on_job_changed,
                key_changed=self._on_key_changed,
                complete_until=self._complete_until,
                lease_changed=self.request_cycle,
            ),
        )
        self.client = access.client
        self.store = access.jobs
        self.watch_cache = access.watch_cache
        self.queue = access.queue
        self.reader = access.reader
        self.controller_lease = access.controller_lease

    def _build_machines(self) -> None:
        """Build the machine registry, cloud client, machine type catalog, headroom and objectives."""
        environment = self._environment
        operator, facts = environment.operator, environment.platform.facts
        self._cloud = CloudClient(
            environment.http, environment.platform.outside.cloud, environment.clock, facts.cloud.rps
        )
        self._machine_types = MachineTypeCatalog(self._cloud, self.controller_lease, self.watch_cache, self.queue)
        self.registry = MachineRegistry(environment.clock)
        self._draining = DrainingMachines(self.watch_cache)
        self.failures = FailureHistory(environment.clock, int(operator.faulty_errors))
        self.headroom_estimator = HeadroomEstimator(
            environment.classes_with_headroom(), operator.headroom_factor, operator.headroom_least_tasks
        )
        self._headroom_reader = HeadroomReader(self.watch_cache)
        self._turnover = ArrayTurnover()
        self.objectives = ServiceLevelObjectives(
            environment.finish_within_s(), operator.patience, self.watch_cache.effective_priorities.of
        )

    def _build_shards(self) -> None:
        environment = self._environment
        self._shard_limits = environment.shard_limits(self._access.size_limits)
        self.owned = OwnedShards(
            environment.zones,
            clock=environment.clock,
            controller_lease=self.controller_lease,
            watch_cache=self.watch_cache,
            queue=self.queue,
            registry=self.registry,
            failures=self.failures,
            limits=self._shard_limits,
            make_shard=self._make_shard,
        )
        self.shards = self.owned.shards

    def _build_membership(self) -> None:
        environment = self._environment
        self.failure_detector = FailureDetector(
            environment.operator.suspicion,
            environment.peers,
            environment.zones,
            clock=environment.clock,
            controller_lease=self.controller_lease,
            watch_cache=self.watch_cache,
            workers_of=self._count_workers,
            broadcast=self._broadcast,
        )
        self.gossip = PeerGossip(
            environment.platform,
            clock=environment.clock,
            http=environment.http,
            rng=environment.rng,
            controller_lease=self.controller_lease,
            client=self.client,
            queue=self.queue,
            store=self.store,
            registry=self.registry,
            failures=self.failures,
            owned=self.owned,
            observer=self.failure_detector,
        )

    def _build_leader(self) -> None:
        environment = self._environment
        shard_assigner = ShardAssigner(
            environment.zones,
            cpu_cores=environment.platform.facts.machine_limits.cpu,
            controller_zones=environment.controller_zones(),
            clock=environment.clock,
            controller_lease=self.controller_lease,
            watch_cache=self.watch_cache,
            queue=self.queue,
            peers=self.gossip.received,
            is_damped=self.failure_detector.is_damped,
            has_workers=zone_has_workers(self.gossip, self.registry, self.store),
        )
        self.leader = Leader(
            environment.platform,
            environment.operator,
            LeaderDependencies(
                clock=environment.clock,
                controller_lease=self.controller_lease,
                watch_cache=self.watch_cache,
                queue=self.queue,
                machines=ClusterMachines(self.registry, self._draining, self._machine_types.current),
                cloud=self._cloud,
                headroom_estimator=self.headroom_estimator,
                headroom_reader=self._headroom_reader,
                turnover=self._turnover,
                failures=self.failures,
                objectives=self.objectives,
                shard_assigner=shard_assigner,
            ),
        )
        self.handover = ShardHandover(
            environment.zones,
            clock=environment.clock,
            controller_lease=self.controller_lease,
            watch_cache=self.watch_cache,
            queue=self.queue,
            committed=self._access.committed,
            shard_assigner=shard_assigner,
            detector=self.failure_detector,
        )
        self.dependency_reconciler = DependencyReconciler(
            clock=environment.clock,
            controller_lease=self.controller_lease,
            watch_cache=self.watch_cache,
            queue=self.queue,
            reader=self.reader,
        )

    def _build_serving(self) -> None:
        environment = self._environment
        self.heartbeat_handler = HeartbeatHandler(
            controller_lease=self.controller_lease,
            watch_cache=self.watch_cache,
            registry=self.registry,
            gossip=self.gossip,
            owned=self.owned,
            request_cycle=self.request_cycle,
        )
        users = build_users(
            environment,
            self._access,
            machine_types=self._machine_types.current,
            cancelled=self.gossip.announce_cancelled,
        )
        self.router = Router(
            meter=environment.meter,
            controller_lease=self.controller_lease,
            client=self.client,
            watch_cache=self.watch_cache,
            machine_types=self._machine_types,
            heartbeat_handler=self.heartbeat_handler,
            users=users,
            gossip=self.gossip,
        )

    def _build_loops(self) -> None:
        environment = self._environment
        zone_health_monitor = build_zone_health_monitor(environment, self._access, self.registry)
        cycle = SchedulingCycle(
            clock=environment.clock,
            meter=environment.meter,
            controller_lease=self.controller_lease,
            owned=self.owned,
            registry=self.registry,
            zone_health_monitor=zone_health_monitor,
            job_queue=build_job_queue(environment, self._access, self.objectives),
            objectives=self.objectives,
            headroom_reader=self._headroom_reader,
            leader=self.leader,
        )
        self.scheduling_loop = SchedulingLoop(
            environment.clock, environment.platform.facts.machine_limits.cpu, cycle.steps
        )
        self._reconcile_loop = ReconcileLoop(
            rng=environment.rng,
            controller_lease=self.controller_lease,
            watch_cache=self.watch_cache,
            shard_assigner=self.leader.shard_assigner,
            rollout=build_rollout(environment, self._access),
            zone_health_monitor=zone_health_monitor,
            handover=self.handover,
            owned=self.owned,
            gossip=self.gossip,
            rate_allocator=build_rate_allocator(environment, self._access, self.gossip.demand_of),
        )

    def _make_shard(self, zone: Zone, token: FencingToken) -> Shard:
        environment = self._environment
        services = ShardServices(
            clock=environment.clock,
            store=self.store,
            queue=self.queue,
            http=environment.http,
            limits=self._shard_limits,
            machine_types=self._machine_types.current,
            draining=self._draining,
            request_cycle=self.request_cycle,
            meter=environment.meter,
            failures=self.failures,
            starts_at_once=self.headroom_estimator.serves,
            newest_token=self.controller_lease.newest_token,
        )
        return Shard(
            zone,
            token,
            services,
            may_start=lambda: self.controller_lease.refresh_state() is LeaseState.ACTIVE and zone in self.shards,
        )

    # -- callbacks of the parts

    def request_cycle(self) -> None:
        """Request a scheduling cycle after a change of the state."""
        self.scheduling_loop.request()

    def _on_job_changed(self, view: CachedJob | None, job: JobId) -> None:
        self._turnover.observe(view, job)
        if view is not None:
            self.headroom_estimator.observe(view.record)
            for shard in self.shards.values():
                shard.task_reconciler.job_changed(view)
        self.request_cycle()

    def _on_key_changed(self, key: str) -> None:
        self.owned.key_changed(key)
        if key == keys.LEADER:
            self.gossip.send_to_leader()
        elif key == keys.TYPES:
            self._machine_types.load_stored_copy()
        elif is_drain_key(key):
            for name in self._draining.apply_change(key):
                self.registry.remove_terminated(name)
                for shard in self.shards.values():
                    shard.machine_terminated(name)
        self.request_cycle()

    def _complete_until(self) -> MonotonicTime:
        return self.watch_cache.complete_until

    def _broadcast(self) -> None:
        self.gossip.broadcast()

    def _count_workers(self, zone: Zone, since: MonotonicTime) -> WorkerCounts:
        """Count the zone's workers that were up recently, and those that have sent a heartbeat here since `since`."""
        known = sum(
            entry.zone == zone and entry.last_contact_at is not None for entry in self.registry.entries.values()
        )
        return WorkerCounts(known, self.gossip.count_active_workers(zone, since))

    # -- operation

    async def run(self) -> None:
        """Run all background loops until one of them fails or the task is cancelled."""
        meter = self._environment.meter
        async with asyncio.TaskGroup() as loops:
            for loop in (
                meter.metered(Part.WATCH, self.watch_cache.run()),
                self.controller_lease.run(),
                meter.metered(Part.TRANSACTIONS, self.queue.run()),
                meter.metered(Part.CYCLE, self.scheduling_loop.run()),
                self._reconcile_loop.run(),
                self._machine_types.run(),
                meter.metered(Part.GOSSIP, self.gossip.run()),
                meter.metered(Part.SCALING, self.leader.run()),
                self.dependency_reconciler.run(),
                self.failure_detector.run(),
            ):
                loops.create_task(loop)
