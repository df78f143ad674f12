"""The failure detector: collects evidence on each peer controller and derives the peer's state from it."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable, Sequence

from msgspec import Struct

from cloverplank.basic_types import MS_PER_SECOND, Clock, MonotonicTime, NodeId, Zone
from cloverplank.kvstore import keys
from cloverplank.kvstore.controller_lease import ControllerLease
from cloverplank.kvstore.watch_cache import WatchCache
from cloverplank.membership import verdicts
from cloverplank.membership.peer_monitor import PeerMonitor
from cloverplank.membership.verdicts import PeerEvidence, PeerState, SuspicionThresholds, Vote
from cloverplank.records.verdicts import VerdictRecord
from cloverplank.settings.failure_detection import FailureDetectionSettings
from cloverplank.wire.gossip import GossipMessage, SuspectedPeer

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.1
MAX_POLL_LAG_S = 0.25  # a poll delayed by more than this shows that this controller itself was paused
MAX_SUSPECTS_PER_MESSAGE = 50  # further suspects in a message are ignored, which bounds memory
MAX_DAMPING_DOUBLINGS = 6
MAX_HEARTBEAT_AGE_S = 4.0  # older heartbeats are no evidence that a worker reports to this controller


class WorkerCounts(Struct, frozen=True):
    """The number of workers that are known to be up, and of workers that sent heartbeats to this controller."""

    known: int = 0
    reporting_here: int = 0


class FailureDetector:
    """Suspects peers that are silent. While disabled it tracks no peers and makes no decisions.

    `workers_of` counts the workers of a zone that are known to be up, and those that have sent heartbeats to this
    controller since the given time. `broadcast` sends gossip to all peers immediately.
    """

    def __init__(
        self,
        settings: FailureDetectionSettings,
        peers: Iterable[NodeId],
        zones: Sequence[Zone],
        *,
        clock: Clock,
        controller_lease: ControllerLease,
        watch_cache: WatchCache,
        workers_of: Callable[[Zone, MonotonicTime], WorkerCounts],
        broadcast: Callable[[], None],
    ) -> None:
        self.enabled = settings.enabled
        self._thresholds = SuspicionThresholds(settings.suspect_level, settings.faulty_level)
        self._damping_ms = int(settings.damp_s * MS_PER_SECOND)
        self._zones = zones
        self._clock = clock
        self._controller_lease = controller_lease
        self._watch_cache = watch_cache
        self._workers_of = workers_of
        self._broadcast = broadcast
        self._peers = {node: PeerMonitor() for node in peers} if self.enabled else {}
        self._votes: dict[NodeId, dict[NodeId, Vote]] = {node: {} for node in self._peers}
        self._states: dict[NodeId, PeerState] = dict.fromkeys(self._peers, PeerState.ALIVE)
        self._evidence: dict[NodeId, PeerEvidence] = {}
        self.incarnation = clock.wall_ms() if self.enabled else 0

    # -- evidence

    def record_message(self, message: GossipMessage) -> None:
        """Record a gossip message: it shows that its sender is alive, and carries its votes on other controllers."""
        observer = NodeId(message.node)
        monitor = self._peers.get(observer)
        if monitor is None:
            return
        now = self._clock.monotonic()
        monitor.record_message(now, message.incarnation)
        for votes in self._votes.values():
            votes.pop(observer, None)
        for suspect in message.suspects[:MAX_SUSPECTS_PER_MESSAGE]:
            if suspect.node == self._controller_lease.node_id:
                self._refute(suspect)
            elif NodeId(suspect.node) in self._votes and suspect.node != message.node:
                self._votes[NodeId(suspect.node)][observer] = Vote(observer, suspect.incarnation, now)

    def record_request(self, node: NodeId, *, answered: bool) -> None:
        """Record whether a request to a peer was answered."""
        monitor = self._peers.get(node)
        if monitor is not None:
            monitor.record_request(self._clock.monotonic(), answered=answered)

    def _refute(self, suspect: SuspectedPeer) -> None:
        """Raise the incarnation above the suspected one and gossip it, which shows that this process is alive."""
        if suspect.incarnation >= self.incarnation:
            self.incarnation = suspect.incarnation + 1
            self._broadcast()

    # -- state

    def suspects(self) -> list[SuspectedPeer]:
        """Return the suspected and faulty peers, for gossip messages."""
        return [
            SuspectedPeer(node, self._peers[node].incarnation)
            for node, state in self._states.items()
            if state is not PeerState.ALIVE
        ]

    def is_damped(self, node: NodeId) -> bool:
        """Return whether a controller that lost a shard by a verdict should not be assigned another one yet.

        The damping time doubles with each consecutive verdict, up to MAX_DAMPING_DOUBLINGS times. Afterwards the
        controller stays damped until it is alive again.
        """
        if not self.enabled:
            return False
        verdict = self._watch_cache.get(keys.verdict(node), VerdictRecord)
        if verdict is None:
            return False
        doublings = min(MAX_DAMPING_DOUBLINGS, max(0, verdict.record.consecutive - 1))
        if self._clock.wall_ms() - verdict.record.decided_at < self._damping_ms * 2**doublings:
            return True
        return self._states.get(node) not in (None, PeerState.ALIVE)

    def state(self, node: NodeId) -> PeerState | None:
        """Return the state of a peer, or None for a controller that is not tracked."""
        return self._states.get(node)

    def evidence(self, node: NodeId) -> PeerEvidence:
        """Return the evidence of the last evaluation of a peer; raise KeyError for one that is not tracked."""
        return self._evidence[node]

    def majority_suspected(self) -> bool:
        """Return whether most peers are suspected, which suggests a fault in this controller's own network link."""
        suspected = sum(state is not PeerState.ALIVE for state in self._states.values())
        return verdicts.majority_suspected(suspected, len(self._peers))

    # -- polling

    async def run(self) -> None:
        """Evaluate every peer periodically, unless disabled.

        The loop does nothing else, so that a late poll measures this controller's own lag only.
        """
        polled_at = self._clock.monotonic()
        while self.enabled:
            await asyncio.sleep(POLL_INTERVAL_S)
            now = self._clock.monotonic()
            self._poll(now, now - polled_at - POLL_INTERVAL_S)
            polled_at = now

    def _poll(self, now: MonotonicTime, lag_s: float) -> None:
        if lag_s > MAX_POLL_LAG_S:
            for monitor in self._peers.values():
                monitor.compensate_lag(lag_s)
        self._evidence = {node: self._gather_evidence(node, now) for node in self._peers}
        changed = [
            self._update_state(node, verdicts.state_of(evidence, self._thresholds, now), evidence)
            for node, evidence in self._evidence.items()
        ]
        if any(changed):
            self._broadcast()

    def _update_state(self, node: NodeId, state: PeerState, evidence: PeerEvidence) -> bool:
        """Set the state of a peer, log a transition, and return whether the state has changed."""
        previous = self._states[node]
        if state is previous:
            return False
        self._states[node] = state
        log.info("peer %s: %s -> %s: %s", node, previous.value, state.value, verdicts.reason(evidence))
        return True

    def _gather_evidence(self, node: NodeId, now: MonotonicTime) -> PeerEvidence:
        monitor = self._peers[node]
        level = monitor.level(now)
        others = [other for other in self._peers if other != node and self._states[other] is PeerState.ALIVE]
        workers = WorkerCounts()
        if level >= self._thresholds.suspect:
            workers = self._count_workers(node, MonotonicTime(now - min(monitor.silent_s(now), MAX_HEARTBEAT_AGE_S)))
        return PeerEvidence(
            level=level,
            incarnation=monitor.incarnation,
            unresponsive=monitor.is_unresponsive(),
            votes=tuple(vote for vote in self._votes[node].values() if vote.observer in others),
            other_observers=len(others),
            workers=workers.known,
            workers_reporting_here=workers.reporting_here,
        )

    def _count_workers(self, node: NodeId, since: MonotonicTime) -> WorkerCounts:
        """Count the workers of a peer's shards, and those that sent heartbeats to this controller since `since`."""
        counts = [
            self._workers_of(zone, since) for zone in self._zones if self._controller_lease.shard_owner(zone) == node
        ]
        return WorkerCounts(sum(count.known for count in counts), sum(count.reporting_here for count in counts))
