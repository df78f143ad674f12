"""The inputs of a controller: settings, clock, network and randomness, and values derived from the settings."""

from __future__ import annotations

import random
from dataclasses import dataclass

from cloverplank.basic_types import MS_PER_SECOND, Clock, NodeId, Zone
from cloverplank.feature_gates import NEWEST_VERSION
from cloverplank.jobs.size_limits import RecordSizeLimits
from cloverplank.kvstore.controller_lease import LeaseTimes
from cloverplank.load_meter import LoadMeter
from cloverplank.net.messages import HttpClient
from cloverplank.rollout.committed import CommittedRollout
from cloverplank.settings.operator import OperatorSettings
from cloverplank.settings.platform import PlatformSettings, StateLimits, contact_bound
from cloverplank.shard.shard_types import ShardLimits

MAX_HEADROOM_WAIT_S = 10.0  # classes with a longer target wait need no headroom: a machine can boot within that time


@dataclass(frozen=True, kw_only=True)
class Environment:
    """The external inputs of a controller, and values derived from its settings."""

    platform: PlatformSettings
    operator: OperatorSettings
    clock: Clock
    http: HttpClient
    rng: random.Random
    meter: LoadMeter

    @property
    def node_id(self) -> NodeId:
        """The name of this controller."""
        return NodeId(self.platform.label)

    @property
    def zone(self) -> Zone:
        """The zone of this controller."""
        return Zone(self.platform.location)

    @property
    def peers(self) -> list[NodeId]:
        """The names of the other controllers."""
        return [NodeId(peer.label) for peer in self.platform.peers]

    @property
    def zones(self) -> list[Zone]:
        """The zones of the deployment."""
        return [Zone(zone) for zone in self.platform.facts.zones]

    @property
    def store_limits(self) -> StateLimits:
        """The limits of the store that are valid both now and after an announced change."""
        return self.platform.facts.state.lowest()

    def lease_times(self) -> LeaseTimes:
        """Return the durations of this controller's lease.

        The lease is at most as long as the grace period, which bounds the time without contact to the store: a lease
        that is still valid by the local clock would otherwise extend that bound.
        """
        workers = self.platform.facts.workers
        operator = self.operator
        grace_s = contact_bound(
            workers.cancel_s, workers.lease_s, operator.hold_on_margin_s, operator.controller_lease_s
        )
        return LeaseTimes(lease_s=min(operator.controller_lease_s, grace_s), grace_s=grace_s)

    def rollout_goal(self) -> int | None:
        """Return the cluster version requested by the operators, or None if staged rollouts are disabled."""
        settings = self.operator.rollout
        if not settings.enabled:
            return None
        return NEWEST_VERSION if settings.goal is None else settings.goal

    def record_size_limits(self, committed: CommittedRollout) -> RecordSizeLimits:
        """Return the size limits of stored values, now and after an announced change of the store's limits."""
        return RecordSizeLimits(
            self.platform.facts.state.value_bytes(),
            self.store_limits.value_bytes(),
            committed.compact_allowed,
            committed.may_stay_compact,
        )

    def classes_with_headroom(self) -> set[str]:
        """Return the job classes whose target wait is at most MAX_HEADROOM_WAIT_S."""
        return {
            objective.job_class
            for objective in self.platform.facts.objectives
            if objective.kind == "wait" and objective.job_class and objective.within_s <= MAX_HEADROOM_WAIT_S
        }

    def finish_within_s(self) -> dict[str, list[float]]:
        """Return the target times in seconds for finishing jobs, by job class."""
        within_s: dict[str, list[float]] = {}
        for objective in self.platform.facts.objectives:
            if objective.kind == "finished" and objective.within_s > 0:
                within_s.setdefault(objective.job_class, []).append(objective.within_s)
        return within_s

    def controller_zones(self) -> dict[NodeId, Zone]:
        """Return the zone of each configured controller."""
        zones = {NodeId(peer.label): Zone(peer.location) for peer in self.platform.peers}
        return {self.node_id: self.zone, **zones}

    def shard_limits(self, size_limits: RecordSizeLimits) -> ShardLimits:
        """Return the time, size and rate limits for a shard owner."""
        workers, operator = self.platform.facts.workers, self.operator
        interval_s = workers.heartbeat_interval_s
        return ShardLimits(
            heartbeat_interval_s=interval_s,
            lease_s=workers.lease_s,
            grace_s=self.lease_times().grace_s,
            taint_after_s=operator.taint_after_s or max(3 * interval_s, workers.lease_s),
            suspect_after_s=operator.no_new_after_reports * interval_s,
            size_limits=size_limits,
            write_rps=self.store_limits.write_rps,
            eviction_limit_ms=int(operator.eviction_limit_s * MS_PER_SECOND),
            probe_after_s=operator.release_silent_reports * interval_s,
        )
