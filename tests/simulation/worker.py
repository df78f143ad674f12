"""A stand-in for a machine and its worker that implements their protocol; times are in simulated seconds."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec

from cloverplank.net.messages import NoResponseError, Response

if TYPE_CHECKING:
    from tests.simulation.world import World

PULL_S = 0.3  # the duration of an image pull; a machine keeps every image that it has pulled
POLL_S = 0.1
HEARTBEAT_TIMEOUT_S = 4.0
HEARTBEAT_JITTER = (0.75, 1.25)  # bounds of the random factor of the heartbeat interval
MIN_HEARTBEAT_PAUSE_S = 0.5
RETRY_S = 1.0
REDIRECT_S = 0.2
PULLING, RUNNING, SAVING, ENDED = "pulling", "running", "saving", "ended"  # task states as encoded in heartbeats


@dataclass
class Task:
    """One attempt of a task on a machine. `kept`: whether a checkpoint was written before the task was stopped."""

    name: str
    attempt: int
    status: str
    ready_at: float = 0.0
    ends_at: float = 0.0
    cause: str | None = None
    kept: bool | None = None

    @property
    def job(self) -> str:
        """The job that the task belongs to."""
        return self.name.rpartition("/")[0]

    def status_message(self) -> dict[str, Any]:
        """Return the status of the task as a part of a heartbeat."""
        message: dict[str, Any] = {"piece": self.name, "try": self.attempt, "status": self.status}
        if self.cause is not None:
            message |= {"cause": self.cause, "kept": self.kept}
        return message


@dataclass(kw_only=True)
class Machine:
    """A machine, from its provisioning to its end.

    Attributes:
        up_at: the time at which the machine has booted.
        token: the highest fencing token that the worker has received.
        lease_from: the sending time of the last heartbeat whose response renewed the worker's lease.
        hung: whether the machine executes nothing, as if frozen; tests set and clear it.
        warning_until: the time at which a spot machine will be reclaimed, once the cloud has given notice.
        reclaimed: whether the cloud has taken the spot machine away.
        images: the names of the images in its cache.
        controller: the index of the controller to which the worker sends heartbeats.
        changed: set when the next heartbeat should be sent before its interval has passed.

    """

    world: World
    id: str
    addr: str
    type: str
    zone: str
    spot: bool
    provisioned_at: float
    up_at: float
    incarnation: int = 1
    sequence: int = 0
    token: int = 0
    tasks: dict[tuple[str, int], Task] = field(default_factory=dict)
    images: set[str] = field(default_factory=set)
    released: bool = False
    reclaimed: bool = False
    dead_at: float | None = None
    hung: bool = False
    warning_until: float | None = None
    lease_from: float = 0.0
    controller: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def alive(self) -> bool:
        """Whether the machine still exists; it may be booting or hung."""
        return not (self.released or self.reclaimed or self.dead_at)

    @property
    def vcpus(self) -> float:
        """The number of CPU cores of the machine's type."""
        return self.world.cloud.machine_type(self.type)["vcpus"]

    def unfinished_tasks(self) -> list[Task]:
        """Return the tasks that have not ended."""
        return [task for task in self.tasks.values() if task.status != ENDED]

    # -- the end of the machine

    def release(self) -> None:
        """Terminate the machine at a controller's request and return its capacity to the cloud."""
        if not self.released:
            self.released = True
            self.world.cloud.left[self.zone, self.spot] += 1
            self.clear_tasks()

    def die(self) -> None:
        """Fail permanently."""
        self.dead_at = self.world.now()
        self.clear_tasks()

    def reclaim(self) -> None:
        """Let the cloud reclaim the spot machine."""
        self.reclaimed = True
        self.clear_tasks()

    def clear_tasks(self) -> None:
        for task in self.tasks.values():
            self.world.rules.task_ended(task.name, self)
        self.tasks.clear()

    # -- tasks

    def step(self) -> None:
        """Process the time that has passed: expire the lease, start and end tasks."""
        now = self.world.now()
        if not self.alive or self.up_at > now:
            return
        # A hung machine executes nothing; once its lease has expired, it will never continue its tasks.
        if now - self.lease_from > self.world.lease_s:
            self.clear_tasks()
            self.incarnation += 1
            self.lease_from = now
            self.changed.set()
        if self.hung:
            return
        for task in self.tasks.values():
            if task.status == PULLING and now >= task.ready_at:
                self._run(task, now)
            elif task.status == SAVING and now >= task.ends_at:
                self.end_task(task, "stopped", True)
            elif task.status == RUNNING and now >= task.ends_at:
                self._complete(task)

    def _run(self, task: Task, now: float) -> None:
        task.status = RUNNING
        self.images.add(self.world.jobs[task.job]["bundle"])
        task.ends_at = now + self.world.durations.get(task.name, self.world.durations[task.job])
        if task.name in self.world.done_tasks:
            task.ends_at = now
        self.world.rules.task_started(task.name, task.attempt, self)
        self.changed.set()

    def _complete(self, task: Task) -> None:
        if self.world.fails(self, task):
            self.end_task(task, "error")
        elif self.world.jobs[task.job]["shape"] != "service":
            self.world.done_tasks.add(task.name)
            self.end_task(task, "done")

    def end_task(self, task: Task, cause: str, kept: bool | None = None) -> None:
        task.status, task.cause, task.kept = ENDED, cause, kept
        self.world.rules.task_ended(task.name, self)
        self.changed.set()

    # -- commands

    async def commands(self, body: bytes) -> tuple[int, dict]:
        """POST /orders: execute commands, unless their token is fenced or they are meant for another incarnation."""
        while self.hung:
            await asyncio.sleep(POLL_S)
        self.step()
        asked = msgspec.msgpack.decode(body)
        if asked["baton"] < self.token or asked["stint"] != self.incarnation:
            return 409, self.heartbeat()
        self._accept(asked)
        return 200, self.heartbeat()

    def _accept(self, message: dict) -> None:
        if message["baton"] > self.token:
            self.changed.set()
        self.token = message["baton"]
        self.execute(message["orders"])

    def execute(self, commands: list[dict]) -> None:
        """Execute commands whose fencing token has already been checked."""
        for command in commands:
            key = (command["piece"], command["try"])
            task = self.tasks.get(key)
            if command["verb"] == "start":
                if task is None:
                    self._start(*key)
            elif command["verb"] == "reap":
                if task is not None and task.status == ENDED:
                    del self.tasks[key]
            elif task is not None and task.status != ENDED:
                self._stop(task, command["leeway_s"])
        self.step()

    def _start(self, name: str, attempt: int) -> None:
        task = self.tasks[name, attempt] = Task(name, attempt, PULLING)
        spec = self.world.jobs.get(task.job)
        is_cached = spec is not None and spec["bundle"] in self.images
        task.ready_at = self.world.now() + (0.0 if is_cached else PULL_S)
        others = [one for one in self.unfinished_tasks() if one is not task]
        if spec is None:
            self.end_task(task, "no_such")
        elif any(one.name == name for one in others):
            self.end_task(task, "in_use")
        elif sum(self.world.jobs[one.job]["vcpus"] for one in others) + spec["vcpus"] > self.vcpus:
            self.end_task(task, "full")
        self.changed.set()

    def _stop(self, task: Task, grace_s: float) -> None:
        """Stop a task; write a checkpoint first if the task has checkpoints and the grace period is long enough."""
        spec = self.world.jobs[task.job]
        if task.status == RUNNING and spec["marker_s"] and grace_s >= spec["stow_s"]:
            task.status, task.ends_at = SAVING, self.world.now() + spec["stow_s"]
        elif task.status != SAVING or grace_s == 0:
            self.end_task(task, "stopped", False)

    # -- heartbeats

    def heartbeat(self) -> dict:
        """Return the next heartbeat."""
        self.sequence += 1
        now = self.world.now()
        return {
            "plank": self.id,
            "endpoint": self.addr,
            "build": self.type,
            "yard": self.zone,
            "loaners": self.spot,
            "stint": self.incarnation,
            "tally": self.sequence,
            "baton": self.token,
            "warning_s": None if self.warning_until is None else max(0.0, self.warning_until - now),
            "pieces": [task.status_message() for task in self.tasks.values()],
        }

    async def run(self) -> None:
        """Boot, then send heartbeats until the machine ends."""
        world = self.world
        await asyncio.sleep(max(0.0, self.up_at - world.now()))
        self.lease_from = world.now()
        self.controller = world.random.randrange(len(world.labels))
        while self.alive:
            if self.hung:
                await asyncio.sleep(POLL_S)
                continue
            self.step()
            pause_s = await self._send_heartbeat()
            if pause_s is not None:
                await self._pause(pause_s)

    async def _send_heartbeat(self) -> float | None:
        """Return the seconds until the next heartbeat; None if the machine hung or ended before the response."""
        world = self.world
        sent_at, incarnation = world.now(), self.incarnation
        front = f"front:{world.labels[self.controller]}"
        body = msgspec.msgpack.encode(self.heartbeat())
        try:
            response = await world.send(self.id, front, "POST", "/v1/report", body, HEARTBEAT_TIMEOUT_S)
        except NoResponseError:
            self._change_controller()
            return RETRY_S
        if self.hung or not self.alive:
            return None
        return self._take_response(response, sent_at, incarnation)

    def _take_response(self, response: Response, sent_at: float, incarnation: int) -> float:
        world = self.world
        message = msgspec.msgpack.decode(response.body) if response.body else {}
        if response.status == 200:
            pause_s = world.report_s * world.random.uniform(*HEARTBEAT_JITTER)
            if message["baton"] >= self.token and incarnation == self.incarnation:
                self.lease_from = max(self.lease_from, sent_at)
                self._accept(message)
            return pause_s
        if response.status == 421 and message.get("foreman") in world.labels:
            shard_owner = world.labels.index(message["foreman"])
            if shard_owner != self.controller:
                self.controller = shard_owner
                return REDIRECT_S
        self._change_controller()
        return RETRY_S

    def _change_controller(self) -> None:
        self.controller = (self.controller + 1) % len(self.world.labels)

    async def _pause(self, pause_s: float) -> None:
        until = self.world.now() + pause_s
        await asyncio.sleep(min(MIN_HEARTBEAT_PAUSE_S, pause_s))
        while self.world.now() < until and self.alive:
            self.step()
            if self.changed.is_set():
                break
            await asyncio.sleep(POLL_S)
        self.changed.clear()
