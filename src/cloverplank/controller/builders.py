"""Builders for parts of a controller that need only its environment, its store access and its machine registry."""

from __future__ import annotations

from collections.abc import Callable

from cloverplank.api.blocked_jobs import BlockedJobResponses
from cloverplank.api.job_access import JobAccess
from cloverplank.api.submission import SubmissionLimits, Submissions
from cloverplank.api.users import JobRequestHandler
from cloverplank.autoscaling.registry import MachineRegistry
from cloverplank.basic_types import JobId, NodeId, Zone
from cloverplank.controller.environment import Environment
from cloverplank.controller.job_queue import JobQueue
from cloverplank.controller.store_access import StoreAccess
from cloverplank.jobs.store import JobStore
from cloverplank.kvstore.rate_allocation import RateAllocator
from cloverplank.membership.gossip import PeerGossip
from cloverplank.rollout.driver import Deployment, RolloutDriver
from cloverplank.rollout.migration import Migration
from cloverplank.scheduling.objectives import ServiceLevelObjectives
from cloverplank.scheduling.quotas import team_quotas
from cloverplank.wire.cloud import MachineType
from cloverplank.zones.observation import ZoneObserver
from cloverplank.zones.watch import ZoneHealthMonitor


def build_users(
    environment: Environment,
    access: StoreAccess,
    *,
    machine_types: Callable[[], dict[str, MachineType]],
    cancelled: Callable[[JobId], None],
) -> JobRequestHandler:
    """Build the handlers of the users' API. `cancelled` is called with the job after a cancellation was committed."""
    facts = environment.platform.facts
    job_access = JobAccess(
        clock=environment.clock,
        client=access.client,
        watch_cache=access.watch_cache,
        queue=access.queue,
        reader=access.reader,
    )
    limits = SubmissionLimits(
        quotas=team_quotas(facts.teams),
        machine_types=machine_types,
        zones=list(facts.zones),
        value_bytes=access.size_limits.lowest_value_bytes,
    )
    blocked_jobs = BlockedJobResponses(job_access, facts.workers.cancel_s)
    submissions = Submissions(job_access, limits, blocked_jobs)
    return JobRequestHandler(job_access, submissions, blocked_jobs, cancelled=cancelled)


def build_zone_health_monitor(
    environment: Environment, access: StoreAccess, registry: MachineRegistry
) -> ZoneHealthMonitor:
    """Build the health monitor of the zones, which derives their health from the machines in the registry."""
    observer = ZoneObserver(
        environment.zones,
        controller_zones=environment.controller_zones(),
        registry=registry,
        clock=environment.clock,
        heartbeat_interval_s=environment.platform.facts.workers.heartbeat_interval_s,
    )
    return ZoneHealthMonitor(
        environment.zones,
        environment.operator.zones,
        clock=environment.clock,
        controller_lease=access.controller_lease,
        watch_cache=access.watch_cache,
        queue=access.queue,
        committed=access.committed,
        observer=observer,
    )


def build_job_queue(environment: Environment, access: StoreAccess, objectives: ServiceLevelObjectives) -> JobQueue:
    """Build the queue of open jobs in scheduling order."""
    return JobQueue(
        environment.platform.facts.teams,
        clock=environment.clock,
        store=access.jobs,
        watch_cache=access.watch_cache,
        objectives=objectives,
    )


def build_rate_allocator(
    environment: Environment, access: StoreAccess, demand_of: Callable[[NodeId], float]
) -> RateAllocator:
    """Build the allocator of the store's rate limits. `demand_of`: returns the changes per second that a peer needs."""
    return RateAllocator(
        limits=environment.store_limits,
        zones=environment.zones,
        controller_lease=access.controller_lease,
        client=access.client,
        watch_cache=access.watch_cache,
        queue=access.queue,
        demand_of=demand_of,
    )


def build_rollout(environment: Environment, access: StoreAccess) -> RolloutDriver:
    """Build the driver of staged rollouts, which changes the cluster version."""
    controllers = frozenset(NodeId(name) for name in environment.platform.controllers())
    return RolloutDriver(
        Deployment(controllers, environment.store_limits.txn_ops),
        environment.operator.rollout,
        clock=environment.clock,
        controller_lease=access.controller_lease,
        watch_cache=access.watch_cache,
        queue=access.queue,
        committed=access.committed,
        migration=Migration(access.watch_cache, access.queue, environment.clock, access.size_limits),
    )


def zone_has_workers(gossip: PeerGossip, registry: MachineRegistry, jobs: JobStore) -> Callable[[Zone], bool]:
    """Return a predicate that tells whether a zone has workers.

    A zone has workers if this controller or a peer has received a heartbeat from one of its machines, or if committed
    records place tasks there.
    """

    def has_workers(zone: Zone) -> bool:
        return (
            gossip.has_active_workers(zone)
            or any(entry.zone == zone and entry.last_contact_at is not None for entry in registry.entries.values())
            or any(view.record.placed(zone) for view in jobs)
        )

    return has_workers
