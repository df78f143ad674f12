"""Probes: requests to silent machines, which show earlier than lease expiry whether a machine is lost."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from cloverplank.background import BackgroundTasks
from cloverplank.basic_types import MonotonicTime
from cloverplank.shard.errors import FencedError
from cloverplank.shard.lost_machines import LostMachines
from cloverplank.shard.machine import Health, Machine
from cloverplank.shard.shard_types import INBOUND_PARTITION
from cloverplank.shard.state import ShardState
from cloverplank.shard.task_reconciler import PROBE_TIMEOUT_S, SendOutcome
from cloverplank.wire.workers import Command

MAX_PROBES_IN_FLIGHT = 48  # more would use up the sockets that commands need
PROBE_RETRY_S = 5.0  # minimum time between probes of a machine that did not respond to the first one
MAX_PROBE_OVERRUN_S = 0.4  # a probe that exceeds its time limit by more was delayed on the owner's side
MIN_EXPECTED_HEARTBEATS = 6.0  # if as many are expected from all machines during a probe, one must have arrived

SendCommands = Callable[[Machine, list[Command], float], Awaitable[SendOutcome]]


class Prober:
    """Probes machines of one shard, and marks those that do not respond as lost.

    `send`: sends a command request with a time limit in seconds.
    """

    def __init__(self, state: ShardState, send: SendCommands, lost_machines: LostMachines) -> None:
        self._state = state
        self._send = send
        self._lost_machines = lost_machines
        self._in_flight = 0
        self._tasks = BackgroundTasks()

    def start_probe(self, machine: Machine) -> None:
        """Probe the machine in the background, unless a request is in flight or it was marked as lost recently."""
        if machine.probing or machine.sending or not machine.addr:
            return
        if machine.lost_since is not None and self._state.clock.monotonic() - machine.lost_since < PROBE_RETRY_S:
            return
        if self._in_flight >= MAX_PROBES_IN_FLIGHT:
            return
        machine.probing = True
        self._in_flight += 1
        self._tasks.spawn(self.probe(machine))

    async def probe(self, machine: Machine) -> None:
        """Send a probe. Without a response the machine is marked as lost, unless the owner itself may be isolated."""
        sent_at = self._state.clock.monotonic()
        sends_heartbeats = machine.health is Health.UNCONFIRMED
        try:
            outcome = await self._send(machine, [], PROBE_TIMEOUT_S)
        except FencedError:
            return
        finally:
            machine.probing = False
            self._in_flight -= 1
        now = self._state.clock.monotonic()
        if outcome is not SendOutcome.FAILED or machine.contact_confirmed:
            return
        if now - sent_at > PROBE_TIMEOUT_S + MAX_PROBE_OVERRUN_S:
            return  # delayed on the owner's side
        if self.receives_no_heartbeats_since(sent_at) or (machine.last_contact_at > sent_at and not sends_heartbeats):
            return  # the owner itself may be isolated
        silent_s = sent_at - machine.last_contact_at
        state = INBOUND_PARTITION if sends_heartbeats else "silent"
        self._lost_machines.mark(machine, now, f"{state} for {silent_s:.1f} s, no probe response: lost")

    def receives_no_heartbeats_since(self, sent_at: MonotonicTime) -> bool:
        """Return whether an expected heartbeat has not arrived since a probe was sent, which is a sign of isolation.

        Where many machines send heartbeats, at least one does so while a probe waits. Where few do, a heartbeat from
        up to one interval before the probe counts, too. With many machines, that allowance would let an owner that was
        just cut off from its workers give up dozens of healthy ones.
        """
        interval_s = self._state.limits.heartbeat_interval_s
        sending_machines = sum(1 for machine in self._state.machines.values() if machine.health is Health.UP)
        allowance_s = interval_s * max(
            0.0, 1 - PROBE_TIMEOUT_S * sending_machines / (MIN_EXPECTED_HEARTBEATS * interval_s)
        )
        return self._state.last_heartbeat_at < sent_at - allowance_s

    def close(self) -> None:
        """Cancel probes that are in flight."""
        self._tasks.cancel()
