"""A cluster of controller processes, started with the commands of the deploy file, among the project's stand-ins.

Key-value store, cloud, workers and users are those of `tests/simulation`, which follow the users' pages. What is changed
here: the cloud's capacity is by machine type, a machine listens only once it is up, and all that happens is recorded.
"""

from __future__ import annotations

import asyncio
import os
import shlex
import subprocess
import tomllib
from collections import defaultdict
from collections.abc import Callable
from pathlib import Path
from typing import Any, TextIO

import msgspec

import tests.loopback.cluster as loopback_module
import tests.simulation.world as world_module
from cloverplank.net.messages import NoResponseError, Request, Response
from review.common2.addresses import FreeAddresses
from review.common2.errors import NotRunError
from review.common2.site import Site
from tests.loopback.cluster import LoopbackCluster
from tests.loopback.processes import Process
from tests.simulation.cloud import Cloud
from tests.simulation.rules import Rules
from tests.simulation.worker import ENDED, Machine

ROOT = Path(__file__).resolve().parents[2]
NEVER_S = 1e6
SILENT_S = 60.0  # longer than any request is waited for
POLL_S = 0.1
READY_TIMEOUT_S = 25.0


class SiteCloud(Cloud):
    """A cloud with the machine types of the site and a number of machines for each type, zone and kind."""

    TYPES: tuple[dict[str, Any], ...] = ()  # type: ignore[assignment]

    async def handle(self, src: str, method: str, path: str, body: bytes) -> tuple[int, Any]:
        """Handle a request, and record what is rented and released."""
        status, value = await super().handle(src, method, path, body)
        if method == "POST":
            asked = msgspec.msgpack.decode(body)
            self.world.note(f"cloud {path} {asked} -> {status} {value}")
        elif path.startswith("/machine_types"):
            value = {"builds": list(self.TYPES)}
        return status, value

    def _provision(self, asked: dict) -> tuple[int, Any]:
        if asked["hire"] in self.provisioned:
            return 200, {"planks": self.provisioned[asked["hire"]]}
        build, zone, spot = asked["build"], asked["yard"], asked["loaners"]
        used = sum(
            (one.type, one.zone, one.spot) == (build, zone, spot) and not (one.released or one.reclaimed)
            for one in self.world.machines.values()
        )
        count = min(self.world.site.capacity.get((build, zone, spot), 0) - used, asked["number"])
        if count <= 0:
            return 503, {"error": "no capacity"}
        names = [self.world.boot(build, zone, spot) for _ in range(count)]
        self.provisioned[asked["hire"]] = names
        return 200, {"planks": names}


class NotedRules(Rules):
    """The stand-ins' own record of events, which is also written to the record file."""

    def task_started(self, name: str, attempt: int, machine: Machine) -> None:
        """Record that a task starts on a machine."""
        self.world.note(f"task {name} attempt {attempt} starts on {machine.id} ({machine.type}, {machine.zone})")
        super().task_started(name, attempt, machine)

    def task_ended(self, name: str, machine: Machine) -> None:
        """Record that a task is no longer on a machine."""
        if machine.id in self.running_on.get(name, set()):
            self.world.note(f"task {name} leaves {machine.id}")
        super().task_ended(name, machine)


def _deploy() -> dict[str, str]:
    return tomllib.loads((ROOT / "deploy" / "service.toml").read_text("utf-8"))


class ReviewCluster(LoopbackCluster):
    """Controllers of this checkout at a site, with stand-ins for all else; `note` writes to the record."""

    def __init__(
        self,
        seed: int,
        site: Site,
        *,
        folder: Path,
        record: TextIO,
        boot_s: Callable[[str, str, int], float] = lambda type_name, zone, number: 2.0,
    ) -> None:
        loopback_module.Addresses = FreeAddresses  # type: ignore[misc,assignment]
        world_module.Cloud = SiteCloud  # type: ignore[misc]
        world_module.Rules = NotedRules  # type: ignore[misc]
        SiteCloud.TYPES = tuple(site.types)
        self.site = site
        self.record = record
        self.boot_s = boot_s
        self.report_s, self.lease_s, self.cancel_s = site.report_s, site.lease_s, site.cancel_s
        self.list_lag_s = site.list_lag_s
        self._run = shlex.split(_deploy()["run"])
        super().__init__(seed, folder=folder, programs={"head": ROOT}, first="head", zones=len(site.zones))
        self.cloud.left = defaultdict(int)
        self.limits = {name: most for name, (_, most) in site.teams.items()}
        self.state.value_bytes, self.state.txn_ops = int(site.value_kb * 1024), site.txn_ops

    def note(self, text: str) -> None:
        """Write a line to the record, with the seconds since the start of the cluster."""
        since = self.now() - getattr(self, "started_at", self.now())
        self.record.write(f"{since:8.2f} {text}\n")
        self.record.flush()

    # -- controllers

    def start(self, label: str) -> None:
        """Start a controller with the command of the deploy file."""
        if not hasattr(self, "site_home"):
            # The base class names zones by number; the site has names of its own.
            self.zones = list(self.site.zones)
            self.home = {one: self.zones[number % len(self.zones)] for number, one in enumerate(self.labels)}
            self.site_home = True
        if label in self.processes:
            return
        config = self.folder / f"{label}.toml"
        config.write_text(
            self.site.settings(
                label=label,
                zone=self.home[label],
                front=self.addresses.front(label),
                peer=self.addresses.peer(label),
                peers=self.peers_text(label),
                cloud=self.addresses.cloud,
                state=self.addresses.store(label),
            )
        )
        with (self.folder / f"{label}.log").open("a") as log:
            popen = subprocess.Popen(
                [*self._run, str(config)],
                cwd=ROOT,
                env=_environment(),
                stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL,
                stderr=log,
            )
        self.processes[label] = Process(label, "head", popen)
        self.note(f"controller {label} in {self.home[label]} started: {shlex.join(self._run)} {config.name}")

    async def wait_until_ready(self) -> None:
        """Wait until every controller is ready and every zone's shard has an owner."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            for label in self.labels:
                while (await self.ask("GET", "/ready", label=label))[0] != 200:
                    await asyncio.sleep(POLL_S)
            while not all(f"cp/block/{zone}" in self.state.items for zone in self.zones):
                await asyncio.sleep(POLL_S)
        self.note("all controllers are ready")

    def leader(self) -> str:
        """Return the controller that leads by the store, an empty text without one."""
        found = self.state.items.get("cp/leader")
        return "" if found is None else found[0]["node"]

    def owner(self, zone: str) -> str:
        """Return the controller that owns a zone's shard by the store, an empty text without one."""
        found = self.state.items.get(f"cp/block/{zone}")
        return "" if found is None else found[0]["node"]

    # -- machines

    def boot(self, type_name: str, zone: str, spot: bool) -> str:
        """Start a machine, which is up after the time that the scenario sets."""
        name = super().boot(type_name, zone, spot)
        machine = self.machines[name]
        boot_s = min(NEVER_S, self.boot_s(type_name, zone, self.cloud.number))
        machine.up_at = self.now() + boot_s
        kind = "spot" if spot else "ordinary"
        self.note(f"machine {name} rented: {type_name}, {zone}, {kind}, up after {boot_s:.1f} s")
        return name

    def lower_store_limits(self) -> None:
        """Let the state service enforce the announced limits from now on, without notice."""
        self.state.value_bytes = int(self.site.coming.get("value_kb", self.site.value_kb) * 1024)
        self.state.txn_ops = int(self.site.coming.get("txn_ops", self.site.txn_ops))
        self.note(f"the state service takes values of {self.state.value_bytes} bytes from now on")

    async def _serve_machine(self, machine: Machine) -> None:
        while machine.alive and machine.up_at > self.now():
            await asyncio.sleep(min(POLL_S, machine.up_at - self.now()))
        if not machine.alive:
            return

        async def handle(request: Request) -> Response:
            if request.method != "POST":
                return Response(200, msgspec.msgpack.encode(machine.heartbeat()))
            if not machine.alive:  # connections to a machine that is gone hang
                await asyncio.sleep(SILENT_S)
            status, value = await machine.commands(request.body)
            return Response(status, msgspec.msgpack.encode(value))

        server = await self._serve(machine.addr, handle)
        self.note(f"machine {machine.id} is up")
        while machine.alive:
            await asyncio.sleep(POLL_S)
        server.close()

    async def send(
        self, src: str, addr: str, method: str, path: str, body: bytes | None = None, timeout: float = 2.0
    ) -> Response:
        """Send a request to a controller, and record those of users, and reports that are not answered with 200."""
        label = addr.removeprefix("front:")
        try:
            response = await super().send(src, addr, method, path, body, timeout)
        except NoResponseError as err:
            if path != "/ready":
                self.note(f"{src} -> {label} {method} {path} ({len(body or b'')} bytes): no response: {err}")
            raise
        if path == "/v1/report":
            if response.status != 200:
                text = msgspec.msgpack.decode(response.body) if response.body else None
                self.note(f"{src} -> {label} report of {len(body or b'')} bytes: {response.status} {text}")
        elif path != "/ready":
            asked = msgspec.msgpack.decode(body) if body else ""
            answer = msgspec.msgpack.decode(response.body) if response.body else ""
            self.note(f"{src} -> {label} {method} {path} {asked}: {response.status} {answer}")
        return response

    # -- what users and the platform can see

    def free_cpus(self, machine: Machine) -> float:
        """Return the CPUs of a machine that no task on it takes, fetching ones included."""
        used = sum(self.jobs[task.job]["vcpus"] for task in machine.tasks.values() if task.status != ENDED)
        return machine.vcpus - used

    def machine_with_room(self, spec: dict[str, Any]) -> str:
        """Return a machine that is up, keeps its lease, fits one task of the job and has room; else an empty text."""
        for machine in self.machines.values():
            up = machine.alive and not machine.hung and machine.up_at <= self.now()
            fits = (
                spec["yard"] in (None, machine.zone)
                and (spec["builds"] is None or machine.type in spec["builds"])
                and (spec["loaners"] or not machine.spot)
                and machine.warning_until is None
            )
            if up and fits and self.free_cpus(machine) >= spec["vcpus"] and self._memory_fits(machine, spec):
                return machine.id
        return ""

    def _memory_fits(self, machine: Machine, spec: dict[str, Any]) -> bool:
        used = sum(self.jobs[task.job]["ram_gb"] for task in machine.tasks.values() if task.status != ENDED)
        return used + spec["ram_gb"] <= self.cloud.machine_type(machine.type)["ram_gb"]

    def is_under_limit(self, spec: dict[str, Any]) -> bool:
        """Return whether one more task of the job keeps its team under its limit, by the tasks on machines."""
        used = sum(
            self.jobs[task.job]["vcpus"]
            for machine in self.machines.values()
            for task in machine.tasks.values()
            if task.status != ENDED and self.jobs[task.job]["crew"] == spec["crew"]
        )
        return used + spec["vcpus"] <= self.limits[spec["crew"]] + 1e-6

    def started(self, job: str) -> bool:
        """Return whether any task of the job was ever started."""
        return job in self.rules.started_jobs

    async def watch_for_wait(self, spec: dict[str, Any], bound_s: float, until_s: float) -> float:
        """Return the longest time for which no task of the job was started though room and limit allowed one.

        Ends when a task starts or when the time exceeds `bound_s`. Raises NotRunError if neither has happened `until_s`
        seconds after the cluster's start.
        """
        longest, since, place = 0.0, None, ""
        while not self.started(spec["id"]) and self.now() - self.started_at < until_s:
            room = self.machine_with_room(spec)
            if not room or not self.is_under_limit(spec):
                if since is not None:
                    self.note(f"{spec['id']}: no machine with room any more")
                since = None
            else:
                if since is None:
                    since = self.now()
                    self.note(f"{spec['id']} waits; {room} has room, {spec['crew']} is under its limit")
                elif room != place:
                    self.note(f"{spec['id']} waits; now {room} has room")
                longest = max(longest, self.now() - since)
            place = room
            if longest > bound_s:
                break
            await asyncio.sleep(POLL_S)
        self.note(f"{spec['id']}: waited {longest:.1f} s beside room, started: {self.started(spec['id'])}")
        if longest <= bound_s and not self.started(spec["id"]):
            raise NotRunError(f"{spec['id']} had waited {longest:.1f} s beside room when the time was over")
        return longest


def _environment() -> dict[str, str]:
    kept = {name: value for name, value in os.environ.items() if not name.startswith("PYTHON")}
    return kept | {"LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")}
