"""This controller's lease in the key-value store, and the leadership and shards attached to it.

A shard owner answers its zone's workers. While the store is unreachable, it continues to answer them for a bounded time
after its last contact (`LeaseState.GRACE`), but starts no tasks.
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
INCOMPATIBLE_RETRY_S = 1.0  # time between join attempts while the cluster version is not supported
FAILED_RENEWAL_RETRY_S = 0.3
RENEWALS_PER_LEASE = 5
RENEWAL_TIMEOUTS_PER_LEASE = 4
LEASE_MARGIN_S = 0.05  # the lease is treated as expired this much before it expires in the store

log = logging.getLogger(__name__)


class LeaseState(Enum):
    """State of the lease by the time since the last contact with the store; limits what this controller may do."""

    JOINING = "joining"  # no lease yet
    ACTIVE = "active"  # the lease is valid by the local clock
    GRACE = "grace"  # the lease may have expired: workers are answered, but no tasks are started
    EXPIRED = "expired"  # too long without contact: workers are not answered either


class Admission(Struct, frozen=True):
    """The decision whether a process may join the cluster, and the compares that its join is conditional on.

    `refusal` is the reason why it may not join, None if it may.
    """

    refusal: str | None
    conditions: list[Compare]


class VersionFence(Protocol):
    """Prevents a process that does not support the committed cluster version from joining the cluster."""

    async def admission(self) -> Admission:
        """Read the committed version from the store. Raises StoreError if it can't be read."""

    def refusal(self) -> str | None:
        """Return why this process may not serve, None if it may, as of the last check."""

    def check_committed(self) -> str | None:
        """Check the version in the watch cache of a process that has joined; return as `refusal`."""

    def refuse(self, refusal: str | None) -> None:
        """Set the reason why this process may not join, None if it may."""


@dataclass(frozen=True, kw_only=True)
class LeaseTimes:
    """Validity of a lease in seconds, and the seconds after the last contact for which its owner answers workers."""

    lease_s: float
    grace_s: float


class ControllerLease:
    """The lease of this controller, its state, and the leadership and shards attached to it.

    `goal` is the cluster version that the operators want, None if rollouts are switched off. `changed` is called
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
        self.renewed_at = NEVER  # send time of the last successful renewal
        self.declines_assignments_until = NEVER  # neither leadership nor shards are acquired before this time
        self._zone = zone
        self._goal = goal
        self._client = client
        self._watch_cache = watch_cache
        self._clock = clock
        self._changed = changed

    # -- queries

    def last_contact_at(self) -> MonotonicTime:
        """Return the time up to which this controller has received every committed change."""
        return min(self.renewed_at, self._watch_cache.complete_until)

    def refresh_state(self) -> LeaseState:
        """Update the state of the lease by the clock and return it."""
        if self.lease is None and self.state in (LeaseState.JOINING, LeaseState.EXPIRED):
            return self.state
        silent_s = self._clock.monotonic() - self.last_contact_at()
        if self.lease is not None and silent_s < self.lease_s * (1 - 2 * MAX_CLOCK_DRIFT) - LEASE_MARGIN_S:
            self._set_state(LeaseState.ACTIVE)
        elif silent_s < self.grace_s:
            self._set_state(LeaseState.GRACE)
        else:
            self._set_state(LeaseState.EXPIRED)
        return self.state

    def _set_state(self, state: LeaseState) -> None:
        if state is not self.state:
            log.info("lease: %s -> %s", self.state.value, state.value)
            self.state = state
            self._changed()

    def leader(self) -> Versioned[LeaderRecord] | None:
        """Return the leader's record with its mod revision, None if there is no leader."""
        return self._watch_cache.get(keys.LEADER, LeaderRecord)

    def leadership_revision(self) -> ModRevision | None:
        """Return the mod revision of this controller's leadership, None if it may not act as the leader."""
        leader = self.leader()
        if leader is None or self.lease is None or leader.record.lease != self.lease:
            return None
        if self._watch_cache.revision < leader.mod_revision:
            return None  # the watch cache may still lack changes committed before the election
        return leader.mod_revision if self.refresh_state() is LeaseState.ACTIVE else None

    def assigned_token(self, zone: Zone) -> FencingToken | None:
        """Return the fencing token of a shard assigned to this controller, None if it is not assigned to it.

        The state of the lease is not checked: the token is returned even if the controller may no longer use it.
        """
        shard = self._watch_cache.get(keys.shard(zone), ShardRecord)
        if shard is None or self.lease is None or shard.record.lease != self.lease:
            return None
        return FencingToken(shard.mod_revision)

    def newest_token(self, zone: Zone, token: FencingToken) -> FencingToken:
        """Return the newest known revision at which a shard was assigned to this controller under `token`.

        No other owner ever has a token from `token` up to this revision: the watch has shown every change up to it, and
        a later assignment has a higher one. It is `token` itself if the shard is no longer assigned under it.
        """
        if self.assigned_token(zone) != token:
            return token
        return FencingToken(max(token, self._watch_cache.revision))

    def shard_owner(self, zone: str) -> NodeId | None:
        """Return the controller that a zone's shard is assigned to, None if there is none."""
        shard = self._watch_cache.get(keys.shard(zone), ShardRecord)
        return None if shard is None else NodeId(shard.record.node)

    def members(self) -> dict[NodeId, NodeRecord]:
        """Return the records of the controllers that have a lease."""
        nodes = self._watch_cache.list_records(keys.NODES, NodeRecord)
        return {NodeId(name): record for name, (record, _) in nodes.items() if record.is_live()}

    # -- the lease

    async def _join(self) -> None:
        """Acquire a lease if this program supports the committed version.

        A lease left behind by a former process of this controller is revoked first; the next call then joins.
        """
        key = keys.node(self.node_id)
        stored, admission = await asyncio.gather(self._client.get(key), self.fence.admission())
        refusal = admission.refusal
        if stored is not None:
            former = self._cache_node_record(stored)
            if former is not None and former.is_live():
                await self._revoke_former(former)
                return
            if former is None:
                refusal = f"{key} can't be read"
        self.fence.refuse(refusal)
        if refusal is None:
            # The stored record may have no lease: it bars programs that don't support the version, and is replaced.
            unchanged = Compare(key, 0 if stored is None else stored.mod_revision)
            await self._register([unchanged, *admission.conditions])

    def _cache_node_record(self, stored: KeyValue) -> NodeRecord | None:
        key = keys.node(self.node_id)
        self._watch_cache.put(key, bytes(stored.value), ModRevision(stored.mod_revision))
        node = self._watch_cache.get(key, NodeRecord)
        return None if node is None else node.record

    async def _revoke_former(self, former: NodeRecord) -> None:
        if former.lease != self.lease:
            log.info("lease: revoking lease %d of a former process of %s", former.lease, self.node_id)
            await self._client.revoke_lease(LeaseId(former.lease))

    async def _register(self, conditions: list[Compare]) -> None:
        """Create a lease and write the record of this controller, attached to the lease."""
        key = keys.node(self.node_id)
        sent_at = self._clock.monotonic()
        lease = await self._client.grant_lease(self.lease_s)
        record = NodeRecord(self._zone, lease, NEWEST_VERSION, OLDEST_VERSION, self._goal, commits_headroom=True)
        try:
            response = await self._client.commit(Transaction(conditions, [Put(key, record, lease)]))
        except OutcomeUnknownError:
            # If the transaction is executed late, the record names a lease that is not renewed, and other controllers
            # take the lease that this controller has acquired since for expired. Once the lease is revoked, the store
            # rejects the transaction.
            await self._client.revoke_lease(lease)
            raise
        if response.conflicts:
            await self._client.revoke_lease(lease)
            return
        self.lease = lease
        self.renewed_at = sent_at
        self._watch_cache.put(key, record, ModRevision(response.revision))
        log.info("lease: %s joined with lease %d", self.node_id, lease)
        self.refresh_state()
        self._changed()

    def _expire(self, reason: str) -> None:
        """Discard the lease, and with it leadership and shards, after it has expired or was revoked."""
        log.info("lease %s expired: %s", self.lease, reason)
        self.lease = None
        self._set_state(LeaseState.JOINING)
        self._changed()

    async def _revoke(self, lease: LeaseId, reason: str) -> None:
        """Revoke this controller's own lease, because the program no longer supports the committed version."""
        await self._client.revoke_lease(lease)
        self._expire(reason)

    async def run(self) -> None:
        """Join, renew the lease, and rejoin after it has expired. Never returns."""
        while True:
            try:
                pause_s = await self._join_or_renew()
            except (LeaseExpiredError, TransactionRejectedError) as err:
                pause_s = JOIN_INTERVAL_S if self.lease is None else self._renewal_interval_s()
                if self.lease is not None:
                    self._expire(str(err))
            except (StoreUnavailableError, OutcomeUnknownError) as err:
                log.debug("lease: request failed, retrying in %.1f s: %s", FAILED_RENEWAL_RETRY_S, err)
                pause_s = FAILED_RENEWAL_RETRY_S
            self.refresh_state()
            await asyncio.sleep(pause_s)

    def _renewal_interval_s(self) -> float:
        return self.lease_s / RENEWALS_PER_LEASE

    async def _join_or_renew(self) -> float:
        """Join, renew or revoke the lease, and return the seconds to wait before the next call."""
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
        """Try to acquire leadership if there is no leader. Return whether this controller was elected."""
        if (
            self.lease is None
            or self.refresh_state() is not LeaseState.ACTIVE
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
        # The record is left to the watch to deliver: by then the watch cache also has every change committed before it.
        log.info("leading since revision %d", response.revision)
        return True

    async def release_key(self, key: str) -> None:
        """Delete a key attached to this controller's own lease, so that another controller can acquire it."""
        mod_revision = self._watch_cache.mod_revision(key)
        if not mod_revision:
            return
        try:
            response = await self._client.commit(Transaction([Compare(key, mod_revision)], [Delete(key)]))
        except StoreError:
            return
        if not response.conflicts:
            self._watch_cache.delete(key, ModRevision(response.revision))
