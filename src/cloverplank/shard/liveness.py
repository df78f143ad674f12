"""Liveness tracking: which machines of a shard are up, by heartbeats, by probes and by the clock."""

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
    MAX_UNACKNOWLEDGED,
    OUTBOUND_PARTITION,
    TaskState,
    placed_refs,
)
from cloverplank.shard.state import ShardState
from cloverplank.shard.task_reconciler import PROBE_TIMEOUT_S
from cloverplank.shard.task_stops import TaskStops

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.2  # between two checks of all machines
UNRESOLVED_TIMEOUT_S = 3.0
FORGET_TAINTED_AFTER_S = 600.0
# A machine that responds to commands and sends no heartbeats is partitioned after this part of its lease, and so many
# heartbeat intervals: a worker whose response was lost is back sooner.
PARTITIONED_LEASE_FRACTION = 0.7
PARTITIONED_HEARTBEATS = 3.2
UNSAVED_STATES = (TaskState.RUNNING, TaskState.SAVING)


class LivenessTracker:
    """Judges the machines of one shard: evicts what has certainly ended, and marks lost machines.

    `evict`: removes a machine's tasks from the records, for the reason given.
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
        """Taint silent machines and evict tainted ones. A return within the lease changes nothing."""
        state = self._state
        now = state.clock.monotonic()
        if now - self._checked_at < CHECK_INTERVAL_S:
            return
        self._checked_at = now
        self._add_machines_with_tasks()
        if not state.may_start():
            return  # no change that follows from it could be committed
        is_isolated = self._prober.hears_no_workers_since(MonotonicTime(now - PROBE_TIMEOUT_S))
        for machine in list(state.machines.values()):
            self._check_machine(machine, now, is_isolated=is_isolated)
        self._stops.drop_expired(now)

    def _add_machines_with_tasks(self) -> None:
        """Add machines that former owners placed tasks on, and evict those that were terminated."""
        state = self._state
        for name in [name for name in state.store.by_machine if name not in state.machines]:
            if state.draining.is_terminated(name):
                # Terminated before this owner had the shard, or its eviction was lost with the former owner.
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
        # The heartbeats of a machine that shows none of the responses don't count as contact.
        contact_at = (
            machine.last_contact_at if machine.unacknowledged <= MAX_UNACKNOWLEDGED else machine.last_response_at
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
        if machine.is_unreachable():
            self._evict_absent_tasks(machine, INBOUND_PARTITION)
        if machine.health is Health.SUSPECT and not is_isolated:  # else it may be the owner that is cut off
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
        if machine.health is Health.UNHEARD and not self._state.store.jobs_on(machine.id):
            return  # it never came up, and has no tasks
        machine.transition(Health.TAINTED, f"silent for {silent_s:.1f} s, lease expired")
        self._state.request_cycle()

    def _clear_tainted(self, machine: Machine, silent_s: float) -> None:
        self._evict(machine.id, "tainted")
        machine.fenced = False
        machine.forget_tasks()
        if silent_s > FORGET_TAINTED_AFTER_S and not self._state.store.jobs_on(machine.id):
            del self._state.machines[machine.id]

    def _check_outbound_partition(self, machine: Machine, now: MonotonicTime) -> None:
        """Handle a machine that responds to commands and whose heartbeats reach nobody.

        No response to a heartbeat renews its lease, whose expiry ends its tasks. Checkpoints are saved before that;
        then it is lost, and its termination proves its tasks ended. Where it can't be terminated, its next
        incarnation does.
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
        """Stop the tasks that can save a checkpoint; return whether any still runs or saves."""
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
        """Evict if the newest heartbeat shows none of the placed tasks, and no start command may still arrive."""
        refs = [ref for view in self._state.store.jobs_on(machine.id) for ref in placed_refs(view.record, machine.id)]
        if refs and not any(ref in machine.tasks or machine.may_start_late(ref) for ref in refs):
            self._evict(machine.id, reason)

    def _check_unresolved(self, machine: Machine, now: MonotonicTime) -> None:
        """Request a new token where a start command got no response and the machine goes on sending heartbeats.

        Its lease doesn't expire then, so only a new token makes sure that the command is not executed any more.
        """
        ownership = self._state.ownership
        if not machine.contact_confirmed:
            return
        for ref, start in machine.unresolved.items():
            is_current = start.token == ownership.token and machine.last_contact_at > start.sent_at
            if is_current and now - start.sent_at > UNRESOLVED_TIMEOUT_S:
                if not ownership.token_renewal_wanted:
                    log.info(
                        "shard %s: commands for task %s on machine %s may arrive late: new token wanted",
                        ownership.zone,
                        ref.name,
                        machine.id,
                    )
                ownership.token_renewal_wanted = True
                return
