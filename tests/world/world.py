"""Controllers, stand-ins, network and users together."""

from __future__ import annotations

import asyncio
import random

import msgspec

from cloverplank.basic_types import Clock
from cloverplank.controller import Controller
from cloverplank.net.messages import NoAnswer, NotSent, Request, Response
from cloverplank.settings.operator import Operator
from cloverplank.settings.platform import parse_platform

from .link import Link
from .production import ProductionLink
from .rules import Rules
from .services import Cloud, StateService
from .worker import Machine

SETTINGS = """
label = "{label}"
location = "{zone}"
front = "10.0.0.1:8080"
peer_listen = "10.0.0.1:8081"
{peers}
[outside]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[facts]
zones = {zones}
{teams}
[[facts.objectives]]
kind = "wait"
class = "web"
within_s = 1.0
share = 0.9
[facts.workers]
report_s = 2.0
lease_s = 8.0
cancel_s = 30.0
[facts.state]
rps = 300.0
write_rps = 60.0
value_kb = 8.0
txn_ops = 12
{coming}
[facts.cloud]
rps = 3.0
list_lag_s = 3.0
"""
COMING = """
[facts.state.next]
write_rps = 40.0
value_kb = 2.0
txn_ops = 4
"""
PEER = '[[peers]]\nlabel = "{label}"\nlocation = "{zone}"\npeer_addr = "10.0.0.{number}:8081"\n'
TEAM = '[[facts.teams]]\nname = "{name}"\ncpus = {cpus}\ncpus_max = {most}\n'


class World:
    """`noise`: the part of messages that are dropped, delayed past their time limit, or repeated late."""

    report_s, lease_s, cancel_s, list_lag_s = 2.0, 8.0, 30.0, 3.0

    def __init__(
        self,
        seed: int,
        zones: int = 1,
        noise: float = 0.0,
        capacity: int = 6,
        scale: float = 1.0,
        coming_limits: bool = False,
        old: tuple[str, ...] = (),
    ) -> None:
        """`coming_limits`: the settings say that the state service will have lower ones. `old`: controllers that
        begin as production's version."""
        self.coming_limits = coming_limits
        self.old = set(old)
        self.random = random.Random(seed)
        self.zones = [f"zone-{n}" for n in range(zones)]
        self.labels = ["c-0", "c-1", "c-2"]
        self.home = {label: self.zones[n % zones] for n, label in enumerate(self.labels)}
        self.noise = noise
        self.capacity = capacity
        self.limits = {"red": 40.0 * scale, "blue": 24.0 * scale}
        self.loop = asyncio.get_running_loop()
        self.state = StateService(self.now)
        self.machines: dict[str, Machine] = {}
        self.cloud = Cloud(self)
        self.rules = Rules(self)
        self.jobs: dict[str, dict] = {}
        self.durations: dict[str, float] = {}  # by job, or by task where the tasks of a job differ
        self.done_tasks: set[str] = set()
        self.controllers: dict[str, tuple[Controller, asyncio.Task]] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.deaf: set[str] = set()  # machines whose reports arrive while answers and commands don't
        self.copies = 0.0  # part of reports of which a copy arrives late, up to several leases
        self.mute: set[str] = set()  # machines that reach no controller, while direct commands reach them
        self.late_writes = 0.0  # part of transactions that get no answer and are carried out 2 to 12 s later
        self.cancel_at_end = 0.0  # part of the jobs that are called off at the moment of their end
        self.slow_state = 0.0  # seconds that the state service takes for an answer, at the most
        self.slow_links = 0.0  # seconds that any message takes on its way, at the most
        self.late_orders = 0.0  # part of direct commands, or of their answers, that are held up for 1 to 8 s
        self.held_reports = 0.0  # part of reports that arrive only 5 to 15 s later, and then anywhere
        self.held: list = []
        self.hold = True
        self.tasks: set[asyncio.Task] = set()
        for label in self.labels:
            self.start(label)
        self.spawn(self._steps())

    def now(self) -> float:
        return self.loop.time()

    def spawn(self, work) -> asyncio.Task:  # noqa: ANN001
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def _steps(self) -> None:
        turn = 0
        while True:
            for machine in list(self.machines.values()):
                machine.step()
            if turn % 10 == 0:
                self.cloud.snapshot()
                self.rules.sweep()
            turn += 1
            await asyncio.sleep(0.1)

    # -- controllers

    def start(self, label: str) -> None:
        peers = "".join(
            PEER.format(label=other, zone=self.home[other], number=n + 1)
            for n, other in enumerate(self.labels)
            if other != label
        )
        teams = "".join(TEAM.format(name=n, cpus=m / 2, most=m) for n, m in self.limits.items())
        zones = "[" + ", ".join(f'"{z}"' for z in self.zones) + "]"
        platform = parse_platform(
            SETTINGS.format(
                label=label,
                zone=self.home[label],
                peers=peers,
                zones=zones,
                teams=teams,
                coming=COMING if self.coming_limits else "",
            )
        )
        drift = 1 + self.random.uniform(0, 0.0005)
        clock = Clock(lambda: self.now() * drift, lambda: 1.7e9 + self.now())
        link = ProductionLink(self, label) if label in self.old else Link(self, label)
        controller = Controller(platform, Operator(), clock, link, random.Random(self.random.random()))
        self.controllers[label] = controller, asyncio.ensure_future(controller.run())

    def crash(self, label: str) -> None:
        controller, task = self.controllers.pop(label, (None, None))
        if controller is None:
            return
        task.cancel()
        own = [*controller._tasks, *controller.queue._tasks, *controller.fresh._tasks]
        for one in [*own, *controller.dependency_sweep.tasks, *controller.hints.tasks]:
            one.cancel()
        for block in controller.blocks.values():
            block.close()

    async def restart(self, label: str, after: float, upgrade: bool = False) -> None:
        self.crash(label)
        if upgrade:
            self.old.discard(label)
        await asyncio.sleep(after)
        if label not in self.controllers:
            self.start(label)

    # -- machines

    def boot(self, type_name: str, zone: str, spot: bool) -> str:
        self.cloud.number += 1
        number = self.cloud.number
        name = f"m-{number:06d}"
        ready = next(t["ready_s"] for t in Cloud.TYPES if t["sku"] == type_name)
        machine = Machine(
            self,
            name,
            f"10.1.0.{number}:9000",
            type_name,
            zone,
            spot,
            self.now(),
            self.now() + ready * self.random.uniform(0.6, 1.5),
        )
        self.machines[name] = machine
        self.spawn(machine.run())
        return name

    # -- network

    def cut(self, one: str, other: str) -> None:
        self.cuts |= {(one, other), (other, one)}

    def heal(self) -> None:
        self.cuts.clear()
        for late in self.held:
            self.spawn(late())
        self.held.clear()

    def _host(self, addr: str) -> str:
        if addr.startswith("front:"):
            return addr[6:]
        if addr == "10.2.0.1:2379":
            return "state"
        if addr == "10.2.0.2:8443":
            return "cloud"
        if addr.startswith("10.0.0."):
            return self.labels[int(addr.split(":")[0].rsplit(".", 1)[1]) - 1]
        return f"m-{int(addr.split(':')[0].rsplit('.', 1)[1]):06d}"

    def _is_cut(self, src: str, host: str) -> bool:
        pairs = {(src, host), (src, "*"), ("*", host)}
        if src.startswith("m-"):
            pairs.add(("workers", host))
        if host.startswith("m-"):
            pairs.add((src, "workers"))
        return bool(pairs & self.cuts)

    async def _carry_out(self, src, host, addr, method, path, body) -> tuple[int, bytes] | None:  # noqa: ANN001
        if host == "state":
            status, value = await self.state.handle(src, method, path, body or b"")
        elif host == "cloud":
            status, value = await self.cloud.handle(src, method, path, body or b"")
        elif host.startswith("m-"):
            machine = self.machines.get(host)
            if machine is None or not machine.alive or machine.up_at > self.now():
                return None
            status, value = await machine.orders(body or b"")
        else:
            found = self.controllers.get(host)
            if found is None:
                return None
            request = Request(method, path.partition("?")[0], body or b"")
            response = await (found[0].front if addr.startswith("front:") else found[0].peer)(request)
            if path == "/v1/report" and response.status == 200:
                self.rules.ordered(host, msgspec.msgpack.decode(response.body)["orders"])
            return response.status, response.body
        return status, msgspec.msgpack.encode(value)

    async def send(self, src, addr, method, path, body=None, timeout=2.0) -> Response:  # noqa: ANN001
        host = self._host(addr)
        if path == "/orders" and body:
            self.rules.ordered(src, msgspec.msgpack.decode(body)["orders"])
        chance = self.random.random() if host != src else 1.0
        if path.startswith("/watch"):
            chance = 1.0
        if host in self.labels and host not in self.controllers:
            await asyncio.sleep(0.002)
            raise NotSent("refused")
        if src in self.mute:
            await asyncio.sleep(timeout)
            raise NotSent("mute")
        if self._is_cut(src, host):
            if self.hold and self.random.random() < 0.5:
                self.held.append(lambda: self._carry_out(src, host, addr, method, path, body))
                await asyncio.sleep(timeout)
                raise NoAnswer("cut")
            await asyncio.sleep(timeout)
            raise NotSent("cut")
        await asyncio.sleep(self.random.uniform(0.001, 0.01))
        if self.copies and path == "/v1/report" and self.random.random() < self.copies:
            # To any controller: the worker may have changed over meanwhile.
            other = f"front:{self.random.choice(self.labels)}"
            late = self.random.uniform(0.5, 4 * self.lease_s)
            self.spawn(self._late(late, src, self._host(other), other, method, path, body))
        if host == "state" and path == "/commit" and self.late_writes and self.random.random() < self.late_writes:
            self.spawn(self._late(self.random.uniform(2.0, 12.0), src, host, addr, method, path, body))
            await asyncio.sleep(timeout)
            raise NoAnswer("carried out late")
        if host == "state" and self.slow_state:
            await asyncio.sleep(min(timeout, self.random.uniform(0.0, self.slow_state)))
        if self.slow_links:
            await asyncio.sleep(min(timeout, self.random.uniform(0.0, self.slow_links)))
        if self.late_orders and path == "/orders" and self.random.random() < self.late_orders:
            late = self.random.uniform(1.0, 8.0)
            if self.random.random() < 0.5:
                await self._carry_out(src, host, addr, method, path, body)
            else:
                self.spawn(self._late(late, src, host, addr, method, path, body))
            await asyncio.sleep(timeout)
            raise NoAnswer("held up")
        if self.held_reports and path == "/v1/report" and self.random.random() < self.held_reports:
            other = f"front:{self.random.choice(self.labels)}"
            late = self.random.uniform(5.0, 15.0)
            self.spawn(self._late(late, src, self._host(other), other, method, path, body))
            await asyncio.sleep(timeout)
            raise NoAnswer("held back")
        if host in self.deaf:
            await asyncio.sleep(timeout)
            raise NoAnswer("deaf")
        if src in self.deaf:
            for label in self.labels:  # the worst case: whoever holds the block hears every report
                await self._carry_out(src, label, f"front:{label}", method, path, body)
            await asyncio.sleep(timeout)
            raise NoAnswer("deaf")
        if chance < self.noise * 0.3:
            await asyncio.sleep(timeout)
            raise NoAnswer("request lost")
        if chance < self.noise * 0.6:
            late = timeout + self.random.uniform(0.0, 15.0)
            self.spawn(self._late(late, src, host, addr, method, path, body))
            await asyncio.sleep(timeout)
            raise NoAnswer("request late")
        if chance < self.noise * 0.8:
            self.spawn(self._late(self.random.uniform(0.1, 10.0), src, host, addr, method, path, body))
        work = asyncio.ensure_future(self._carry_out(src, host, addr, method, path, body))
        try:
            async with asyncio.timeout(timeout):
                found = await asyncio.shield(work)
                if found is None:
                    await asyncio.sleep(timeout)
        except TimeoutError as err:
            raise NoAnswer("no response") from err
        if chance < self.noise or self._is_cut(src, host):
            await asyncio.sleep(timeout)
            raise NoAnswer("response lost")
        assert found is not None
        await asyncio.sleep(self.random.uniform(0.001, 0.01))
        return Response(found[0], found[1])

    async def _late(self, after: float, *what) -> None:  # noqa: ANN002
        await asyncio.sleep(after)
        await self._carry_out(*what)

    # -- users

    def job(self, number: int, **more) -> dict:  # noqa: ANN003
        spec = {
            "id": f"run-{number:06d}",
            "lane": "nightly",
            "crew": "red",
            "shape": "batch",
            "rank": "standard",
            "pieces": 4,
            "vcpus": 2.0,
            "gpus": 0.0,
            "ram_gb": 4.0,
            "bundle": "img",
            "image_gb": 0.3,
            "builds": None,
            "yard": None,
            "together": False,
            "apart": False,
            "loaners": True,
            "guess_s": 5.0,
            "marker_s": 0.0,
            "stow_s": 0.0,
            "due_s": None,
        } | more
        self.jobs[spec["id"]] = spec
        self.durations[spec["id"]] = self.random.uniform(1.0, 10.0)
        return spec

    async def ask(self, method: str, path: str, body: dict | None = None, label: str | None = None) -> tuple[int, dict]:
        label = label or self.random.choice(self.labels)
        data = None if body is None else msgspec.msgpack.encode(body)
        try:
            response = await self.send("user", f"front:{label}", method, path, data, 5.0)
        except NoAnswer:
            return 0, {}
        return response.status, msgspec.msgpack.decode(response.body) if response.body else {}

    async def tell(
        self, job: str, method: str, path: str, body: dict | None = None, label: str | None = None
    ) -> tuple[int, str | None]:
        """Asks about a job and has the answer checked."""
        before, asked_at = self.rules.told.get(job), self.now()
        status, value = await self.ask(method, path, body, label)
        self.rules.answered(job, status, value.get("status"), before, submitting=path == "/api/jobs", asked_at=asked_at)
        return status, value.get("status")

    async def submit(self, spec: dict) -> bool:
        self.rules.submitted.add(spec["id"])
        self.rules.submitted_at.setdefault(spec["id"], self.now())
        for _ in range(40):
            status, _ = await self.tell(spec["id"], "POST", "/api/jobs", spec)
            if status in (200, 201):
                return True
            if status in (400, 422):
                return False
            await asyncio.sleep(1.0)
        return False

    async def follow(self, spec: dict, cancel_after: float | None = None) -> str | None:
        """Submits a job and polls it to its end, as a user does."""
        if not await self.submit(spec):
            return None
        started = self.now()
        while True:
            if cancel_after is not None and self.now() - started > cancel_after:
                self.rules.cancel_asked.add(spec["id"])
                status, state = await self.tell(spec["id"], "POST", f"/api/jobs/{spec['id']}/cancel")
            else:
                status, state = await self.tell(spec["id"], "GET", f"/api/jobs/{spec['id']}")
            if status == 200 and state in ("done", "cancelled"):
                return state
            await asyncio.sleep(1.0 if cancel_after else 2.5)

    async def call_off(self, job: str, label: str | None = None) -> str | None:
        """A user cancels, again and again until it is told what became of it."""
        self.rules.cancel_asked.add(job)
        for _ in range(120):
            status, state = await self.tell(job, "POST", f"/api/jobs/{job}/cancel", label=label)
            if status == 200:
                return state
            await asyncio.sleep(1.0)
        return None

    def at_work(self) -> list[str]:
        """Accepted jobs that have tasks on machines and that nobody has called off."""
        found = {name.rsplit("/", 1)[0] for name, machines in self.rules.where.items() if machines}
        return sorted(found & self.rules.accepted - self.rules.cancel_asked)

    async def afterwards(self, within_s: float = 75.0) -> None:
        """Troubles are over: every controller answers for every accepted job, and each job that was not
        cancelled has run or runs by then."""
        jobs = sorted(self.rules.accepted)
        until = self.now() + within_s

        async def known(job: str, label: str) -> None:
            while True:
                status, _ = await self.tell(job, "GET", f"/api/jobs/{job}", label=label)
                if status == 200:
                    return
                if self.now() > until:
                    self.rules.breach("forgotten", f"{job}: {label} does not answer")
                    return
                await asyncio.sleep(2.0)

        await asyncio.gather(*(known(job, label) for job in jobs for label in self.labels))
        waiting = [job for job in jobs if job not in self.rules.cancel_asked and not self._held_up(job)]
        while waiting and self.now() < until:
            await asyncio.sleep(1.0)
            waiting = [job for job in waiting if not self._served(job) and not self._held_up(job)]
        for job in waiting:
            self.rules.breach("forgotten", f"{job} was accepted and does not run")
        await self._nobody_starves(until)

    async def _nobody_starves(self, since: float) -> None:
        """No task waits for 90 s beside a machine that has room for it, its team under its limit."""
        waits: dict[str, float] = {}
        while self.now() < since + 20.0 or (waits and self.now() < min(waits.values()) + 91.0):
            found = {name for job in self.rules.accepted for name in self._waiting_beside_room(job)}
            waits = {name: waits.get(name, self.now()) for name in found}
            for name, at in waits.items():
                if self.now() - at >= 90.0:
                    self.rules.breach("starved", f"{name} waits since {at:.1f} beside room")
                    return
            await asyncio.sleep(2.0)

    def _waiting_beside_room(self, job: str) -> list[str]:
        spec = self.jobs[job]
        if job in self.rules.cancel_asked or self._held_up(job):
            return []
        names = [f"{job}/{n}" for n in range(spec["pieces"])]
        missing = [n for n in names if n not in self.done_tasks and not self.rules.where.get(n)]
        if not missing or spec["apart"] or spec["together"]:
            return []
        if self.used(spec["crew"]) + spec["vcpus"] > self.limits[spec["crew"]] + 1e-6:
            return []
        for machine in self.machines.values():
            if not machine.alive or machine.up_at > self.now() or (machine.spot and not spec["loaners"]):
                continue
            if spec["yard"] not in (None, machine.zone) or spec["builds"] not in (None, machine.type):
                continue
            kind = next(t for t in Cloud.TYPES if t["sku"] == machine.type)
            live = [t for t in machine.tasks.values() if t.status != "ended"]
            used = sum(self.jobs[t.name.rsplit("/", 1)[0]]["vcpus"] for t in live)
            if used + spec["vcpus"] <= kind["vcpus"] and machine.id not in self.deaf | self.mute:
                return missing[:1]
        return []

    # -- chains

    def upstream(self, job: str) -> list[str]:
        return list(self.jobs[job].get("waits_on") or ()) if job in self.jobs else []

    def all_upstream(self, job: str) -> set[str]:
        """The jobs that this one needs, directly or through others."""
        found: set[str] = set()
        left = self.upstream(job)
        while left:
            other = left.pop()
            if other not in found:
                found.add(other)
                left += self.upstream(other)
        return found

    def all_done(self, job: str) -> bool:
        return all(f"{job}/{n}" in self.done_tasks for n in range(self.jobs[job]["pieces"]))

    def _held_up(self, job: str) -> bool:
        """It waits for a job that is not done, or that was cancelled."""
        return any(not self.all_done(other) or other in self.rules.cancelled_at for other in self.all_upstream(job))

    def limits_fall(self) -> None:
        """The state service takes the lower limits without notice."""
        self.state.value_bytes, self.state.txn_ops = 2 * 1024, 4

    def used(self, team: str) -> float:
        """Cpus that the tasks of a team are on."""
        return sum(
            self.jobs[name.rsplit("/", 1)[0]]["vcpus"] * len(machines)
            for name, machines in self.rules.where.items()
            if self.jobs[name.rsplit("/", 1)[0]]["crew"] == team
        )

    def _served(self, job: str) -> bool:
        """It has run, or runs now."""
        names = [f"{job}/{n}" for n in range(self.jobs[job]["pieces"])]
        return any(self.rules.where.get(name) for name in names) or all(name in self.done_tasks for name in names)
