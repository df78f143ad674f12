"""Task reconciliation: sends workers the commands that are due in command requests, and takes in the responses."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from enum import Enum, auto
from http import HTTPStatus

from cloverplank.background import BackgroundTasks
from cloverplank.basic_types import FencingToken, MachineId, TaskRef
from cloverplank.jobs.ranges import numbers
from cloverplank.jobs.store import CachedJob
from cloverplank.load_meter import LoadMeter, Part
from cloverplank.net.messages import HttpClient, NoFreeSocketError, NoResponseError, RequestNotSentError
from cloverplank.shard.command_planner import CommandPlanner, started_tasks
from cloverplank.shard.errors import FencedError
from cloverplank.shard.machine import Health, Machine, UnresolvedStart
from cloverplank.shard.state import ShardState
from cloverplank.wire.codec import MessageDecodeError, decode, encode
from cloverplank.wire.workers import COMMANDS_PATH, Command, CommandRequest, Heartbeat

log = logging.getLogger(__name__)

COMMAND_TIMEOUT_S = 2.0
PROBE_TIMEOUT_S = 1.0  # time limit of a request without commands
STATUSES_WITH_HEARTBEAT = (HTTPStatus.OK, HTTPStatus.CONFLICT)
FAILED_SEND_BACKOFF_S = 2.0  # time without commands to a worker after a failed request


class SendOutcome(Enum):
    """Outcome of a command request."""

    ACCEPTED = auto()
    FAILED = auto()  # the request was rejected or got no response
    NOT_SENT = auto()  # no socket was free on this side, which says nothing about the machine


class TaskReconciler:
    """Sends the commands that are due to the workers of one shard.

    Reconciliation is level-triggered: commands are recomputed each time, so a lost response, a restart or a failover
    needs no special handling. `planner`: determines the commands that are due. `apply_response`: applies the status in
    a worker's response to a command request.
    """

    def __init__(
        self,
        state: ShardState,
        planner: CommandPlanner,
        *,
        http: HttpClient,
        meter: LoadMeter,
        apply_response: Callable[[Machine, Heartbeat], None],
    ) -> None:
        self._state = state
        self._planner = planner
        self._http = http
        self._meter = meter
        self._apply_response = apply_response
        self._tasks = BackgroundTasks()

    def job_changed(self, view: CachedJob) -> None:
        """Send commands at once to the machines that a change of the job's record affects."""
        for run in view.record.runs:
            machine = self._state.machines.get(MachineId(run.machine))
            if machine is not None and machine.health is Health.UP:
                is_cancelled = not self._state.store.should_run(view)
                for index in numbers(run.tasks):
                    ref = TaskRef(view.id, index, run.attempt)  # type: ignore[arg-type]
                    if is_cancelled != (ref not in machine.tasks):
                        self.send_due_commands(machine)
                        break

    def send_due_commands(self, machine: Machine) -> None:
        """Send the commands that are due in the background; one request at a time for each machine."""
        if machine.sending:
            machine.resend_wanted = True
            return
        if not machine.addr or self._state.clock.monotonic() - machine.send_failed_at < FAILED_SEND_BACKOFF_S:
            return
        machine.sending = True
        self._tasks.spawn(self._meter.metered(Part.COMMANDS, self._send_due_commands(machine)))

    async def _send_due_commands(self, machine: Machine) -> None:
        try:
            await asyncio.sleep(0)  # changes of the same event loop iteration share one request
            resend = True
            while resend and not self._state.ownership.superseded and machine.incarnation > 0:
                machine.resend_wanted = False
                due = self._planner.due(machine)
                if not due.commands:
                    return
                await self.send(machine, self._planner.with_acknowledgements(machine, due))
                resend = machine.resend_wanted
        except FencedError:
            pass  # the ownership has recorded it
        finally:
            machine.sending = False

    async def send(self, machine: Machine, commands: list[Command], timeout: float = COMMAND_TIMEOUT_S) -> SendOutcome:
        """Send a command request, and apply the status in the worker's response.

        Raises:
            FencedError: the worker has a higher token.
        """
        ownership = self._state.ownership
        started = set(started_tasks(commands))
        machine.started_in_commands |= started
        incarnation = machine.incarnation
        token = self._state.tokens.current(machine)
        if started:
            machine.last_start_token = max(machine.last_start_token, token)
            self._log_starts(machine, token, started)
        self._state.command_history.record(machine, token, commands)
        body = encode(CommandRequest(token, incarnation, commands))
        try:
            response = await self._http.request(machine.addr, "POST", COMMANDS_PATH, body, timeout)
            heartbeat = decode(response.body, Heartbeat) if response.status in STATUSES_WITH_HEARTBEAT else None
        except RequestNotSentError as err:
            machine.send_failed_at = self._state.clock.monotonic()
            machine.started_in_commands -= started
            log.debug("command request to machine %s not sent: %s", machine.id, err)
            return SendOutcome.NOT_SENT if isinstance(err, NoFreeSocketError) else SendOutcome.FAILED
        except (NoResponseError, MessageDecodeError) as err:
            self._record_no_response(machine, incarnation, token, started, str(err))
            return SendOutcome.FAILED
        if heartbeat is None:
            self._record_no_response(machine, incarnation, token, started, str(response.status))
            return SendOutcome.FAILED
        machine.started_in_commands -= started
        if heartbeat.token > ownership.highest_token and heartbeat.machine not in ownership.untrusted_workers:
            ownership.supersede(heartbeat)
        if heartbeat.machine == machine.id:
            self._apply_response(machine, heartbeat)
        return SendOutcome.ACCEPTED if response.status == HTTPStatus.OK else SendOutcome.FAILED

    def _log_starts(self, machine: Machine, token: FencingToken, started: set[TaskRef]) -> None:
        """Log why the starts are allowed: the committed records of a revision of the store, and the lease's state."""
        if log.isEnabledFor(logging.DEBUG):
            log.debug(
                "start: machine %s, token %d in incarnation %d, records as of revision %d or later, lease %s: %s",
                machine.id,
                token,
                machine.incarnation,
                self._state.tokens.newest(),
                "active" if self._state.may_start() else "not active",
                " ".join(f"{ref.name} attempt {ref.attempt}" for ref in sorted(started)),
            )

    def _record_no_response(
        self, machine: Machine, incarnation: int, token: FencingToken, started: set[TaskRef], reason: str
    ) -> None:
        """Record that the commands may still be executed at any time until the incarnation or token changes."""
        now = self._state.clock.monotonic()
        machine.send_failed_at = now
        machine.started_in_commands -= started
        if machine.incarnation == incarnation:
            start = UnresolvedStart(token, now)
            machine.unresolved.update(dict.fromkeys(started, start))
        log.debug("command request to machine %s got no valid response: %s", machine.id, reason)

    async def fence(self, machine: Machine) -> None:
        """Send this owner's token to the worker, so that it ignores responses and commands of former owners."""
        if machine.sending or not machine.addr:
            return
        machine.sending = True
        try:
            incarnation = machine.incarnation
            await self.send(machine, [], PROBE_TIMEOUT_S)
            if not machine.fenced and machine.incarnation != incarnation:
                # Rejected because its incarnation was a guess: a worker takes no token from such a request.
                await self.send(machine, [], PROBE_TIMEOUT_S)
        except FencedError:
            pass  # the ownership has recorded it
        finally:
            machine.sending = False
        if machine.fenced:
            self.send_due_commands(machine)

    def close(self) -> None:
        """Cancel command requests that are in flight."""
        self._tasks.cancel()
