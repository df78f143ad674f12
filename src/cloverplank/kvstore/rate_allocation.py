"""Division of the store's rate limits, which hold for all controllers together, according to their roles and load."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from cloverplank.basic_types import NodeId, Zone
from cloverplank.kvstore.client import StoreClient
from cloverplank.kvstore.controller_lease import ControllerLease
from cloverplank.kvstore.transaction_queue import TransactionQueue
from cloverplank.kvstore.watch_cache import WatchCache
from cloverplank.settings.platform import StateLimits

BASE_WEIGHT = 1.0
LEADER_WEIGHT = 2.0
OWNER_WEIGHT = 2.0  # for the owner of all shards; less in proportion for an owner of some
EQUAL_FRACTION = 0.3  # fraction of the change rate that is split evenly; the rest is split by demand
WATCH_FRACTION = 0.3  # fraction of the request rate that is used for watches
WATCH_WEIGHT = 3.0  # the leader and shard owners wait for the events of every job; others only keep their caches fresh
MIN_WATCH_INTERVAL_S = 0.03


class _Weights(Struct, frozen=True):
    """Weights by which requests and watches are shared among the controllers."""

    requests: dict[NodeId, float]
    watches: dict[NodeId, float]


def initial_watch_interval(limits: StateLimits, controllers: int) -> float:
    """Return the seconds between two watches until the roles of the other controllers are known."""
    return max(MIN_WATCH_INTERVAL_S, controllers / (WATCH_FRACTION * limits.rps))


class RateAllocator:
    """Sets the rates of this controller's requests, changes and watches.

    `demand_of` returns the changes per second that a peer needs, according to its gossip.
    """

    def __init__(
        self,
        *,
        limits: StateLimits,
        zones: list[Zone],
        controller_lease: ControllerLease,
        client: StoreClient,
        watch_cache: WatchCache,
        queue: TransactionQueue,
        demand_of: Callable[[NodeId], float],
    ) -> None:
        self._limits = limits
        self._zones = zones
        self._controller_lease = controller_lease
        self._client = client
        self._watch_cache = watch_cache
        self._queue = queue
        self._demand_of = demand_of

    def update(self) -> None:
        """Divide the limits among the current members and apply this controller's share."""
        weights = self._weights()
        node_id = self._controller_lease.node_id
        self._client.request_tokens.rate = self._limits.rps * weights.requests[node_id] / sum(weights.requests.values())
        demands = {node: weight + self._demand_of(node) for node, weight in weights.requests.items()}
        demands[node_id] = weights.requests[node_id] + self._queue.demand()
        changes_share = EQUAL_FRACTION / len(demands) + (1 - EQUAL_FRACTION) * demands[node_id] / sum(demands.values())
        self._client.change_tokens.rate = self._limits.write_rps * changes_share
        watches_per_s = WATCH_FRACTION * self._limits.rps * weights.watches[node_id] / sum(weights.watches.values())
        self._watch_cache.watch_interval_s = max(MIN_WATCH_INTERVAL_S, 1 / watches_per_s)

    def _weights(self) -> _Weights:
        members = set(self._controller_lease.members()) | {self._controller_lease.node_id}
        requests = dict.fromkeys(members, BASE_WEIGHT)
        watches = dict.fromkeys(members, BASE_WEIGHT)
        leader = self._controller_lease.leader()
        if leader is not None and leader.record.node in requests:
            requests[NodeId(leader.record.node)] += LEADER_WEIGHT
            watches[NodeId(leader.record.node)] += WATCH_WEIGHT
        for zone in self._zones:
            owner = self._controller_lease.shard_owner(zone)
            if owner in requests:
                requests[owner] += OWNER_WEIGHT / len(self._zones)
                watches[owner] += WATCH_WEIGHT
        return _Weights(requests, watches)
