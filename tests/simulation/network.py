"""The simulated network, which carries, delays, repeats and loses messages between hosts.

Replaces sockets, HTTP and everything between them. Times are in seconds of simulated time. Every probability is
drawn from the one random generator of the world, in a fixed order, so a seed always gives the same run.
"""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Coroutine
from random import Random
from typing import TYPE_CHECKING, Any, NoReturn

import msgspec

from cloverplank.net.messages import NoResponseError, Request, RequestNotSentError, Response

if TYPE_CHECKING:
    from cloverplank.controller.composition import Controller
    from tests.simulation.cloud import Cloud
    from tests.simulation.faults import MessageFaults
    from tests.simulation.kvstore import KeyValueStore
    from tests.simulation.rules import Rules
    from tests.simulation.worker import Machine

# Hosts and groups of hosts that partitions name, in addition to controller labels and machine names.
STORE, CLOUD, WORKERS, ALL_HOSTS = "state", "cloud", "workers", "*"
STORE_ADDRESS, CLOUD_ADDRESS = "10.2.0.1:2379", "10.2.0.2:8443"
USER_ADDRESS_PREFIX, CONTROLLER_ADDRESS_PREFIX = "front:", "10.0.0."
MACHINE_PREFIX = "m-"
HEARTBEAT_PATH, COMMANDS_PATH, COMMIT_PATH, WATCH_PATH = "/v1/report", "/orders", "/commit", "/watch"
LINK_DELAY_S = (0.001, 0.01)  # bounds of the one-way delay
REFUSAL_S = 0.002  # the time after which a connection to a process that is down is refused
REPEAT_DELAY_S = (0.3, 30.0)  # bounds of the time after which an answered request arrives again
LATE_COPY_LEASES = 4  # the maximum delay of a copied heartbeat, in worker leases


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """A request in flight. `host` is the owner of `addr`: a controller label, a machine name, or a service."""

    src: str
    host: str
    addr: str
    method: str
    path: str
    body: bytes
    timeout_s: float

    def to_controller(self, label: str) -> Message:
        """Return the same request, addressed to a controller's endpoint for users and workers."""
        return dataclasses.replace(self, host=label, addr=USER_ADDRESS_PREFIX + label)


class Network:
    """The part of the world that carries messages; its state is set up by `World`."""

    random: Random
    labels: list[str]
    home: dict[str, str]
    noise: float
    lease_s: float
    cuts: set[tuple[str, str]]
    faults: MessageFaults
    rules: Rules
    state: KeyValueStore
    cloud: Cloud
    machines: dict[str, Machine]
    controllers: dict[str, tuple[Controller, asyncio.Task]]

    def now(self) -> float:
        """Return the simulated time in seconds."""
        raise NotImplementedError

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Start a background task, which is cancelled at the end of the run."""
        raise NotImplementedError

    # -- partitions

    def cut(self, one: str, other: str) -> None:
        """Partition two hosts: controller labels, machine names, services, all `workers`, or `*` for all hosts."""
        self.cuts |= {(one, other), (other, one)}

    def cut_zone(self, zone: str) -> None:
        """Partition a zone: its controllers and machines reach one another and no other host."""
        inside = [label for label in self.labels if self.home[label] == zone]
        inside += [m.id for m in self.machines.values() if m.zone == zone]
        outside = [label for label in self.labels if self.home[label] != zone]
        outside += [m.id for m in self.machines.values() if m.zone != zone]
        for one in inside:
            for other in [*outside, STORE, CLOUD]:
                self.cut(one, other)

    def heal(self) -> None:
        """End all partitions and deliver the messages that they held."""
        self.cuts.clear()
        for deliver in self.faults.held_messages:
            self.spawn(deliver())
        self.faults.held_messages.clear()

    def _is_cut(self, src: str, host: str) -> bool:
        pairs = {(src, host), (src, ALL_HOSTS), (ALL_HOSTS, host)}
        if src.startswith(MACHINE_PREFIX):
            pairs.add((WORKERS, host))
        if host.startswith(MACHINE_PREFIX):
            pairs.add((src, WORKERS))
        return bool(pairs & self.cuts)

    # -- messages

    async def send(self, src, addr, method, path, body=None, timeout=2.0) -> Response:
        """Carry a request and its response; raise `NoResponseError` after `timeout` s if either is lost or late."""
        message = Message(src, self._host(addr), addr, method, path, body or b"", timeout)
        if path == COMMANDS_PATH and message.body:
            self._check_commands(src, message)
        draw = self.random.random() if message.host != src else 1.0
        if path.startswith(WATCH_PATH):
            draw = 1.0
        await self._leave_sender(message)
        await asyncio.sleep(self.random.uniform(*LINK_DELAY_S))
        await self._apply_faults(message)
        await self._apply_one_way_partitions(message)
        await self._apply_request_noise(message, draw)
        status, answer = await self._exchange(message)
        self._repeat_answered(message)
        if draw < self.noise or self._is_cut(src, message.host):
            await self._lose(message, "response lost")
        await asyncio.sleep(self.random.uniform(*LINK_DELAY_S))
        return Response(status, answer)

    def _check_commands(self, src: str, message: Message) -> None:
        sent = msgspec.msgpack.decode(message.body)
        self.rules.commands_sent(src, sent["orders"])
        machine = self.machines.get(message.host)
        if machine is not None:
            self.rules.token_sent(src, machine.zone, sent["baton"])

    def _host(self, addr: str) -> str:
        if addr.startswith(USER_ADDRESS_PREFIX):
            return addr.removeprefix(USER_ADDRESS_PREFIX)
        if addr == STORE_ADDRESS:
            return STORE
        if addr == CLOUD_ADDRESS:
            return CLOUD
        number = int(addr.partition(":")[0].rpartition(".")[2])
        if addr.startswith(CONTROLLER_ADDRESS_PREFIX):
            return self.labels[number - 1]
        return f"{MACHINE_PREFIX}{number:06d}"

    async def _leave_sender(self, message: Message) -> None:
        """Raise if the receiver is down, or if a partition stops the request, which may be held until it heals."""
        if message.host in self.labels and message.host not in self.controllers:
            await asyncio.sleep(REFUSAL_S)
            raise RequestNotSentError("refused")
        if message.src in self.faults.sends_nothing:
            await asyncio.sleep(message.timeout_s)
            raise RequestNotSentError("one-way partition")
        if not self._is_cut(message.src, message.host):
            return
        if self.faults.hold_partitioned_messages and self.random.random() < 0.5:
            self.faults.held_messages.append(lambda: self._deliver(message))
            await self._lose(message, "partition")
        await asyncio.sleep(message.timeout_s)
        raise RequestNotSentError("partition")

    async def _apply_faults(self, message: Message) -> None:
        """Apply the faults for this type of message; the order of the random draws determines the run of each seed."""
        self._copy_heartbeat(message)
        await self._delay_commit(message)
        if message.host == STORE and self.faults.max_store_delay_s:
            await asyncio.sleep(min(message.timeout_s, self.random.uniform(0.0, self.faults.max_store_delay_s)))
        if self.faults.max_link_delay_s:
            await asyncio.sleep(min(message.timeout_s, self.random.uniform(0.0, self.faults.max_link_delay_s)))
        await self._delay_command(message)
        await self._delay_heartbeat(message)

    def _happens(self, fraction: float) -> bool:
        """Draw whether a fault affects a message; a disabled fault consumes no random number."""
        return fraction > 0 and self.random.random() < fraction

    def _copy_heartbeat(self, message: Message) -> None:
        """Deliver a late copy to a random controller: the worker may have changed its controller in the meantime."""
        if message.path == HEARTBEAT_PATH and self._happens(self.faults.late_heartbeat_copy_fraction):
            copy = message.to_controller(self.random.choice(self.labels))
            self._deliver_after(self.random.uniform(0.5, LATE_COPY_LEASES * self.lease_s), copy)

    async def _delay_commit(self, message: Message) -> None:
        is_commit = message.host == STORE and message.path == COMMIT_PATH
        if is_commit and self._happens(self.faults.late_commit_fraction):
            self._deliver_after(self.random.uniform(2.0, 12.0), message)
            await self._lose(message, "carried out late")

    async def _delay_command(self, message: Message) -> None:
        """Delay a command, or lose the response to a command that was executed in time."""
        if message.path == COMMANDS_PATH and self._happens(self.faults.delayed_command_fraction):
            delay_s = self.random.uniform(1.0, 8.0)
            if self.random.random() < 0.5:
                await self._deliver(message)
            else:
                self._deliver_after(delay_s, message)
            await self._lose(message, "command delayed")

    def _repeat_answered(self, message: Message) -> None:
        """Deliver a request that was answered once more, if it is to be repeated."""
        if message.path.startswith(WATCH_PATH):
            return
        is_command = message.path == COMMANDS_PATH
        fraction = self.faults.repeated_command_fraction if is_command else self.faults.repeated_request_fraction
        if self._happens(fraction):
            self._deliver_after(self.random.uniform(*REPEAT_DELAY_S), message)

    async def _delay_heartbeat(self, message: Message) -> None:
        if message.path == HEARTBEAT_PATH and self._happens(self.faults.delayed_heartbeat_fraction):
            delayed = message.to_controller(self.random.choice(self.labels))
            self._deliver_after(self.random.uniform(5.0, 15.0), delayed)
            await self._lose(message, "heartbeat delayed")

    async def _apply_one_way_partitions(self, message: Message) -> None:
        """Lose requests to a machine that receives nothing, and the responses to its own requests."""
        if message.host in self.faults.receives_nothing:
            await self._lose(message, "one-way partition")
        if message.src in self.faults.receives_nothing:
            for label in self.labels:  # the worst case: every controller, so also the shard owner, gets the heartbeat
                await self._deliver(message.to_controller(label))
            await self._lose(message, "one-way partition")

    async def _apply_request_noise(self, message: Message, draw: float) -> None:
        """Lose, delay or repeat the request: 0.3, 0.3 and 0.2 of the noise; the last 0.2 loses the response."""
        if draw < self.noise * 0.3:
            await self._lose(message, "request lost")
        if draw < self.noise * 0.6:
            self._deliver_after(message.timeout_s + self.random.uniform(0.0, 15.0), message)
            await self._lose(message, "request late")
        if draw < self.noise * 0.8:
            self._deliver_after(self.random.uniform(0.1, 10.0), message)

    async def _exchange(self, message: Message) -> tuple[int, bytes]:
        """Deliver the request, which is processed to its end even if the sender stops waiting for the response."""
        delivery = asyncio.ensure_future(self._deliver(message))
        try:
            async with asyncio.timeout(message.timeout_s):
                answer = await asyncio.shield(delivery)
                if answer is None:
                    await asyncio.sleep(message.timeout_s)
        except TimeoutError as err:
            raise NoResponseError("no response") from err
        assert answer is not None
        return answer

    @staticmethod
    async def _lose(message: Message, reason: str) -> NoReturn:
        await asyncio.sleep(message.timeout_s)
        raise NoResponseError(reason)

    def _deliver_after(self, delay_s: float, message: Message) -> None:
        async def deliver() -> None:
            await asyncio.sleep(delay_s)
            await self._deliver(message)

        self.spawn(deliver())

    # -- receivers

    async def _deliver(self, message: Message) -> tuple[int, bytes] | None:
        """Let the receiver handle the request; return None if the receiver is down."""
        if message.host == STORE:
            status, value = await self.state.handle(message.src, message.method, message.path, message.body)
        elif message.host == CLOUD:
            status, value = await self.cloud.handle(message.src, message.method, message.path, message.body)
        elif message.host.startswith(MACHINE_PREFIX):
            machine = self.machines.get(message.host)
            if machine is None or not machine.alive or machine.up_at > self.now():
                return None
            status, value = await machine.commands(message.body)
        else:
            return await self._deliver_to_controller(message)
        return status, msgspec.msgpack.encode(value)

    async def _deliver_to_controller(self, message: Message) -> tuple[int, bytes] | None:
        found = self.controllers.get(message.host)
        if found is None:
            return None
        router = found[0].router
        handle = router.handle_front if message.addr.startswith(USER_ADDRESS_PREFIX) else router.handle_peer
        response = await handle(Request(message.method, message.path.partition("?")[0], message.body))
        if message.path == HEARTBEAT_PATH and response.status == 200:
            sent = msgspec.msgpack.decode(response.body)
            self.rules.commands_sent(message.host, sent["orders"])
            self.rules.token_sent(message.host, msgspec.msgpack.decode(message.body)["yard"], sent["baton"])
        return response.status, response.body
