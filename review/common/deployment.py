"""A small deployment on loopback: real controllers, and the project's own stand-ins around them.

Each controller runs from a checkout of its own, with the command of the deploy file, so that its operators' settings
can be edited in `deploy/operator.txtpb` as on a real host. Store, cloud and workers are the stand-ins of
`tests/simulation`, served on loopback by `tests/loopback`. Times are seconds of real time since the start.
"""

from __future__ import annotations

import asyncio
import os
import random
import shlex
import shutil
import socket
import subprocess
import tomllib
from collections.abc import Callable
from pathlib import Path

import msgspec

from cloverplank.net.messages import NoResponseError, Response
from tests.loopback import cluster
from tests.loopback.addresses import CLOUD_HOST, CLOUD_PORT, Addresses
from tests.loopback.cluster import LoopbackCluster
from tests.loopback.processes import Kill, Process
from tests.simulation.worker import Machine

ROOT = Path(__file__).resolve().parents[2]
RUN = shlex.split(tomllib.loads((ROOT / "deploy" / "service.toml").read_text("utf-8"))["run"])
OPERATOR_FILE = ROOT / "deploy" / "operator.txtpb"

# The values of the deployment in Seoul (kit/sites/seoul-giftcard-ledger.toml), but for names, teams and list_lag_s.
SETTINGS = """
label = "{label}"
location = "{zone}"
front = "{front}"
peer_listen = "{peer}"
{peers}
[outside]
cloud = "{cloud}"
state = "{state}"
[facts]
count = {count}
zones = {zones}
time_bound_ms = 5.0
{teams}
[[facts.objectives]]
kind = "wait"
class = "web"
within_s = 1.0
share = 0.9
[facts.workers]
report_s = 2.5
lease_s = 12.0
gang_wait_s = 45.0
gang_peer_s = 8.0
cancel_s = 37.0
[facts.state]
rps = 150.0
write_rps = 50.0
value_kb = 8.0
txn_ops = 40
[facts.cloud]
rps = 2.0
list_lag_s = 4.0
[facts.machine_limits]
cpu = 0.72
mem_mb = 266.0
sockets = 1200
"""
TEAM = '[[facts.teams]]\nname = "{name}"\ncpus = {least}\ncpus_max = {most}\ngpus = 0.0\ngpus_max = 0.0\n'


class Record:
    """Writes what was sent, answered and run to a file, one line for each event."""

    def __init__(self, path: Path, now: Callable[[], float]) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._now = now
        self._started_at = now()

    def seconds(self) -> float:
        """Return the seconds since the start."""
        return self._now() - self._started_at

    def write(self, text: str) -> None:
        """Write an event with its time."""
        self._file.write(f"{self.seconds():8.3f}  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class FreeAddresses(Addresses):
    """Addresses in a part of the loopback range in which nobody listens on the ports that are used."""

    def __init__(self, labels: list[str]) -> None:
        super().__init__(labels)
        for prefix in random.sample(range(1, 251), 250):
            self._prefix = f"127.{prefix}"
            self._network = f"{self._prefix}.0"
            self.cloud = f"{self._network}.{CLOUD_HOST}:{CLOUD_PORT}"
            used = [self.cloud, *map(self.front, labels), *map(self.peer, labels), *map(self.store, labels)]
            used += [self.relay(src, dst) for src in labels for dst in labels if src != dst]
            if all(map(_is_free, used)):
                return
        raise OSError("no free addresses on loopback")


def _is_free(address: str) -> bool:
    host, _, port = address.partition(":")
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind((host, int(port)))
        except OSError:
            return False
    return True


cluster.Addresses = FreeAddresses  # type: ignore[misc]


class Deployment(LoopbackCluster):
    """Three controllers in one or two zones with their store, cloud, workers and users."""

    report_s, lease_s, cancel_s, list_lag_s = 2.5, 12.0, 37.0, 4.0

    def __init__(self, seed: int, *, folder: Path, record_path: Path, zones: int) -> None:
        self.record = Record(record_path, asyncio.get_running_loop().time)
        super().__init__(seed, folder=folder, programs={"head": ROOT}, first="head", zones=zones)
        self.state.txn_ops = 40  # as in the settings; value_bytes is 8 KiB already
        self._record_tasks()
        self.spawn(self._record_assignments())

    def note(self, text: str) -> None:
        """Write an event to the record."""
        self.record.write(text)

    # -- controllers

    def checkout(self, label: str) -> Path:
        """Return the controller's own checkout, which is made on first use."""
        target = self.folder / f"checkout-{label}"
        if not target.is_dir():
            ignored = shutil.ignore_patterns("__pycache__", "*.egg-info")
            shutil.copytree(ROOT / "src", target / "src", ignore=ignored)
            shutil.copytree(ROOT / "deploy", target / "deploy")
            shutil.copy(ROOT / "run.py", target / "run.py")
            (target / "target").mkdir()
            (target / "target" / "deps").symlink_to(ROOT / "target" / "deps")
        return target

    def set_operator_settings(self, label: str, more: str) -> None:
        """Put the repository's operators' settings and some more into the controller's deploy/operator.txtpb."""
        text = OPERATOR_FILE.read_text("utf-8") + more
        (self.checkout(label) / "deploy" / "operator.txtpb").write_text(text, "utf-8")
        self.note(f"{label}: deploy/operator.txtpb has the repository's settings{' and ' + more.strip() if more else ''}")

    def start(self, label: str) -> None:
        """Start the controller with the command of the deploy file, unless it runs."""
        if label in self.processes:
            return
        settings = self.folder / f"{label}.toml"
        settings.write_text(self._settings(label), "utf-8")
        checkout = self.checkout(label)
        with (self.folder / f"{label}.log").open("a") as log:
            popen = subprocess.Popen(
                [*RUN, str(settings)],
                cwd=checkout,
                env=os.environ | {"LOG_LEVEL": "info", "PYTHONDONTWRITEBYTECODE": "1"},
                stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL,
                stderr=log,
            )
        self.processes[label] = Process(label, "head", popen)
        self.note(f"{label}: process {popen.pid} started")

    def crash(self, label: str) -> None:
        """Kill the controller's process, if there is one."""
        process = self.processes.pop(label, None)
        if process is not None:
            self.kills.append(Kill(self.now() - self.started_at, label, process.program, self.phase()))
            process.kill()
            self.note(f"{label}: process {process.popen.pid} killed")

    def _settings(self, label: str) -> str:
        peers = self.peers_text(label)
        teams = "".join(TEAM.format(name=name, least=cpus / 2, most=cpus) for name, cpus in self.limits.items())
        zones = ", ".join(f'"{zone}"' for zone in self.zones)
        return SETTINGS.format(
            label=label,
            zone=self.home[label],
            front=self.addresses.front(label),
            peer=self.addresses.peer(label),
            peers=peers,
            cloud=self.addresses.cloud,
            state=self.addresses.store(label),
            count=len(self.labels),
            zones=f"[{zones}]",
            teams=teams,
        )

    # -- what is recorded

    async def send(
        self, src: str, addr: str, method: str, path: str, body: bytes | None = None, timeout: float = 2.0
    ) -> Response:
        """Send a request of a user or a worker, and record it with its answer; a worker's only if it has orders."""
        is_user = src not in self.machines
        try:
            response = await super().send(src, addr, method, path, body, timeout)
        except NoResponseError as err:
            if is_user and path != "/ready":
                self.note(f"user -> {addr} {method} {path}: no answer ({err})")
            raise
        answer = msgspec.msgpack.decode(response.body) if response.body else {}
        if is_user and path != "/ready":
            self.note(f"user -> {addr} {method} {path}: {response.status} {answer}")
        elif not is_user and response.status == 200 and answer["orders"]:
            self.note(f"{src} reports to {addr}: token {answer['baton']}, orders {answer['orders']}")
        return response

    def boot(self, type_name: str, zone: str, spot: bool) -> str:
        """Start a machine, and record the orders that it executes."""
        name = super().boot(type_name, zone, spot)
        machine = self.machines[name]
        self.note(f"cloud: {name} ({type_name}, {zone}, {'spot' if spot else 'on-demand'}) rented")
        self._record_orders(machine)
        return name

    def _record_orders(self, machine: Machine) -> None:
        execute, release = machine.execute, machine.release

        def recorded_execute(orders: list[dict]) -> None:
            if orders:
                self.note(f"{machine.id} executes {orders}")
            execute(orders)

        def recorded_release() -> None:
            if not machine.released:
                self.note(f"cloud: {machine.id} released by a controller")
            release()

        machine.execute = recorded_execute  # type: ignore[method-assign]
        machine.release = recorded_release  # type: ignore[method-assign]

    def _record_tasks(self) -> None:
        """Record when a task begins to be on a machine and when it no longer is."""
        started, ended = self.rules.task_started, self.rules.task_ended

        def task_started(name: str, attempt: int, machine: Machine) -> None:
            others = sorted(self.rules.running_on.get(name, set()) - {machine.id})
            also = f" WHILE IT IS ON {others}" if others else ""
            self.note(f"task {name} attempt {attempt} starts on {machine.id} in {machine.zone}{also}")
            started(name, attempt, machine)

        def task_ended(name: str, machine: Machine) -> None:
            if machine.id in self.rules.running_on.get(name, set()):
                self.note(f"task {name} is no longer on {machine.id} in {machine.zone}")
            ended(name, machine)

        self.rules.task_started = task_started  # type: ignore[method-assign]
        self.rules.task_ended = task_ended  # type: ignore[method-assign]

    async def _record_assignments(self) -> None:
        """Record each commit that changes the leader or the owner of a zone."""
        seen = 0
        while True:
            for event in self.state.log[seen:]:
                key = event.get("put") or event["delete"]
                if key == "cp/leader" or key.startswith("cp/block/"):
                    holder = event["value"]["node"] if "put" in event else "nobody"
                    self.note(f"store: {key} is held by {holder} since revision {event['stamp']}")
            seen = len(self.state.log)
            await asyncio.sleep(0.1)
