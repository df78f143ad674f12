"""Heartbeat intake: what a shard owner learns from a heartbeat, and its response."""

from __future__ import annotations

from collections.abc import Callable

from cloverplank.basic_types import MachineId, MonotonicTime
from cloverplank.shard.errors import HeartbeatRefusal, HeartbeatRefusedError
from cloverplank.shard.machine import Health, Machine
from cloverplank.shard.shard_types import MAX_UNACKNOWLEDGED
from cloverplank.shard.state import MAX_MACHINES, ShardState
from cloverplank.shard.task_outcomes import TaskOutcomes
from cloverplank.shard.task_reconciler import MAX_COMMANDS, MAX_DEFERRED_ACKS, TaskReconciler, started_tasks
from cloverplank.wire.workers import Command, Heartbeat, HeartbeatResponse


class HeartbeatIntake:
    """Takes in the heartbeats of one shard's workers, and their responses to command requests.

    `start_probe`: asks a machine directly whether two-way contact exists.
    """

    def __init__(
        self,
        state: ShardState,
        *,
        task_reconciler: TaskReconciler,
        outcomes: TaskOutcomes,
        start_probe: Callable[[Machine], None],
    ) -> None:
        self._state = state
        self._ownership = state.ownership
        self._task_reconciler = task_reconciler
        self._outcomes = outcomes
        self._start_probe = start_probe

    def on_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatResponse:
        """Take in a heartbeat and return the response, which renews the worker's lease.

        Raises:
            HeartbeatRefusedError: the heartbeat must not renew a lease.
            FencedError: the worker has a higher token.
        """
        state, ownership = self._state, self._ownership
        now = state.clock.monotonic()
        if heartbeat.token > ownership.token:
            if heartbeat.machine in ownership.untrusted_workers:
                raise HeartbeatRefusedError(MachineId(heartbeat.machine), HeartbeatRefusal.UNASSIGNED_TOKEN)
            ownership.supersede(heartbeat)
        machine = state.machines.get(MachineId(heartbeat.machine))
        if machine is None:
            if len(state.machines) >= MAX_MACHINES:
                raise HeartbeatRefusedError(MachineId(heartbeat.machine), HeartbeatRefusal.TOO_MANY_MACHINES)
            machine = state.get_or_add_machine(heartbeat.machine)
        if machine.is_duplicate(heartbeat):
            raise HeartbeatRefusedError(machine.id, HeartbeatRefusal.DUPLICATE)
        state.last_heartbeat_at = now
        if heartbeat.token == ownership.token and machine.is_unchanged(heartbeat, state.store.change_count(machine.id)):
            machine.apply_unchanged(heartbeat, now)
            return HeartbeatResponse(ownership.token, [])
        machine.last_heartbeat = (heartbeat.incarnation, heartbeat.sequence)
        machine.last_heartbeat_at = now
        machine.addr, machine.type, machine.spot = heartbeat.addr or machine.addr, heartbeat.type, heartbeat.spot
        commands = self._due_commands(machine) if self.learn(machine, heartbeat, in_response=True) else []
        machine.unacknowledged = 0 if heartbeat.token == ownership.token else machine.unacknowledged + 1
        if machine.unacknowledged > MAX_UNACKNOWLEDGED:
            self._refuse_until_lease_expires(machine, now)
            machine.unacknowledged = 1
        machine.last_response_at = state.clock.monotonic()
        return HeartbeatResponse(ownership.token, commands)

    def _due_commands(self, machine: Machine) -> list[Command]:
        """Return the commands for a response, and record what follows from sending them."""
        commands, acknowledgements = self._task_reconciler.due(machine)
        if commands or len(acknowledgements) >= MAX_DEFERRED_ACKS:
            commands = (acknowledgements + commands)[:MAX_COMMANDS]
        machine.started_in_response.update(started_tasks(commands))
        if not commands and not machine.unresolved and self._state.may_start():
            machine.reconciled_at_change = self._state.store.change_count(machine.id)
        return commands

    def _refuse_until_lease_expires(self, machine: Machine, now: MonotonicTime) -> None:
        """Refuse a response to a machine that shows none of this owner's responses.

        It receives none of them, or some of them. Each might renew the lease of tasks that the owner knows nothing
        of, so there are none until that lease has certainly expired.
        """
        has_tasks = machine.health is not Health.TAINTED and bool(self._state.store.jobs_on(machine.id))
        expiry_at = self._state.tasks_expire_at(machine)
        if has_tasks or now < expiry_at:
            raise HeartbeatRefusedError(machine.id, HeartbeatRefusal.RESPONSES_LOST)

    def learn(self, machine: Machine, heartbeat: Heartbeat, *, in_response: bool) -> bool:
        """Take in a machine's status; return False if it is outdated or carries no token of this owner.

        `in_response`: it came by itself and gets a response; otherwise it is the response to a command request.
        """
        now = self._state.clock.monotonic()
        if not machine.is_newer(heartbeat):
            return False
        notice_s = heartbeat.notice_s
        machine.terminates_at = MonotonicTime(now + max(0.0, notice_s)) if notice_s is not None else None
        machine.last_contact_at = now
        token_before, machine.token = machine.token, max(machine.token or 0, heartbeat.token)
        if heartbeat.token not in self._ownership.own_tokens:
            # It proves nothing: it may be older than commands of the former owner that are still on their way.
            machine.incarnation, machine.sequence = heartbeat.incarnation, heartbeat.sequence
            return False
        if not machine.fenced:
            # Until now a former owner can have answered it.
            machine.fenced = True
            machine.last_response_at = max(machine.last_response_at, now)
        machine.apply(heartbeat, now, in_response=in_response)
        # A command response, or a higher token than before, shows that something of this owner's has arrived.
        if not in_response or (token_before is not None and token_before < heartbeat.token):
            machine.confirm_contact()
        if machine.health is not Health.UP or not machine.contact_confirmed:
            self._update_health(machine, now)
        self._outcomes.commit_exits(machine)
        return True

    def _update_health(self, machine: Machine, now: MonotonicTime) -> None:
        if not machine.contact_confirmed:
            reason = "new incarnation" if machine.health is Health.UP else "heartbeat after a silence or a restart"
            machine.transition(Health.UNCONFIRMED, reason)
            self._start_probe(machine)
        elif self._state.heartbeat_age_s(machine, now) > self._state.limits.suspect_after_s:
            machine.transition(Health.SUSPECT, "responds to commands, heartbeats are missing")
        else:
            machine.transition(Health.UP, "heartbeat")
            machine.up_since = now
            self._state.request_cycle()
