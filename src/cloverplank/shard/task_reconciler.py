"""Task reconciliation: determines the commands for each worker, and sends them in command requests."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from enum import Enum, auto
from http import HTTPStatus

from cloverplank.background import BackgroundTasks
from cloverplank.basic_types import FencingToken, JobId, MachineId, TaskRef
from cloverplank.jobs.ranges import numbers
from cloverplank.jobs.records import Phase
from cloverplank.jobs.store import CachedJob
from cloverplank.load_meter import LoadMeter, Part
from cloverplank.net.messages import HttpClient, NoFreeSocketError, NoResponseError, RequestNotSentError
from cloverplank.shard.errors import FencedError
from cloverplank.shard.machine import Health, Machine, UnresolvedStart
from cloverplank.shard.shard_types import TaskState, placed_refs
from cloverplank.shard.state import ShardState
from cloverplank.wire.codec import MessageDecodeError, decode, encode
from cloverplank.wire.workers import COMMANDS_PATH, Command, CommandRequest, Heartbeat

log = logging.getLogger(__name__)

MAX_COMMANDS = 250  # per message; keeps a response well under 64 KiB
# Acknowledgements of ended tasks are deferred until other commands are sent to the machine, up to this number, because
# each change on a machine causes one more heartbeat.
MAX_DEFERRED_ACKS = 8
COMMAND_TIMEOUT_S = 2.0
PROBE_TIMEOUT_S = 1.0  # time limit of a request without commands
STATUSES_WITH_HEARTBEAT = (HTTPStatus.OK, HTTPStatus.CONFLICT)
FAILED_SEND_BACKOFF_S = 2.0  # time without commands to a worker after a failed request


class SendOutcome(Enum):
    """Outcome of a command request."""

    ACCEPTED = auto()
    FAILED = auto()  # the request was rejected or got no response
    NOT_SENT = auto()  # no socket was free on this side, which says nothing about the machine


def started_tasks(commands: list[Command]) -> list[TaskRef]:
    """Return the tasks that the commands start."""
    refs = []
    for command in commands:
        if command.op == "start":
            job, _, index = command.task.rpartition("/")
            refs.append(TaskRef(JobId(job), int(index), command.attempt))  # type: ignore[arg-type]
    return refs


class TaskReconciler:
    """Compares the committed records with the newest heartbeats of one shard's machines, and sends commands.

    Reconciliation is level-triggered: commands are recomputed each time, so a lost response, a restart or a failover
    needs no special handling. `apply_response`: applies the status in a worker's response to a command request.
    """

    def __init__(
        self,
        state: ShardState,
        http: HttpClient,
        meter: LoadMeter,
        apply_response: Callable[[Machine, Heartbeat], None],
    ) -> None:
        self._state = state
        self._http = http
        self._meter = meter
        self._apply_response = apply_response
        self._tasks = BackgroundTasks()

    def due_commands(self, machine: Machine) -> tuple[list[Command], list[Command]]:
        """Return the commands that a worker should execute now, and acknowledgements, which can wait.

        Both follow from the committed records and the machine's newest heartbeat.
        """
        store, stops = self._state.store, self._state.stops
        commands: list[Command] = []
        acknowledgements: list[Command] = []
        for ref, task in machine.tasks.items():
            view = store.get(ref.job)
            is_placed = view is not None and view.record.run_of(ref, machine.id) is not None
            if task.state == TaskState.ENDED:
                # No acknowledgement before it is known whether a start command has been executed.
                if not is_placed and not machine.may_start_late(ref):
                    acknowledgements.append(Command("reap", ref.name, ref.attempt))
            elif not is_placed or (view is not None and not store.should_run(view)):
                if not is_placed:
                    self._state.command_history.report_unplaced(machine, ref, task)
                commands.append(Command("stop", ref.name, ref.attempt, 0.0))
            elif ref in stops and task.state != TaskState.SAVING:
                commands.append(Command("stop", ref.name, ref.attempt, stops[ref].grace_s))
        if machine.health is Health.UP and self._state.may_start():
            commands += self._due_starts(machine)
        return commands[:MAX_COMMANDS], acknowledgements

    def _due_starts(self, machine: Machine) -> list[Command]:
        store, stops = self._state.store, self._state.stops
        commands: list[Command] = []
        for view in store.jobs_on(machine.id):
            if not store.should_run(view) or view.staged.phase is not Phase.OPEN:
                continue
            for ref in placed_refs(view.record, machine.id):
                # Both records must agree: a task that is about to leave the machine must not be started there again.
                if ref not in machine.tasks and view.staged.run_of(ref, machine.id) is not None:
                    commands.append(Command("start", ref.name, ref.attempt))
                    if ref in stops:
                        commands.append(Command("stop", ref.name, ref.attempt, 0.0))
        return commands

    def with_acknowledgements(
        self, machine: Machine, commands: list[Command], acknowledgements: list[Command]
    ) -> list[Command]:
        """Return one message's commands: the acknowledgements first, if the worker's token allows them by now."""
        if not acknowledgements or not self._state.tokens.raise_above_starts(machine):
            return commands
        return (acknowledgements + commands)[:MAX_COMMANDS]

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
                commands, acknowledgements = self.due_commands(machine)
                if not commands:
                    return
                await self.send(machine, self.with_acknowledgements(machine, commands, acknowledgements))
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
