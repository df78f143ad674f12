"""Gossip between controllers, sent about once a second. It is an optimization: no guarantee depends on it."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from typing import Protocol

import msgspec
from msgspec import Struct

from cloverplank.autoscaling.registry import MachineRegistry
from cloverplank.background import BackgroundTasks
from cloverplank.basic_types import Clock, JobId, MachineId, MonotonicTime, NodeId, Zone
from cloverplank.jobs.store import JobStore
from cloverplank.kvstore.client import StoreClient
from cloverplank.kvstore.controller_lease import ControllerLease
from cloverplank.kvstore.transaction_queue import TransactionQueue
from cloverplank.net.messages import (
    HttpClient,
    NoFreeSocketError,
    NoResponseError,
    Request,
    Response,
    bad_request,
    make_response,
    method_not_allowed,
    not_found,
)
from cloverplank.scheduling.failure_history import FailureHistory
from cloverplank.settings.platform import Peer, PlatformSettings
from cloverplank.wire.codec import MessageDecodeError, decode, encode
from cloverplank.wire.gossip import GOSSIP_PATH, FailureGossip, GossipMessage, MachineGossip, SuspectedPeer
from cloverplank.wire.users import ErrorResponse, valid_job_id

GOSSIP_FRESH_S = 4.0  # messages received longer ago than this are ignored
ROUNDS_PER_FULL_GOSSIP = 5  # the leader gets the machines in every round, the other peers only once in this many rounds
MAX_MACHINES_PER_MESSAGE = 150  # keeps a message well below the maximum body size
MAX_MACHINES = 5_000  # further machines in a received message are ignored, which bounds memory
MAX_FAILURES = 1_000  # further failures in a received message are ignored, which bounds the work of its receiver
MAX_CANCELLATIONS_PER_MESSAGE = 500  # bounds a message's size and the work of its receiver
CANCELLATION_REPEAT_S = 3.0  # messages repeat a cancellation for this long
CANCELLATION_BATCH_DELAY_S = 0.005  # cancellations committed within this time share a message
SEND_TIMEOUT_S = 0.9  # time limit of one request, and the minimum interval between two gossip rounds
SEND_JITTER_S = 0.2  # random addition to the interval, which keeps controllers from sending simultaneously
WORKER_TTL_S = 6.0  # a worker is counted for this long after its last heartbeat to this controller
MAX_WORKERS_PER_ZONE = 20_000  # bounds the memory for recorded heartbeats
MIN_STORE_OUTAGE_S = 1.0  # shorter outages of the key-value store are not gossiped


class ReceivedGossip(Struct, frozen=True):
    """A gossip message of a peer and the time at which it was received."""

    message: GossipMessage
    received_at: MonotonicTime


class PeerObserver(Protocol):
    """Derives from gossip and responses which peers are alive, and names the peers that it suspects."""

    incarnation: int

    def record_message(self, message: GossipMessage) -> None:
        """Record a gossip message of a peer."""

    def record_request(self, node: NodeId, *, answered: bool) -> None:
        """Record whether a request to a peer was answered."""

    def suspects(self) -> list[SuspectedPeer]:
        """Return the peers that this controller suspects."""


class OwnedShardsView(Protocol):
    """Provides the gossiped data of the shards that this controller owns."""

    def tokens(self) -> dict[str, int]:
        """Return the fencing token of each owned shard for which no later assignment is known."""

    def machine_gossip(self) -> list[MachineGossip]:
        """Return the machines of the owned shards."""

    def failure_gossip(self) -> list[FailureGossip]:
        """Return the failures of tasks on these machines."""


class PeerGossip:
    """Sends this controller's gossip and keeps the latest message of each peer.

    `received` holds the latest message by peer. `owned` provides the gossiped data of this controller's shards, and
    `observer` is notified of all messages and responses.
    """

    def __init__(
        self,
        platform: PlatformSettings,
        *,
        clock: Clock,
        http: HttpClient,
        rng: random.Random,
        controller_lease: ControllerLease,
        client: StoreClient,
        queue: TransactionQueue,
        store: JobStore,
        registry: MachineRegistry,
        failures: FailureHistory,
        owned: OwnedShardsView,
        observer: PeerObserver,
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._http = http
        self._rng = rng
        self._controller_lease = controller_lease
        self._client = client
        self._queue = queue
        self._store = store
        self._registry = registry
        self._failures = failures
        self._owned = owned
        self._observer = observer
        self.received: dict[NodeId, ReceivedGossip] = {}
        self._workers: dict[str, dict[str, MonotonicTime]] = {zone: {} for zone in platform.facts.zones}
        # Time of each cancellation that this controller committed recently.
        self._cancellations: dict[JobId, MonotonicTime] = {}
        self._announcing = False
        self.tasks = BackgroundTasks()

    # -- receiving

    def latest(self, node: NodeId, within_s: float = GOSSIP_FRESH_S) -> GossipMessage | None:
        """Return the latest message of a peer, or None if it was received `within_s` seconds ago or earlier."""
        latest = self.received.get(node)
        if latest is None or self._clock.monotonic() - latest.received_at >= within_s:
            return None
        return latest.message

    def all_latest(self, within_s: float = GOSSIP_FRESH_S) -> dict[NodeId, GossipMessage]:
        """Return the latest messages that were received less than `within_s` seconds ago, by peer."""
        latest = {node: self.latest(node, within_s) for node in self.received}
        return {node: message for node, message in latest.items() if message is not None}

    def demand_of(self, node: NodeId) -> float:
        """Return the number of changes per second that a peer needs to commit, 0 without a recent message."""
        message = self.latest(node)
        return 0.0 if message is None else message.demand

    def later_owner(self, zone: Zone, known_token: int) -> NodeId | None:
        """Return the peer with the latest assignment of a shard, if it is later than `known_token`.

        A controller whose requests the key-value store refuses has no other way to learn where to redirect its workers.
        """
        owners = [
            (message.shard_tokens[zone], node)
            for node, message in self.all_latest().items()
            if message.shard_tokens.get(zone, 0) > known_token
        ]
        return max(owners)[1] if owners else None

    def declines_workers(self, node: NodeId) -> bool:
        """Return whether a peer reports that no workers reach it, so that none should be redirected to it."""
        message = self.latest(node)
        return message is not None and message.declines_assignments

    async def handle(self, request: Request) -> Response:
        """Handle an HTTP request of a peer."""
        if request.path != GOSSIP_PATH:
            return not_found()
        if request.method != "POST":
            return method_not_allowed("POST")
        try:
            message = decode(request.body, GossipMessage)
        except MessageDecodeError as err:
            return bad_request(err)
        if message.node not in {peer.label for peer in self._platform.peers}:
            return make_response(400, ErrorResponse("unknown peer"))
        self._accept(message)
        return make_response(200)

    def _accept(self, message: GossipMessage) -> None:
        now = self._clock.monotonic()
        self.received[NodeId(message.node)] = ReceivedGossip(message, now)
        self._observer.record_message(message)
        for job in message.cancelled[:MAX_CANCELLATIONS_PER_MESSAGE]:
            if valid_job_id(job):
                self._store.note_gossiped_cancellation(JobId(job), now)
        for machine in message.machines[:MAX_MACHINES]:
            if self._controller_lease.shard_owner(machine.zone) == message.node:
                self._registry.apply_gossip(machine)
        for failure in message.failures[:MAX_FAILURES]:
            entry = self._registry.entries.get(MachineId(failure.machine))
            if entry is not None and self._controller_lease.shard_owner(entry.zone) == message.node:
                self._failures.apply_gossip(failure)

    # -- workers that send their heartbeats to this controller

    def record_worker_heartbeat(self, zone: str, machine: str) -> bool:
        """Record a worker's heartbeat; return False if the zone is unknown."""
        workers = self._workers.get(zone)
        if workers is None:
            return False
        if len(workers) < MAX_WORKERS_PER_ZONE:
            workers[machine] = self._clock.monotonic()
        return True

    def count_active_workers(self, zone: str, since: MonotonicTime) -> int:
        """Return how many workers of a zone have sent a heartbeat to this controller since `since`."""
        return sum(last_heartbeat_at >= since for last_heartbeat_at in self._workers.get(zone, {}).values())

    def has_active_workers(self, zone: str) -> bool:
        """Return whether this controller or, according to gossip, a peer receives heartbeats of a zone's workers."""
        return bool(self._workers.get(zone)) or any(
            message.worker_counts.get(zone, 0) for message in self.all_latest().values()
        )

    def _forget_silent_workers(self) -> None:
        now = self._clock.monotonic()
        for workers in self._workers.values():
            silent = [name for name, last_heartbeat_at in workers.items() if now - last_heartbeat_at > WORKER_TTL_S]
            for name in silent:
                del workers[name]

    # -- sending

    async def run(self) -> None:
        """Send gossip periodically until cancelled."""
        round_number = 0
        while True:
            self._forget_silent_workers()
            self._send_all(machines_to_all=round_number % ROUNDS_PER_FULL_GOSSIP == 0)
            round_number += 1
            self._http.close_idle()
            await asyncio.sleep(SEND_TIMEOUT_S + SEND_JITTER_S * self._rng.random())

    def announce_cancelled(self, job: JobId) -> None:
        """Gossip immediately that this controller has committed the cancellation of a job.

        A shard owner whose requests the key-value store refuses has no other way to learn of the cancellation, and any
        other owner learns of it sooner than from its watch.
        """
        now = self._clock.monotonic()
        expired = [
            old for old, committed_at in self._cancellations.items() if now - committed_at > CANCELLATION_REPEAT_S
        ]
        for old in expired:
            del self._cancellations[old]
        if len(self._cancellations) < MAX_CANCELLATIONS_PER_MESSAGE:
            self._cancellations[job] = now
        if not self._announcing:
            self._announcing = True
            self.tasks.spawn(self._announce_cancelled())

    async def _announce_cancelled(self) -> None:
        await asyncio.sleep(CANCELLATION_BATCH_DELAY_S)
        self._announcing = False
        self.broadcast()

    def send_to_leader(self) -> None:
        """Send gossip to a new leader immediately: it assigns shards to controllers that it knows to be healthy."""
        leader = self._controller_lease.leader()
        if leader is None:
            return
        body = encode(self._own_message())
        for peer in self._platform.peers:
            if peer.label == leader.record.node:
                self.tasks.spawn(self._send(peer, [body]))

    def broadcast(self) -> None:
        """Send gossip without machines to all peers immediately."""
        body = encode(self._own_message())
        for peer in self._platform.peers:
            self.tasks.spawn(self._send(peer, [body]))

    def _send_all(self, *, machines_to_all: bool) -> None:
        """Send gossip to all peers, to the leader and, if `machines_to_all`, to all with machines and failures."""
        message = self._own_message()
        leader = self._controller_lease.leader()
        with_machines = {
            peer.label
            for peer in self._platform.peers
            if machines_to_all or (leader is not None and leader.record.node == peer.label)
        }
        machines = self._owned.machine_gossip() if with_machines else []
        # Split into several bodies, since the machines of a large shard would exceed the maximum body size.
        parts = [
            encode(msgspec.structs.replace(message, machines=machines[start : start + MAX_MACHINES_PER_MESSAGE]))
            for start in range(0, max(1, len(machines)), MAX_MACHINES_PER_MESSAGE)
        ]
        failures = self._owned.failure_gossip() if with_machines else []
        if failures:
            parts.append(encode(msgspec.structs.replace(message, failures=failures)))
        without_machines = [encode(message)]
        for peer in self._platform.peers:
            bodies = parts if peer.label in with_machines else without_machines
            self.tasks.spawn(self._send(peer, bodies))

    def _own_message(self) -> GossipMessage:
        """Return this controller's gossip message without machines and failures."""
        now = self._clock.monotonic()
        return GossipMessage(
            self._controller_lease.node_id,
            self._platform.location,
            store_available=not self._client.is_down(MIN_STORE_OUTAGE_S),
            worker_counts={zone: len(workers) for zone, workers in self._workers.items()},
            shard_tokens=self._owned.tokens(),
            declines_assignments=now < self._controller_lease.declines_assignments_until,
            demand=self._queue.demand(),
            cancelled=[
                job for job, committed_at in self._cancellations.items() if now - committed_at <= CANCELLATION_REPEAT_S
            ],
            incarnation=self._observer.incarnation,
            suspects=self._observer.suspects(),
        )

    async def _send(self, peer: Peer, bodies: Sequence[bytes]) -> None:
        node = NodeId(peer.label)
        try:
            for body in bodies:
                await self._http.request(peer.peer_addr, "POST", GOSSIP_PATH, body, SEND_TIMEOUT_S)
        except NoFreeSocketError:
            return  # a shortage of local sockets is no evidence on the peer
        except NoResponseError:
            self._observer.record_request(node, answered=False)
        else:
            self._observer.record_request(node, answered=True)
