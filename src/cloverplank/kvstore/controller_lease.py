"""This controller's lease in the key-value store, and what is attached to it: leadership and shards.

A shard owner answers its zone's workers. While the store is unreachable it goes on answering them for a bounded time
since its last contact (`LeaseState.GRACE`), without starting anything.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from msgspec import Struct

from cloverplank.basic_types import (
    MAX_CLOCK_DRIFT,
    NEVER,
    Clock,
    FencingToken,
    LeaseId,
    ModRevision,
    MonotonicTime,
    NodeId,
    Zone,
)
from cloverplank.feature_gates import NEWEST_VERSION, OLDEST_VERSION
from cloverplank.kvstore import keys
from cloverplank.kvstore.client import StoreClient
from cloverplank.kvstore.errors import (
    LeaseExpiredError,
    OutcomeUnknownError,
    StoreError,
    StoreUnavailableError,
    TransactionRejectedError,
)
from cloverplank.kvstore.watch_cache import Versioned, WatchCache
from cloverplank.records.cluster import LeaderRecord, NodeRecord, ShardRecord
from cloverplank.wire.kvstore import Compare, Delete, KeyValue, Put, Transaction

JOIN_INTERVAL_S = 0.1
INCOMPATIBLE_RETRY_S = 1.0  # between two reads of a cluster version that this process does not support
FAILED_RENEWAL_RETRY_S = 0.3
RENEWALS_PER_LEASE = 5
RENEWAL_TIMEOUTS_PER_LEASE = 4
LEASE_MARGIN_S = 0.05  # by which the lease ends earlier here than in the store

log = logging.getLogger(__name__)


class LeaseState(Enum):
    """What this controller may do, by the time since its last contact with the store."""

    JOINING = "joining"  # no lease yet
    ACTIVE = "active"  # the lease is valid by the local clock
    GRACE = "grace"  # the lease may have expired; workers are answered, nothing is started
    EXPIRED = "expired"  # too long without contact: nothing may be answered


class Admission(Struct, frozen=True):
    """Whether a process may join the cluster, and the compares that a join is conditional on."""

    refusal: str | None
    conditions: list[Compare]


class VersionFence(Protocol):
    """Keeps a process out of the cluster that does not support the committed version."""

    async def admission(self) -> Admission:
        """Read the committed version from the store. Raises StoreError without it."""

    def refusal(self) -> str | None:
        """Return why this process may not serve, as far as it knows; None where it may."""

    def check_committed(self) -> str | None:
        """Return the same for a process that has joined, by its watch cache."""

    def refuse(self, refusal: str | None) -> None:
        """Note why this process may not join; None: it may."""


@dataclass(frozen=True, kw_only=True)
class LeaseTimes:
    """Seconds for which a lease is valid, and for which its owner answers workers without contact."""

    lease_s: float
    grace_s: float


class ControllerLease:
    """The lease of this controller with its states, leadership, and the shards assigned to it.

    `goal` is the cluster version that the operators want; None where rollouts are switched off. `changed` is called
    whenever the state of the lease has changed.
    """

    def __init__(
        self,
        node_id: NodeId,
        zone: Zone,
        *,
        client: StoreClient,
        watch_cache: WatchCache,
        clock: Clock,
        fence: VersionFence,
        goal: int | None,
        times: LeaseTimes,
        changed: Callable[[], None],
    ) -> None:
        self.node_id = node_id
        self.fence = fence
        self.lease_s = times.lease_s
        self.grace_s = times.grace_s
        self.lease: LeaseId | None = None
        self.state = LeaseState.JOINING
        self.renewed_at = NEVER  # when the last successful renewal was sent
        self.declines_assignments_until = NEVER  # neither leadership nor shards are acquired before
        self._zone = zone
        self._goal = goal
        self._client = client
        self._watch_cache = watch_cache
        self._clock = clock
        self._changed = changed

    # -- queries

    def contact_at(self) -> MonotonicTime:
        """Return the moment before which every committed change is known to this controller."""
        return min(self.renewed_at, self._watch_cache.complete_until)

    def check(self) -> LeaseState:
        """Return the state after bringing it up to date with the clock."""
        if self.lease is None and self.state in (LeaseState.JOINING, LeaseState.EXPIRED):
            return self.state
        silent_s = self._clock.monotonic() - self.contact_at()
        if self.lease is not None and silent_s < self.lease_s * (1 - 2 * MAX_CLOCK_DRIFT) - LEASE_MARGIN_S:
            self._enter(LeaseState.ACTIVE)
        elif silent_s < self.grace_s:
            self._enter(LeaseState.GRACE)
        else:
            self._enter(LeaseState.EXPIRED)
        return self.state

    def _enter(self, state: LeaseState) -> None:
        if state is not self.state:
            log.info("lease: %s -> %s", self.state.value, state.value)
            self.state = state
            self._changed()

    def leader(self) -> Versioned[LeaderRecord] | None:
        """Return the leader's record with its mod revision, None without a leader."""
        return self._watch_cache.get(keys.LEADER, LeaderRecord)

    def leadership_revision(self) -> ModRevision | None:
        """Return the mod revision under which this controller leads, None where it may not act as the leader."""
        leader = self.leader()
        if leader is None or self.lease is None or leader.record.lease != self.lease:
            return None
        if self._watch_cache.revision < leader.mod_revision:
            return None  # what was committed before is not known yet
        return leader.mod_revision if self.check() is LeaseState.ACTIVE else None

    def assigned_token(self, zone: Zone) -> FencingToken | None:
        """Return the fencing token of a shard assigned to this controller, whether or not it may still use it."""
        shard = self._watch_cache.get(keys.shard(zone), ShardRecord)
        if shard is None or self.lease is None or shard.record.lease != self.lease:
            return None
        return FencingToken(shard.mod_revision)

    def shard_owner(self, zone: str) -> NodeId | None:
        """Return the controller that a zone's shard is assigned to."""
        shard = self._watch_cache.get(keys.shard(zone), ShardRecord)
        return None if shard is None else NodeId(shard.record.node)

    def members(self) -> dict[NodeId, NodeRecord]:
        """Return the controllers that have a lease."""
        nodes = self._watch_cache.list_records(keys.NODES, NodeRecord)
        return {NodeId(name): record for name, (record, _) in nodes.items() if record.is_live()}

    # -- the lease

    async def _join(self) -> None:
        """Get a lease if this program supports the committed version.

        A lease that a former process of this controller left behind is revoked first; the next call joins then.
        """
        key = keys.node(self.node_id)
        stored, admission = await asyncio.gather(self._client.get(key), self.fence.admission())
        refusal = admission.refusal
        if stored is not None:
            former = self._cached_node(stored)
            if former is not None and former.is_live():
                await self._revoke_former(former)
                return
            if former is None:
                refusal = f"{key} can't be read"
        self.fence.refuse(refusal)
        if refusal is None:
            # A record without a lease keeps out programs that don't support the version; it is replaced.
            unchanged = Compare(key, 0 if stored is None else stored.mod_revision)
            await self._register([unchanged, *admission.conditions])

    def _cached_node(self, stored: KeyValue) -> NodeRecord | None:
        key = keys.node(self.node_id)
        self._watch_cache.put(key, bytes(stored.value), ModRevision(stored.mod_revision))
        node = self._watch_cache.get(key, NodeRecord)
        return None if node is None else node.record

    async def _revoke_former(self, former: NodeRecord) -> None:
        if former.lease != self.lease:
            log.info("revoking lease %d of a former process", former.lease)
            await self._client.revoke_lease(LeaseId(former.lease))

    async def _register(self, conditions: list[Compare]) -> None:
        """Create a lease and write the record of this controller with it."""
        key = keys.node(self.node_id)
        sent_at = self._clock.monotonic()
        lease = await self._client.grant_lease(self.lease_s)
        record = NodeRecord(self._zone, lease, NEWEST_VERSION, OLDEST_VERSION, self._goal)
        try:
            response = await self._client.commit(Transaction(conditions, [Put(key, record, lease)]))
        except OutcomeUnknownError:
            # Executed late, it would name a lease that nobody renews, and others would take the lease that this
            # controller has by then for expired. Without the lease the store rejects it.
            await self._client.revoke_lease(lease)
            raise
        if response.conflicts:
            await self._client.revoke_lease(lease)
            return
        self.lease = lease
        self.renewed_at = sent_at
        self._watch_cache.put(key, record, ModRevision(response.revision))
        log.info("joined with lease %d", lease)
        self.check()
        self._changed()

    def _expire(self, reason: str) -> None:
        """Give up the lease, and with it leadership and shards: it does not exist any more."""
        log.info("lease %s expired: %s", self.lease, reason)
        self.lease = None
        self._enter(LeaseState.JOINING)
        self._changed()

    async def _revoke(self, lease: LeaseId, reason: str) -> None:
        """Revoke the own lease: this program does not support the committed version any more."""
        await self._client.revoke_lease(lease)
        self._expire(reason)

    async def run(self) -> None:
        """Join, renew the lease, and join again after it has expired. Never returns."""
        while True:
            try:
                pause_s = await self._join_or_renew()
            except (LeaseExpiredError, TransactionRejectedError) as err:
                pause_s = JOIN_INTERVAL_S if self.lease is None else self._renewal_interval_s()
                if self.lease is not None:
                    self._expire(str(err))
            except (StoreUnavailableError, OutcomeUnknownError) as err:
                log.debug("lease: %s", err)
                pause_s = FAILED_RENEWAL_RETRY_S
            self.check()
            await asyncio.sleep(pause_s)

    def _renewal_interval_s(self) -> float:
        return self.lease_s / RENEWALS_PER_LEASE

    async def _join_or_renew(self) -> float:
        """Take the next step, and return the seconds until the one after it."""
        if self.lease is None:
            await self._join()
            return JOIN_INTERVAL_S if self.fence.refusal() is None else INCOMPATIBLE_RETRY_S
        if (refusal := self.fence.check_committed()) is not None:
            await self._revoke(self.lease, refusal)
        else:
            sent_at = self._clock.monotonic()
            await self._client.renew_lease(self.lease, timeout=self.lease_s / RENEWAL_TIMEOUTS_PER_LEASE)
            self.renewed_at = sent_at
        return self._renewal_interval_s()

    # -- keys attached to the lease

    async def campaign(self) -> bool:
        """Acquire leadership if there is no leader. Return whether this controller was elected."""
        if (
            self.lease is None
            or self.check() is not LeaseState.ACTIVE
            or self._clock.monotonic() < self.declines_assignments_until
        ):
            return False
        if not self._watch_cache.loaded or self._watch_cache.mod_revision(keys.LEADER):
            return False
        record = LeaderRecord(self.node_id, self.lease)
        try:
            response = await self._client.commit(
                Transaction([Compare(keys.LEADER, 0)], [Put(keys.LEADER, record, self.lease)])
            )
        except StoreError:
            return False
        if response.conflicts:
            return False
        # The watch cache gets the record from the watch: by then it has all that was committed before, too.
        log.info("leading since revision %d", response.revision)
        return True

    async def release_key(self, key: str) -> None:
        """Delete a key attached to the own lease, so that another controller can have it."""
        mod_revision = self._watch_cache.mod_revision(key)
        if not mod_revision:
            return
        try:
            response = await self._client.commit(Transaction([Compare(key, mod_revision)], [Delete(key)]))
        except StoreError:
            return
        if not response.conflicts:
            self._watch_cache.delete(key, ModRevision(response.revision))
