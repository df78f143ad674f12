"""Liveness tracking: the health of a shard's machines as determined by heartbeats, probes and lease expiry."""

from __future__ import annotations

import logging
from collections.abc import Callable

from cloverplank.basic_types import NEVER, MachineId, MonotonicTime
from cloverplank.shard.lost_machines import LostMachines
from cloverplank.shard.machine import Health, Machine
from cloverplank.shard.probing import Prober
from cloverplank.shard.shard_types import (
    CHECKPOINT_MARGIN_S,
    INBOUND_PARTITION,
    MAX_UNACKNOWLEDGED_RESPONSES,
    OUTBOUND_PARTITION,
    TaskState,
    placed_refs,
)
from cloverplank.shard.state import ShardState
from cloverplank.shard.task_reconciler import PROBE_TIMEOUT_S
from cloverplank.shard.task_stops import TaskStops

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.2  # minimum time between checks of all machines
UNRESOLVED_TIMEOUT_S = 3.0  # a new token is requested if a start command gets no response for this long
FORGET_TAINTED_AFTER_S = 600.0  # silence after which a tainted machine without tasks is removed
# A machine that responds to commands and sends no heartbeats counts as partitioned after this fraction of its lease,
# but not before this many heartbeat intervals: a worker whose response was lost sends its next heartbeat sooner.
PARTITIONED_LEASE_FRACTION = 0.7
PARTITIONED_HEARTBEATS = 3.2
UNSAVED_STATES = (TaskState.RUNNING, TaskState.SAVING)


class LivenessTracker:
    """Updates the health of one shard's machines, evicts tasks that have certainly ended, and marks lost machines.

    `evict`: removes a machine's tasks from the records, for the given reason.
    """

    def __init__(
        self,
        state: ShardState,
        *,
        prober: Prober,
        lost_machines: LostMachines,
        stops: TaskStops,
        evict: Callable[[MachineId, str], None],
    ) -> None:
        self._state = state
        self._prober = prober
        self._lost_machines = lost_machines
        self._stops = stops
        self._evict = evict
        self._checked_at = NEVER

    def check(self) -> None:
        """Taint machines that stay silent until their lease expires, and evict tainted ones.

        A machine that recovers within its lease keeps its tasks.
        """
        state = self._state
        now = state.clock.monotonic()
        if now - self._checked_at < CHECK_INTERVAL_S:
            return
        self._checked_at = now
        self._add_machines_with_tasks()
        if not state.may_start():
            return  # no change that results from the check could be committed
        is_isolated = self._prober.receives_no_heartbeats_since(MonotonicTime(now - PROBE_TIMEOUT_S))
        for machine in list(state.machines.values()):
            self._check_machine(machine, now, is_isolated=is_isolated)
        self._stops.drop_expired(now)

    def _add_machines_with_tasks(self) -> None:
        """Add machines on which former owners placed tasks, and evict those that were terminated."""
        state = self._state
        for name in [name for name in state.store.by_machine if name not in state.machines]:
            if state.draining.is_terminated(name):
                # Terminated before this owner acquired the shard, or its eviction was lost with the former owner.
                if state.may_start():
                    self._evict(name, "terminated")
            elif any(
                run.zone == state.zone
                for view in state.store.jobs_on(name)
                for run in view.record.runs_on.get(name, ())
            ):
                state.get_or_add_machine(name)

    def _check_machine(self, machine: Machine, now: MonotonicTime, *, is_isolated: bool) -> None:
        state, limits = self._state, self._state.limits
        # The heartbeats of a machine that acknowledges none of the responses don't count as contact.
        contact_at = (
            machine.last_contact_at
            if machine.unacknowledged_responses <= MAX_UNACKNOWLEDGED_RESPONSES
            else machine.last_response_at
        )
        silent_s = now - max(contact_at, state.ownership.since)
        if machine.health in (Health.UP, Health.UNCONFIRMED):
            heartbeat_age_s = state.heartbeat_age_s(machine, now)
            if max(silent_s, heartbeat_age_s) > limits.suspect_after_s:
                machine.transition(
                    Health.SUSPECT, f"no heartbeat for {heartbeat_age_s:.1f} s, silent for {silent_s:.1f} s"
                )
                machine.contact_confirmed = False
        if (
            machine.health is not Health.TAINTED
            and silent_s >= limits.taint_after_s
            and now >= state.tasks_expire_at(machine)
        ):
            self._taint(machine, silent_s)
        if machine.has_inbound_partition():
            self._evict_absent_tasks(machine, INBOUND_PARTITION)
        if machine.health is Health.SUSPECT and not is_isolated:  # otherwise the owner itself may be partitioned
            self._check_outbound_partition(machine, now)
        if machine.health is Health.TAINTED:
            self._clear_tainted(machine, silent_s)
        elif machine.health is Health.UNCONFIRMED or (
            silent_s >= limits.probe_after_s > 0
            and (machine.health is Health.SUSPECT or state.store.jobs_on(machine.id))
        ):
            self._prober.start_probe(machine)
        if machine.unresolved:
            self._check_unresolved(machine, now)
        self._stops.check_termination(machine, now)

    def _taint(self, machine: Machine, silent_s: float) -> None:
        if machine.health is Health.AWAITING_HEARTBEAT and not self._state.store.jobs_on(machine.id):
            return  # the machine never came up, and has no tasks
        machine.transition(Health.TAINTED, f"silent for {silent_s:.1f} s, lease expired")
        self._state.request_cycle()

    def _clear_tainted(self, machine: Machine, silent_s: float) -> None:
        self._evict(machine.id, "tainted")
        machine.fenced = False
        machine.forget_tasks()
        if silent_s > FORGET_TAINTED_AFTER_S and not self._state.store.jobs_on(machine.id):
            del self._state.machines[machine.id]

    def _check_outbound_partition(self, machine: Machine, now: MonotonicTime) -> None:
        """Handle a machine that responds to commands but whose heartbeats do not arrive.

        No response to a heartbeat renews its lease, so the lease expires and ends its tasks. Checkpoints are saved
        before that. Then the machine is marked as lost, and its termination proves that its tasks have ended. If it
        can't be terminated, its next incarnation proves that.
        """
        limits = self._state.limits
        heartbeat_age_s = self._state.heartbeat_age_s(machine, now)
        partitioned_after_s = max(
            PARTITIONED_LEASE_FRACTION * limits.lease_s, PARTITIONED_HEARTBEATS * limits.heartbeat_interval_s
        )
        if machine.last_contact_at <= machine.last_heartbeat_at or heartbeat_age_s < partitioned_after_s:
            return
        saving = self._stop_tasks_with_checkpoints(machine)
        if saving and heartbeat_age_s < limits.lease_s:
            return
        if machine.lost_since is None:
            reason = f"{OUTBOUND_PARTITION}, no heartbeat for {heartbeat_age_s:.1f} s: lost"
            self._lost_machines.mark(machine, now, reason)
        self._evict_absent_tasks(machine, OUTBOUND_PARTITION)

    def _stop_tasks_with_checkpoints(self, machine: Machine) -> bool:
        """Stop the tasks that can save a checkpoint; return whether any of them is still running or saving."""
        saving = [
            (ref, view.record.spec.save_s)
            for view in self._state.store.jobs_on(machine.id)
            if view.record.spec.checkpoint_s > 0
            for ref in placed_refs(view.record, machine.id)
            if ref in machine.tasks and machine.tasks[ref].state in UNSAVED_STATES
        ]
        for ref, save_s in saving:
            self._stops.stop(ref, machine, grace_s=save_s + CHECKPOINT_MARGIN_S, reason=OUTBOUND_PARTITION)
        return bool(saving)

    def _evict_absent_tasks(self, machine: Machine, reason: str) -> None:
        """Evict the machine if its newest heartbeat shows no placed task, and no start command may still arrive."""
        refs = [ref for view in self._state.store.jobs_on(machine.id) for ref in placed_refs(view.record, machine.id)]
        if refs and not any(ref in machine.tasks or machine.may_start_late(ref) for ref in refs):
            self._evict(machine.id, reason)

    def _check_unresolved(self, machine: Machine, now: MonotonicTime) -> None:
        """Request a new token if a start command got no response while the machine continues to send heartbeats.

        Its lease does not expire then, so only a new token ensures that the command is no longer executed.
        """
        ownership = self._state.ownership
        if not machine.contact_confirmed:
            return
        for ref, start in machine.unresolved.items():
            is_current = start.token >= ownership.token and machine.last_contact_at > start.sent_at
            if is_current and now - start.sent_at > UNRESOLVED_TIMEOUT_S:
                if not ownership.token_renewal_wanted:
                    log.info(
                        "shard %s: start of task %s attempt %d on machine %s unanswered after %.1f s: new token wanted",
                        ownership.zone,
                        ref.name,
                        ref.attempt,
                        machine.id,
                        UNRESOLVED_TIMEOUT_S,
                    )
                ownership.token_renewal_wanted = True
                return
