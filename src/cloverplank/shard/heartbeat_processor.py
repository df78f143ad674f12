"""Heartbeat processing: updates the shard owner's state from heartbeats, and builds the responses."""

from __future__ import annotations

from collections.abc import Callable

from cloverplank.basic_types import FencingToken, MachineId, MonotonicTime
from cloverplank.shard.command_planner import MAX_DEFERRED_ACKS, CommandPlanner, started_tasks
from cloverplank.shard.errors import HeartbeatRefusal, HeartbeatRefusedError
from cloverplank.shard.machine import Health, Machine
from cloverplank.shard.shard_types import MAX_UNACKNOWLEDGED_RESPONSES
from cloverplank.shard.state import MAX_MACHINES, ShardState
from cloverplank.shard.task_outcomes import TaskOutcomes
from cloverplank.wire.workers import Command, Heartbeat, HeartbeatResponse


class HeartbeatProcessor:
    """Processes the heartbeats of one shard's workers, and their responses to command requests.

    `start_probe`: sends a request to a machine to check for two-way contact.
    """

    def __init__(
        self,
        state: ShardState,
        *,
        planner: CommandPlanner,
        outcomes: TaskOutcomes,
        start_probe: Callable[[Machine], None],
    ) -> None:
        self._state = state
        self._ownership = state.ownership
        self._planner = planner
        self._outcomes = outcomes
        self._start_probe = start_probe

    def on_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatResponse:
        """Process a heartbeat and return the response, which renews the worker's lease.

        Raises:
            HeartbeatRefusedError: the heartbeat must not renew a lease.
            FencedError: the worker has a higher token.
        """
        state, ownership = self._state, self._ownership
        now = state.clock.monotonic()
        if heartbeat.token > ownership.highest_token:
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
        token = state.tokens.current(machine)
        if heartbeat.token == token and machine.is_unchanged(heartbeat, state.store.change_count(machine.id)):
            machine.apply_unchanged(heartbeat, now)
            machine.response_token = token
            return HeartbeatResponse(token, [])
        machine.last_heartbeat = (heartbeat.incarnation, heartbeat.sequence)
        machine.last_heartbeat_at = now
        machine.addr, machine.type, machine.spot = heartbeat.addr or machine.addr, heartbeat.type, heartbeat.spot
        commands = self._due_commands(machine) if self.apply_status(machine, heartbeat, is_heartbeat=True) else []
        is_acknowledged = ownership.has_issued(heartbeat.token) and heartbeat.token >= machine.response_token
        machine.unacknowledged_responses = 0 if is_acknowledged else machine.unacknowledged_responses + 1
        if machine.unacknowledged_responses > MAX_UNACKNOWLEDGED_RESPONSES:
            self._refuse_until_lease_expires(machine, now)
            machine.unacknowledged_responses = 1
        machine.last_response_at = state.clock.monotonic()
        machine.response_token = state.tokens.current(machine)
        state.command_history.record(machine, machine.response_token, commands)
        return HeartbeatResponse(machine.response_token, commands)

    def _due_commands(self, machine: Machine) -> list[Command]:
        """Return the commands for a response, and record that they are being sent."""
        due = self._planner.due(machine)
        commands = due.commands
        has_many_acks = len(due.acknowledgements) >= MAX_DEFERRED_ACKS
        # A higher token would have the worker refuse a command request that is on its way.
        if (commands or has_many_acks) and not machine.sending:
            commands = self._planner.with_acknowledgements(machine, due)
        machine.started_in_response.update(started_tasks(commands))
        if not commands and not has_many_acks and not machine.unresolved and self._state.may_start():
            machine.reconciled_at_change = self._state.store.change_count(machine.id)
        return commands

    def _refuse_until_lease_expires(self, machine: Machine, now: MonotonicTime) -> None:
        """Refuse the heartbeat of a machine that has acknowledged none of this owner's responses.

        The machine receives none or only some of them. Each response might renew the lease of tasks that are unknown to
        the owner, so none is sent until that lease has certainly expired.

        Raises:
            HeartbeatRefusedError: the lease may not have expired yet.
        """
        has_tasks = machine.health is not Health.TAINTED and bool(self._state.store.jobs_on(machine.id))
        expiry_at = self._state.tasks_expire_at(machine)
        if has_tasks or now < expiry_at:
            raise HeartbeatRefusedError(machine.id, HeartbeatRefusal.RESPONSES_LOST)

    def apply_status(self, machine: Machine, heartbeat: Heartbeat, *, is_heartbeat: bool) -> bool:
        """Apply a machine's status; return False if it is outdated or carries no token of this owner.

        `is_heartbeat`: the worker sent the status as a heartbeat, otherwise in the response to a command request.
        """
        now = self._state.clock.monotonic()
        if not machine.is_newer(heartbeat):
            return False
        notice_s = heartbeat.notice_s
        machine.terminates_at = MonotonicTime(now + max(0.0, notice_s)) if notice_s is not None else None
        machine.last_contact_at = now
        previous_token, machine.token = machine.token, max(machine.token or 0, heartbeat.token)
        if not self._ownership.has_issued(heartbeat.token):
            # The status proves nothing: it may be older than commands of the former owner that are still in transit.
            machine.incarnation, machine.sequence = heartbeat.incarnation, heartbeat.sequence
            return False
        machine.sent_token = max(machine.sent_token, FencingToken(heartbeat.token))
        if not machine.fenced:
            # A former owner may have responded to the machine until now.
            machine.fenced = True
            machine.last_response_at = max(machine.last_response_at, now)
        machine.apply(heartbeat, now, is_heartbeat=is_heartbeat)
        # A command response, or a higher token than before, shows that a message of this owner has arrived.
        if not is_heartbeat or (previous_token is not None and previous_token < heartbeat.token):
            machine.confirm_contact()
        if machine.health is not Health.UP or not machine.contact_confirmed:
            self._update_health(machine, now)
        self._outcomes.stage_exits(machine)
        return True

    def _update_health(self, machine: Machine, now: MonotonicTime) -> None:
        if not machine.contact_confirmed:
            reason = "new incarnation" if machine.health is Health.UP else "heartbeat after silence or restart"
            machine.transition(Health.UNCONFIRMED, reason)
            self._start_probe(machine)
        elif self._state.heartbeat_age_s(machine, now) > self._state.limits.suspect_after_s:
            machine.transition(Health.SUSPECT, "responds to commands, heartbeats are missing")
        else:
            machine.transition(Health.UP, "heartbeat")
            machine.up_since = now
            self._state.request_cycle()
