"""A cluster of controller processes with simulated key-value store, cloud and workers, in real time.

The harness starts the controllers and ends them by their process ids. The key-value store, the cloud and the workers
are the simulated ones, each behind an HTTP server with its own loopback address. Connections between controllers go
through relays, which can be cut.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec

from cloverplank.net.client import Client
from cloverplank.net.messages import NoResponseError, Request, Response
from cloverplank.net.server import Server
from tests.loopback.addresses import Addresses
from tests.loopback.processes import Kill, Process
from tests.loopback.programs import ROOT
from tests.loopback.relay import Relay
from tests.loopback.replicas import ReplicaMonitor
from tests.simulation.worker import Machine
from tests.simulation.world import World

MAX_CONNECTIONS = 2000
POLL_S = 0.1
CLOSE_DELAY_S = 0.5  # lets the simulated services notice that no controller is connected
CAPACITY, SCALE = 40, 8.0
REPEATED_COMMAND_DELAY_S = (0.1, 8.0)  # bounds of the time after which an answered command request arrives again

Handler = Callable[[Request], Awaitable[Response]]


def _target(request: Request) -> str:
    return request.path + ("?" + request.query if request.query else "")


async def run_command(*arguments: str) -> tuple[int | None, str, str]:
    """Run a command of this program; return its exit code, standard output and standard error."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "run.py",
        *arguments,
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    out, err = await process.communicate()
    return process.returncode, out.decode(), err.decode()


class LoopbackCluster(World):
    """A world whose controllers are processes; `listen` must be called before they start any work.

    Args:
        seed: for the random choices of the harness; runs still differ, since processes run in real time.
        folder: the folder for the settings files and logs of the controllers.
        programs: source folders of the program's versions, by name.
        first: the name of the program that every controller runs at first.
        operator: the text of the operators' settings for the controllers that are started next.

    """

    report_s, lease_s, cancel_s, list_lag_s = 1.0, 5.0, 20.0, 1.0

    def __init__(
        self,
        seed: int,
        *,
        folder: Path,
        programs: dict[str, Path],
        first: str,
        operator: str = "",
        controllers: int = 3,
        zones: int = 1,
        cpu: float = 1.0,
    ) -> None:
        labels = [f"c-{number}" for number in range(controllers)]
        self.folder = folder
        self.programs = programs
        self.program_of = dict.fromkeys(labels, first)
        self.operator_text = operator
        self.addresses = Addresses(labels)
        self.processes: dict[str, Process] = {}
        self.kills: list[Kill] = []
        self.replicas = ReplicaMonitor(self)
        self.client = Client(MAX_CONNECTIONS)
        self.servers: list[asyncio.Server] = []
        self.relays: dict[tuple[str, str], Relay] = {}  # by sender and receiver
        self.cut_zones: set[str] = set()
        self.repeated_commands = 0
        super().__init__(seed, zones=zones, capacity=CAPACITY, scale=SCALE, controllers=controllers, cpu=cpu)
        self.started_at = self.now()

    # -- simulated services

    async def listen(self) -> None:
        """Start the servers of the key-value store and the cloud, and the relays between controllers."""
        for label in self.labels:
            await self._serve(self.addresses.store(label), self._store_handler(label))
        await self._serve(self.addresses.cloud, self._handle_cloud)
        for src in self.labels:
            for dst in self.labels:
                if src != dst:
                    relay = self.relays[src, dst] = Relay(self.addresses.peer(dst), self.random)
                    self.servers.append(await relay.listen(self.addresses.relay(src, dst)))
        self.spawn(self.replicas.run())

    async def _serve(self, address: str, handler: Handler) -> asyncio.Server:
        host, _, port = address.partition(":")
        server = await Server(address, handler, MAX_CONNECTIONS).start(host, int(port))
        self.servers.append(server)
        return server

    def _store_handler(self, label: str) -> Handler:
        async def handle(request: Request) -> Response:
            await self._wait_while_cut(self.home[label])
            status, value = await self.state.handle(label, request.method, _target(request), request.body)
            return Response(status, msgspec.msgpack.encode(value))

        return handle

    async def _handle_cloud(self, request: Request) -> Response:
        status, value = await self.cloud.handle("", request.method, _target(request), request.body)
        return Response(status, msgspec.msgpack.encode(value))

    def boot(self, type_name: str, zone: str, spot: bool) -> str:
        """Start a machine whose worker accepts commands on a socket."""
        name = super().boot(type_name, zone, spot)
        machine = self.machines[name]
        machine.addr = self.addresses.worker(self.cloud.number)
        self.spawn(self._serve_machine(machine))
        return name

    async def _serve_machine(self, machine: Machine) -> None:
        async def handle(request: Request) -> Response:
            if request.method != "POST":
                return Response(200, msgspec.msgpack.encode(machine.heartbeat()))
            if self._is_command_across_partition(machine, request.body):
                await self._wait_while_cut(machine.zone)
            status, value = await machine.commands(request.body)
            if self._happens(self.faults.repeated_command_fraction):
                self.spawn(self._repeat_later(machine, request.body))
            return Response(status, msgspec.msgpack.encode(value))

        server = await self._serve(machine.addr, handle)
        while machine.alive:
            await asyncio.sleep(POLL_S)
        server.close()

    async def _repeat_later(self, machine: Machine, body: bytes) -> None:
        await asyncio.sleep(self.random.uniform(*REPEATED_COMMAND_DELAY_S))
        if machine.alive:
            await machine.commands(body)
            self.repeated_commands += 1

    async def send(
        self, src: str, addr: str, method: str, path: str, body: bytes | None = None, timeout: float = 2.0
    ) -> Response:
        """Send a request of a user or a worker to a controller, unless a partition separates them."""
        label = addr.removeprefix("front:")
        if src in self.machines and self._is_partitioned(self.machines[src].zone, self.home[label]):
            await asyncio.sleep(timeout)
            raise NoResponseError(f"{src} can't reach {label}: the link is cut")
        response = await self.client.request(self.addresses.front(label), method, path, body, timeout)
        if path == "/v1/report" and response.status == 200:
            self.rules.commands_sent(label, msgspec.msgpack.decode(response.body)["orders"])
        return response

    # -- partitions of zones

    def cut_zone(self, zone: str) -> None:
        """Partition a zone: its controllers and machines reach only one another."""
        self.cut_zones.add(zone)
        for (src, dst), relay in self.relays.items():
            if self._is_partitioned(self.home[src], self.home[dst]):
                relay.cut()

    def heal_zones(self) -> None:
        """End all partitions of zones."""
        self.cut_zones.clear()
        for relay in self.relays.values():
            relay.heal()

    def _is_partitioned(self, one: str, other: str) -> bool:
        return one != other and bool({one, other} & self.cut_zones)

    async def _wait_while_cut(self, zone: str) -> None:
        while zone in self.cut_zones:
            await asyncio.sleep(POLL_S)

    def _is_command_across_partition(self, machine: Machine, body: bytes) -> bool:
        """Return whether a command crosses a partition, by its token, since nothing else identifies its sender.

        It does if the token is that of the newest assignment of the zone's shard, or one that its owner has raised, and
        a partition separates the owner from the machine.
        """
        token = msgspec.msgpack.decode(body)["baton"]
        found = self.state.items.get(f"cp/block/{machine.zone}")
        return (
            found is not None and token >= found[1] and self._is_partitioned(machine.zone, self.home[found[0]["node"]])
        )

    # -- controllers

    def start(self, label: str) -> None:
        """Start a process of the controller's program, unless one is running."""
        if label in self.processes:
            return
        program = self.program_of[label]
        (self.folder / f"{label}.toml").write_text(self._settings(label))
        (self.folder / f"{label}.txtpb").write_text(self.operator_text)
        self.processes[label] = Process.start(label, program, self.programs[program], self.folder)

    def peers_text(self, label: str) -> str:
        """Return the peers section of a controller's settings, with a relay's address for each peer."""
        return "".join(
            f'[[peers]]\nlabel = "{other}"\nlocation = "{self.home[other]}"\n'
            f'peer_addr = "{self.addresses.relay(label, other)}"\n'
            for other in self.labels
            if other != label
        )

    def _settings(self, label: str) -> str:
        """Return the settings of the simulated world with loopback addresses, shorter times and a lower `value_kb`."""
        return (
            self.settings_text(label, self.peers_text(label))
            .replace("10.0.0.1:8080", self.addresses.front(label))
            .replace('peer_listen = "10.0.0.1:8081"', f'peer_listen = "{self.addresses.peer(label)}"')
            .replace("10.2.0.2:8443", self.addresses.cloud)
            .replace("10.2.0.1:2379", self.addresses.store(label))
            .replace("report_s = 2.0", f"report_s = {self.report_s}")
            .replace("lease_s = 8.0", f"lease_s = {self.lease_s}")
            .replace("cancel_s = 30.0", f"cancel_s = {self.cancel_s}")
            .replace("value_kb = 8.0", "value_kb = 2.0")
            .replace("list_lag_s = 3.0", f"list_lag_s = {self.list_lag_s}")
        )

    def crash(self, label: str) -> None:
        """Kill a controller's process, if there is one, and record it in `kills`."""
        process = self.processes.pop(label, None)
        if process is not None:
            self.kills.append(Kill(self.now() - self.started_at, label, process.program, self.phase()))
            process.kill()

    def start_all(self) -> None:
        """Start the controllers that are not running: a fault may be cancelled between the end and the start of one."""
        for label in self.labels:
            self.start(label)

    async def run_program(self, label: str, program: str, after_s: float) -> None:
        """Kill a controller's process and start it again after `after_s`, with the given program."""
        self.crash(label)
        self.program_of[label] = program
        await asyncio.sleep(after_s)
        self.start(label)

    def pause(self, label: str) -> None:
        """Suspend a controller's process until it is resumed."""
        self.processes[label].pause()

    def resume(self, label: str) -> None:
        """Let a paused controller continue, if it has a process."""
        if label in self.processes:
            self.processes[label].resume()

    def unexpectedly_ended(self) -> list[str]:
        """Return the controllers whose processes ended without being killed by the harness."""
        return [label for label, process in self.processes.items() if process.has_ended]

    async def command(self, *arguments: str, exit_code: int = 0) -> str:
        """Run a command of this program while the cluster is running; return what it prints.

        A command that succeeds must print nothing on standard error.
        """
        config = str(self.folder / f"{self.labels[0]}.toml")
        exited_with, out, err = await run_command(*arguments, "--config", config)
        assert exited_with == exit_code, (arguments, exited_with, out, err)
        assert exit_code or not err, (arguments, err)
        return out + err

    async def close(self) -> None:
        """Kill every process, by its id, and stop all simulated services."""
        for process in self.processes.values():
            process.kill()
        await asyncio.sleep(CLOSE_DELAY_S)
        for server in self.servers:
            server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.client.close()

    # -- committed state

    def phase(self) -> str:
        """Return the committed phase of the rollout."""
        found = self.state.items.get("cp/rollout")
        return "none" if found is None else found[0]["phase"]

    def version(self) -> int:
        """Return the committed cluster version."""
        found = self.state.items.get("cp/rollout")
        return 0 if found is None else found[0]["version"]
