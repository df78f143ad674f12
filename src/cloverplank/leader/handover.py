"""Shard handover: the leader reassigns the shards of a controller that the failure detector judges faulty."""

from __future__ import annotations

import logging
from collections.abc import Sequence

from msgspec import Struct

from cloverplank.basic_types import NEVER, Clock, FencingToken, ModRevision, NodeId, WallTimeMs, Zone
from cloverplank.feature_gates import SUSPICION
from cloverplank.kvstore import keys
from cloverplank.kvstore.controller_lease import ControllerLease
from cloverplank.kvstore.errors import StoreError
from cloverplank.kvstore.transaction_priority import TransactionPriority
from cloverplank.kvstore.transaction_queue import TransactionQueue
from cloverplank.kvstore.watch_cache import WatchCache
from cloverplank.leader.shard_assignment import AssignmentCandidate, ShardAssigner
from cloverplank.membership import verdicts
from cloverplank.membership.failure_detector import FailureDetector
from cloverplank.membership.verdicts import PeerEvidence, PeerState
from cloverplank.records.cluster import ShardRecord
from cloverplank.records.verdicts import VerdictRecord
from cloverplank.rollout.committed import CommittedRollout
from cloverplank.wire.kvstore import Compare, Delete, Put, Transaction

log = logging.getLogger(__name__)

MIN_HANDOVER_INTERVAL_S = 2.0
REPEAT_WINDOW_MS = 600_000  # a verdict within this time of the previous one on the same controller raises its count


class _Handover(Struct, frozen=True):
    """A shard to hand over, with its owner that is judged faulty and the evidence against that owner."""

    zone: Zone
    former_owner: NodeId
    former_token: ModRevision
    evidence: PeerEvidence


class ShardHandover:
    """Hands over the shards of faulty controllers while this controller leads and the failure detector is enabled."""

    def __init__(
        self,
        zones: Sequence[Zone],
        *,
        clock: Clock,
        controller_lease: ControllerLease,
        watch_cache: WatchCache,
        queue: TransactionQueue,
        committed: CommittedRollout,
        shard_assigner: ShardAssigner,
        detector: FailureDetector,
    ) -> None:
        self._zones = zones
        self._clock = clock
        self._controller_lease = controller_lease
        self._watch_cache = watch_cache
        self._queue = queue
        self._committed = committed
        self._shard_assigner = shard_assigner
        self._detector = detector
        self._last_attempt_at = NEVER

    async def reconcile(self) -> None:
        """Hand over at most one shard of a faulty controller."""
        if not self._detector.enabled:
            return
        leadership_revision = self._controller_lease.leadership_revision()
        if leadership_revision is None or self._committed.current().version < SUSPICION.version:
            return
        now = self._clock.monotonic()
        if self._detector.majority_suspected() or now - self._last_attempt_at < MIN_HANDOVER_INTERVAL_S:
            return
        handover = self._find_handover()
        if handover is None:
            return
        self._last_attempt_at = now
        successor = self._shard_assigner.replacement(handover.zone, handover.former_owner)
        if successor is not None:
            await self._commit(leadership_revision, handover, successor)

    def _find_handover(self) -> _Handover | None:
        """Return the first shard whose owner is judged faulty."""
        for zone in self._zones:
            assigned = self._watch_cache.get(keys.shard(zone), ShardRecord)
            if assigned is None:
                continue
            shard, token = assigned
            owner = NodeId(shard.node)
            if self._detector.state(owner) is PeerState.FAULTY:
                return _Handover(zone, owner, token, self._detector.evidence(owner))
        return None

    async def _commit(
        self, leadership_revision: ModRevision, handover: _Handover, successor: AssignmentCandidate
    ) -> None:
        """Commit the new assignment together with the verdict.

        The transaction compares the mod revision of the former assignment, so it takes effect at most once, whichever
        controller sends it and however late.
        """
        zone = handover.zone
        verdict_key = keys.verdict(handover.former_owner)
        verdict = self._make_verdict(handover, successor.node)
        compares = [
            Compare(keys.LEADER, leadership_revision),
            Compare(keys.shard(zone), handover.former_token),
            Compare(keys.node(successor.node), successor.mod_revision),
            Compare(verdict_key, self._watch_cache.stored_mod_revision(verdict_key)),
        ]
        lease = successor.record.lease
        changes: list[Put | Delete] = [
            Put(keys.shard(zone), ShardRecord(zone, successor.node, lease), lease),
            Put(verdict_key, verdict),
        ]
        try:
            response = await self._queue.commit(Transaction(compares, changes), TransactionPriority.LEASE, once=True)
        except StoreError as err:
            log.debug("handover of shard %s from %s to %s failed: %s", zone, handover.former_owner, successor.node, err)
            return
        if not response.conflicts:
            log.info(
                "handover: shard %s from %s to %s, token %d: %s",
                zone,
                handover.former_owner,
                successor.node,
                FencingToken(response.revision),
                verdict.reason,
            )

    def _make_verdict(self, handover: _Handover, successor: NodeId) -> VerdictRecord:
        node, evidence = handover.former_owner, handover.evidence
        now: WallTimeMs = self._clock.wall_ms()
        previous = self._watch_cache.get(keys.verdict(node), VerdictRecord)
        count = 1
        if previous is not None and now - previous.record.decided_at < REPEAT_WINDOW_MS:
            count += previous.record.consecutive
        return VerdictRecord(
            node, evidence.incarnation, now, count, handover.zone, successor, verdicts.reason(evidence)
        )
