"""Recent start commands and acknowledgements of a shard owner, which explain unexpected tasks in the log."""

from __future__ import annotations

import logging
from collections import OrderedDict

from msgspec import Struct

from cloverplank.basic_types import Clock, FencingToken, MachineId, MonotonicTime, TaskRef, parse_task_name
from cloverplank.shard.machine import Machine
from cloverplank.wire.workers import Command, TaskStatus

log = logging.getLogger(__name__)

MAX_ATTEMPTS = 4096  # the most recently started ones are kept
MAX_LINES_PER_PERIOD = 10
PERIOD_S = 10.0


class _Sent(Struct, frozen=True):
    """The sending of a command: the token of its message, and when it was sent."""

    token: FencingToken
    sent_at: MonotonicTime


class _Attempt(Struct):
    """What was sent about one attempt on one machine, and whether the log has named it as unplaced."""

    start: _Sent | None = None
    acknowledgement: _Sent | None = None
    is_logged: bool = False


class CommandHistory:
    """What one shard's owner has sent about recent attempts. Only log lines and a counter depend on it."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._attempts: OrderedDict[tuple[MachineId, TaskRef], _Attempt] = OrderedDict()
        self._period_started_at = clock.monotonic()
        self._lines = 0
        self.unplaced = 0  # attempts shown by workers that no record places there

    def record(self, machine: Machine, token: FencingToken, commands: list[Command]) -> None:
        """Record the starts and acknowledgements of a message that is sent to a worker."""
        for command in commands:
            if command.op == "stop":
                continue
            ref = parse_task_name(command.task, command.attempt)
            if ref is None:
                continue
            attempt = self._attempt(machine.id, ref)
            sent = _Sent(token, self._clock.monotonic())
            if command.op == "start":
                attempt.start = sent
            else:
                attempt.acknowledgement = sent

    def report_unplaced(self, machine: Machine, ref: TaskRef, task: TaskStatus) -> None:
        """Log, once, that a worker shows an attempt that has not ended and that no record places there."""
        attempt = self._attempt(machine.id, ref)
        if attempt.is_logged:
            return
        attempt.is_logged = True
        self.unplaced += 1
        if not self._may_log():
            return
        log.info(
            "unplaced: task %s attempt %d is %s on machine %s, token %d in incarnation %d: start %s, acknowledged %s",
            ref.name,
            ref.attempt,
            task.state,
            machine.id,
            machine.token or 0,
            machine.incarnation,
            self._format(attempt.start),
            self._format(attempt.acknowledgement),
        )

    def _attempt(self, machine: MachineId, ref: TaskRef) -> _Attempt:
        attempt = self._attempts.setdefault((machine, ref), _Attempt())
        if len(self._attempts) > MAX_ATTEMPTS:
            self._attempts.popitem(last=False)
        return attempt

    def _may_log(self) -> bool:
        now = self._clock.monotonic()
        if now - self._period_started_at >= PERIOD_S:
            self._period_started_at, self._lines = now, 0
        self._lines += 1
        return self._lines <= MAX_LINES_PER_PERIOD

    def _format(self, sent: _Sent | None) -> str:
        if sent is None:
            return "not by this owner"
        return f"under token {sent.token} {self._clock.monotonic() - sent.sent_at:.1f} s ago"
