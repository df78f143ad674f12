"""Requests to stop tasks: for preemption, consolidation, termination notices and drains."""

from __future__ import annotations

import logging
from collections.abc import Callable

from cloverplank.autoscaling.draining import DrainReason
from cloverplank.basic_types import MonotonicTime, TaskRef
from cloverplank.shard.machine import Machine
from cloverplank.shard.shard_types import CHECKPOINT_MARGIN_S, StopRequest, placed_refs
from cloverplank.shard.state import ShardState

log = logging.getLogger(__name__)

STOP_TTL_S = 60.0  # older requests are dropped
TERMINATION_MARGIN_S = 0.5  # time left between the end of a checkpoint's grace period and the termination
STOP_LEAD_HEARTBEATS = 0.6  # heartbeat intervals before termination at which tasks without checkpoints stop


class TaskStops:
    """The stop requests of one shard.

    `send_commands`: sends the commands that are due to a machine.
    """

    def __init__(self, state: ShardState, send_commands: Callable[[Machine], None]) -> None:
        self._state = state
        self._send_commands = send_commands

    def stop(self, ref: TaskRef, machine: Machine, *, grace_s: float, reason: str) -> None:
        """Request that a task be stopped, with `grace_s` seconds for a checkpoint."""
        state = self._state
        if ref in state.stops:
            return
        state.stops[ref] = StopRequest(machine.id, grace_s, reason, state.clock.monotonic())
        machine.reconciled_at_change = None
        log.info("stop: task %s attempt %d on machine %s: %s", ref.name, ref.attempt, machine.id, reason)
        self._send_commands(machine)

    def check_termination(self, machine: Machine, now: MonotonicTime) -> None:
        """Stop tasks on a machine that is drained for a fault, or that the cloud provider will terminate soon.

        Tasks with checkpoints are stopped in time to save one; the others continue for as long as they can.
        """
        drain_reason = self._state.draining.reason(machine.id)
        is_faulty = drain_reason is not None and drain_reason != DrainReason.IDLE
        if machine.terminates_at is None and not is_faulty:
            return
        time_left_s = 0.0 if machine.terminates_at is None else machine.terminates_at - now
        heartbeat_interval_s = self._state.limits.heartbeat_interval_s
        for view in self._state.store.jobs_on(machine.id):
            spec = view.record.spec
            has_checkpoints = spec.checkpoint_s > 0
            lead_s = heartbeat_interval_s * STOP_LEAD_HEARTBEATS
            if has_checkpoints:
                lead_s = spec.save_s + CHECKPOINT_MARGIN_S + heartbeat_interval_s
            if not is_faulty and time_left_s > lead_s:
                continue
            grace_s = max(spec.save_s, time_left_s - TERMINATION_MARGIN_S) if has_checkpoints else 0.0
            for ref in placed_refs(view.record, machine.id):
                self.stop(ref, machine, grace_s=grace_s, reason="drain" if is_faulty else "termination notice")

    def drop_expired(self, now: MonotonicTime) -> None:
        """Drop requests that are too old, and those of jobs that no longer exist."""
        stops = self._state.stops
        expired = [
            ref
            for ref, stop in stops.items()
            if now - stop.requested_at > STOP_TTL_S or self._state.store.get(ref.job) is None
        ]
        for ref in expired:
            del stops[ref]
