"""Messages between workers and controllers. Times are in seconds."""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, Struct, field

HEARTBEAT_PATH = "/v1/report"  # served by controllers
COMMANDS_PATH = "/orders"  # served by workers

Count = Annotated[int, Meta(ge=0)]
Name = Annotated[str, Meta(min_length=1, max_length=200)]


class TaskStatus(Struct):
    """One attempt of a task on the worker's machine; part of `Heartbeat`.

    `reason` is the cause of its exit and `saved` whether its progress was saved then; both are None before the exit.
    """

    task: str = field(name="piece")
    attempt: Count = field(name="try")
    state: str = field(name="status")
    reason: str | None = field(name="cause", default=None)
    saved: bool | None = field(name="kept", default=None)


class Heartbeat(Struct):
    """A worker's request to a controller at each interval, and its response to a `CommandRequest`.

    Of two heartbeats the one with the larger incarnation and sequence is the newer one. `token` is the highest fencing
    token that the worker has seen. `notice_s` is the time until the cloud takes the machine away, None without notice.
    """

    machine: Name = field(name="plank")
    incarnation: Count = field(name="stint")
    sequence: Count = field(name="tally")
    token: Count = field(name="baton")
    addr: str = field(name="endpoint", default="")
    type: str = field(name="build", default="")
    zone: str = field(name="yard", default="")
    spot: bool = field(name="loaners", default=False)
    notice_s: float | None = field(name="warning_s", default=None)
    tasks: list[TaskStatus] = field(name="pieces", default_factory=list)


class Command(Struct, omit_defaults=True):
    """An instruction to a worker for one attempt of a task; part of `HeartbeatResponse` and `CommandRequest`.

    `reap` acknowledges an exit. `grace_s` is the time that a stopped task may take to save its progress.
    """

    op: Literal["start", "stop", "reap"] = field(name="verb")
    task: str = field(name="piece")
    attempt: int = field(name="try")
    grace_s: float | None = field(name="leeway_s", default=None)


class HeartbeatResponse(Struct):
    """A shard owner's response to a worker's `Heartbeat`: it renews the worker's lease and has its commands."""

    token: int = field(name="baton")
    commands: list[Command] = field(name="orders")


class Redirect(Struct, omit_defaults=True):
    """A controller's response to a `Heartbeat` of a worker whose shard another controller owns: that controller."""

    report_to: str | None = field(name="foreman", default=None)


class CommandRequest(Struct):
    """A shard owner's request to a worker at COMMANDS_PATH, outside the worker's heartbeats."""

    token: int = field(name="baton")
    incarnation: int = field(name="stint")
    commands: list[Command] = field(name="orders")
