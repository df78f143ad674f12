"""Gossip between controllers, about once a second. It speeds things up; nothing that must be right depends on it."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from typing import Protocol

import msgspec
from msgspec import Struct

from cloverplank.autoscaling.registry import MachineRegistry
from cloverplank.background import BackgroundTasks
from cloverplank.basic_types import Clock, JobId, MonotonicTime, NodeId, Zone
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
from cloverplank.settings.platform import Peer, PlatformSettings
from cloverplank.wire.codec import MessageDecodeError, decode, encode
from cloverplank.wire.gossip import GOSSIP_PATH, GossipMessage, MachineGossip, SuspectedPeer
from cloverplank.wire.users import ErrorResponse, valid_job_id

GOSSIP_FRESH_S = 4.0  # an older message is ignored
FULL_GOSSIP_PERIOD = 5  # every so many messages carry the machines to all peers; all messages carry them to the leader
MAX_MACHINES_PER_MESSAGE = 150  # keeps a message well below the maximum size of a body
MAX_MACHINES = 5_000  # taken from one message, to bound memory
MAX_CANCELLED = 500  # cancellations in one message
ANNOUNCE_CANCELLED_S = 3.0  # for how long a cancellation is repeated
CANCELLED_BATCH_DELAY_S = 0.005  # cancellations of the same moment go in one message
SEND_TIMEOUT_S = 0.9  # of one request; also the minimum interval between two messages
SEND_JITTER_S = 0.2  # keeps controllers from sending at the same moments
WORKER_TTL_S = 6.0  # a worker counts for this long after a heartbeat
MAX_WORKERS_PER_ZONE = 20_000  # bounds memory
STORE_DOWN_S = 1.0  # failures of the key-value store that last this long are gossiped


class ReceivedGossip(Struct, frozen=True):
    """A message of a peer, and when it came."""

    message: GossipMessage
    received_at: MonotonicTime


class PeerObserver(Protocol):
    """Learns from gossip which peers are alive, and returns those that it suspects."""

    incarnation: int

    def heard(self, message: GossipMessage) -> None:
        """Take a gossip message of a peer."""

    def requested(self, node: NodeId, *, answered: bool) -> None:
        """Note that a request to a peer was answered, or not."""

    def suspects(self) -> list[SuspectedPeer]:
        """Return the peers that this controller suspects."""


class OwnedMachines(Protocol):
    """What this controller gossips of the shards that it owns."""

    def tokens(self) -> dict[str, int]:
        """Return the fencing token of each shard that nobody has superseded."""

    def machine_gossip(self) -> list[MachineGossip]:
        """Return the machines of the owned shards."""


class PeerGossip:
    """Sends this controller's gossip and keeps the latest message of each peer.

    `received` holds that message by peer. `owned` are the shards of this controller, and
    `observer` learns of all messages and responses.
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
        owned: OwnedMachines,
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
        self._owned = owned
        self._observer = observer
        self.received: dict[NodeId, ReceivedGossip] = {}
        self._workers: dict[str, dict[str, MonotonicTime]] = {zone: {} for zone in platform.facts.zones}
        self._cancellations: dict[JobId, MonotonicTime] = {}  # committed here recently
        self._announcing = False
        self.tasks = BackgroundTasks()

    # -- receiving

    def latest(self, node: NodeId, within_s: float = GOSSIP_FRESH_S) -> GossipMessage | None:
        """Return the peer's latest message if it is not older than `within_s`."""
        latest = self.received.get(node)
        if latest is None or self._clock.monotonic() - latest.received_at >= within_s:
            return None
        return latest.message

    def all_latest(self, within_s: float = GOSSIP_FRESH_S) -> dict[NodeId, GossipMessage]:
        """Return the latest messages that are not older than `within_s`, by peer."""
        latest = {node: self.latest(node, within_s) for node in self.received}
        return {node: message for node, message in latest.items() if message is not None}

    def demand_of(self, node: NodeId) -> float:
        """Return the changes a second that a peer would commit."""
        message = self.latest(node)
        return 0.0 if message is None else message.demand

    def later_owner(self, zone: Zone, known_token: int) -> NodeId | None:
        """Return the peer with the latest assignment of a shard, if it is later than the one known here.

        A controller that the key-value store refuses has no other way to learn where to send its workers.
        """
        owners = [
            (message.shard_tokens[zone], node)
            for node, message in self.all_latest().items()
            if message.shard_tokens.get(zone, 0) > known_token
        ]
        return max(owners)[1] if owners else None

    def declines_workers(self, node: NodeId) -> bool:
        """Return whether a peer says that it hears no workers, so that it is useless to send any there."""
        message = self.latest(node)
        return message is not None and message.declines_assignments

    async def handle(self, request: Request) -> Response:
        """Handle a request of a peer."""
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
        self._take(message)
        return make_response(200)

    def _take(self, message: GossipMessage) -> None:
        now = self._clock.monotonic()
        self.received[NodeId(message.node)] = ReceivedGossip(message, now)
        self._observer.heard(message)
        for job in message.cancelled[:MAX_CANCELLED]:
            if valid_job_id(job):
                self._store.note_gossiped_cancellation(JobId(job), now)
        for machine in message.machines[:MAX_MACHINES]:
            if self._controller_lease.shard_owner(machine.zone) == message.node:
                self._registry.apply_gossip(machine)

    # -- workers that send their heartbeats here

    def note_worker(self, zone: str, machine: str) -> bool:
        """Note a worker's heartbeat; return False if there is no such zone."""
        workers = self._workers.get(zone)
        if workers is None:
            return False
        if len(workers) < MAX_WORKERS_PER_ZONE:
            workers[machine] = self._clock.monotonic()
        return True

    def count_workers_heard(self, zone: str, since: MonotonicTime) -> int:
        """Return how many workers of a zone have sent a heartbeat here since then."""
        return sum(heard_at >= since for heard_at in self._workers.get(zone, {}).values())

    def hears_workers(self, zone: str) -> bool:
        """Return whether this controller or, by its gossip, a peer hears workers of a zone."""
        return bool(self._workers.get(zone)) or any(
            message.worker_counts.get(zone, 0) for message in self.all_latest().values()
        )

    def _forget_silent_workers(self) -> None:
        now = self._clock.monotonic()
        for workers in self._workers.values():
            silent = [name for name, heard_at in workers.items() if now - heard_at > WORKER_TTL_S]
            for name in silent:
                del workers[name]

    # -- sending

    async def run(self) -> None:
        """Send gossip for ever."""
        number = 0
        while True:
            self._forget_silent_workers()
            self._send_all(machines_to_all=number % FULL_GOSSIP_PERIOD == 0)
            number += 1
            self._http.close_idle()
            await asyncio.sleep(SEND_TIMEOUT_S + SEND_JITTER_S * self._rng.random())

    def announce_cancelled(self, job: JobId) -> None:
        """Gossip at once that the cancellation of a job was committed here.

        A shard owner that the key-value store refuses can learn of it in no other way, and any other owner learns of it
        sooner than from its watch.
        """
        now = self._clock.monotonic()
        expired = [old for old, at in self._cancellations.items() if now - at > ANNOUNCE_CANCELLED_S]
        for old in expired:
            del self._cancellations[old]
        if len(self._cancellations) < MAX_CANCELLED:
            self._cancellations[job] = now
        if not self._announcing:
            self._announcing = True
            self.tasks.spawn(self._announce_cancelled())

    async def _announce_cancelled(self) -> None:
        await asyncio.sleep(CANCELLED_BATCH_DELAY_S)
        self._announcing = False
        self.broadcast()

    def introduce(self) -> None:
        """Send gossip to a new leader at once: it assigns shards to controllers that it knows to be healthy."""
        leader = self._controller_lease.leader()
        if leader is None:
            return
        body = encode(self._own_message())
        for peer in self._platform.peers:
            if peer.label == leader.record.node:
                self.tasks.spawn(self._send(peer, [body]))

    def broadcast(self) -> None:
        """Send gossip without machines to all peers at once."""
        body = encode(self._own_message())
        for peer in self._platform.peers:
            self.tasks.spawn(self._send(peer, [body]))

    def _send_all(self, *, machines_to_all: bool) -> None:
        """Send gossip to all peers; the machines go to the leader, and to the others if asked for."""
        message = self._own_message()
        leader = self._controller_lease.leader()
        with_machines = {
            peer.label
            for peer in self._platform.peers
            if machines_to_all or (leader is not None and leader.record.node == peer.label)
        }
        machines = self._owned.machine_gossip() if with_machines else []
        # In parts: the machines of a large shard would exceed the maximum size of a body.
        parts = [
            encode(msgspec.structs.replace(message, machines=machines[start : start + MAX_MACHINES_PER_MESSAGE]))
            for start in range(0, max(1, len(machines)), MAX_MACHINES_PER_MESSAGE)
        ]
        without_machines = [encode(message)]
        for peer in self._platform.peers:
            bodies = parts if peer.label in with_machines else without_machines
            self.tasks.spawn(self._send(peer, bodies))

    def _own_message(self) -> GossipMessage:
        """Return this controller's message without machines."""
        now = self._clock.monotonic()
        return GossipMessage(
            self._controller_lease.node_id,
            self._platform.location,
            store_available=not self._client.is_down(STORE_DOWN_S),
            worker_counts={zone: len(workers) for zone, workers in self._workers.items()},
            shard_tokens=self._owned.tokens(),
            declines_assignments=now < self._controller_lease.declines_assignments_until,
            demand=self._queue.demand(),
            cancelled=[job for job, at in self._cancellations.items() if now - at <= ANNOUNCE_CANCELLED_S],
            incarnation=self._observer.incarnation,
            suspects=self._observer.suspects(),
        )

    async def _send(self, peer: Peer, bodies: Sequence[bytes]) -> None:
        node = NodeId(peer.label)
        try:
            for body in bodies:
                await self._http.request(peer.peer_addr, "POST", GOSSIP_PATH, body, SEND_TIMEOUT_S)
        except NoFreeSocketError:
            return  # a shortage of this controller's own sockets says nothing of the peer
        except NoResponseError:
            self._observer.requested(node, answered=False)
        else:
            self._observer.requested(node, answered=True)
