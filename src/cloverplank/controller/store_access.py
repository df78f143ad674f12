"""The parts of a controller that access the key-value store."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cloverplank.basic_types import JobId, MonotonicTime
from cloverplank.controller.environment import Environment
from cloverplank.jobs.size_limits import RecordSizeLimits
from cloverplank.jobs.store import CachedJob, JobStore
from cloverplank.kvstore.client import StoreClient
from cloverplank.kvstore.controller_lease import ControllerLease
from cloverplank.kvstore.linearizable_reader import LinearizableReader
from cloverplank.kvstore.rate_allocation import initial_watch_interval
from cloverplank.kvstore.token_bucket import TokenBucket
from cloverplank.kvstore.transaction_queue import TransactionQueue
from cloverplank.kvstore.watch_cache import WATCH_TIMEOUT_S, WatchCache
from cloverplank.rollout.committed import CommittedRollout
from cloverplank.rollout.fence import CommittedVersionFence

MIN_WRITE_BURST = 6.0  # changes allowed at once even at a low rate: the jobs of a DAG are submitted together
WATCH_TIMEOUT_LEASE_FRACTION = 0.375  # upper bound of a watch request's timeout, relative to the lease duration


@dataclass(frozen=True, kw_only=True)
class StoreListeners:
    """Callbacks for changes of jobs, keys and the lease.

    `complete_until` returns the time before which every committed change is in the watch cache.
    """

    job_changed: Callable[[CachedJob | None, JobId], None]
    key_changed: Callable[[str], None]
    complete_until: Callable[[], MonotonicTime]
    lease_changed: Callable[[], None]


@dataclass(frozen=True, kw_only=True)
class StoreAccess:
    """Access to the store: client, watch cache with the open jobs, reads, lease, and the queue for all changes."""

    client: StoreClient
    jobs: JobStore
    watch_cache: WatchCache
    committed: CommittedRollout
    size_limits: RecordSizeLimits
    queue: TransactionQueue
    reader: LinearizableReader
    controller_lease: ControllerLease


def build_store_access(environment: Environment, listeners: StoreListeners) -> StoreAccess:
    """Build the access to the store, with an even share of the store's limits per configured controller.

    The shares are adjusted later; at first nothing is known of the other controllers' demand.
    """
    clock, limits = environment.clock, environment.store_limits
    controllers = 1 + len(environment.peers)
    client = StoreClient(
        environment.http,
        environment.platform.outside.state,
        clock,
        TokenBucket(limits.rps / controllers, clock),
        TokenBucket(limits.write_rps / controllers, clock, min_burst=MIN_WRITE_BURST),
    )
    jobs = JobStore(changed=listeners.job_changed, complete_until=listeners.complete_until)
    watch_cache = WatchCache(
        client,
        jobs,
        clock,
        initial_watch_interval(limits, controllers),
        watch_timeout_s=min(WATCH_TIMEOUT_S, environment.lease_times().lease_s * WATCH_TIMEOUT_LEASE_FRACTION),
        changed=listeners.key_changed,
    )
    committed = CommittedRollout(watch_cache)
    size_limits = environment.record_size_limits(committed)
    return StoreAccess(
        client=client,
        jobs=jobs,
        watch_cache=watch_cache,
        committed=committed,
        size_limits=size_limits,
        queue=TransactionQueue(client, watch_cache, clock, size_limits, committed.write_conditions),
        reader=LinearizableReader(client, watch_cache, clock, limits.txn_ops),
        controller_lease=ControllerLease(
            environment.node_id,
            environment.zone,
            client=client,
            watch_cache=watch_cache,
            clock=clock,
            fence=CommittedVersionFence(client, committed),
            goal=environment.rollout_goal(),
            times=environment.lease_times(),
            changed=listeners.lease_changed,
        ),
    )
