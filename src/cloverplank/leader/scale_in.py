"""Scale in: selects machines to drain, terminates drained machines, and records both."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Set
from itertools import islice

from cloverplank.autoscaling.cloud import CloudClient, CloudUnavailableError
from cloverplank.autoscaling.draining import DrainReason
from cloverplank.autoscaling.registry import HEALTH_FAULTY, HEALTH_LOST, STATE_FAILED, MachineEntry
from cloverplank.basic_types import MS_PER_SECOND, Clock, MachineId, MonotonicTime
from cloverplank.jobs.store import JobStore
from cloverplank.kvstore import keys
from cloverplank.kvstore.controller_lease import ControllerLease
from cloverplank.leader.cluster_machines import ClusterMachines
from cloverplank.leader.transactions import LeaderTransactions
from cloverplank.records.machines import DrainRecord
from cloverplank.settings.operator import OperatorSettings
from cloverplank.wire.cloud import MAX_TERMINATE, MachineType
from cloverplank.wire.kvstore import Delete, Put

log = logging.getLogger(__name__)

MIN_BILLED_S = 58.0  # the cloud bills at least one minute, so idle machines younger than this are kept
DEFAULT_BOOT_S = 60.0  # assumed for a machine of unknown type
MIN_BOOT_TIMEOUT_S = 60.0  # a machine that no shard owner has contact with is not drained as "never up" before this
CONTACT_TIMEOUT_S = 50.0  # a machine whose shard owner has had no contact with it for this long is drained as "silent"
FAULTY_DRAIN_TIMEOUT_S = 40.0  # after this time, a faulty machine is terminated even if tasks run on it
DRAIN_GRACE_S = 0.5  # a placement that was in flight when a drain was committed becomes visible within this time
MAX_DRAINS_PER_CYCLE = 48
DRAIN_RECORD_TTL_S = 300.0  # while the record exists, late copies of heartbeats can't restore a terminated machine
SCALE_IN_DELAY_S = 6.0  # a new leader first waits for the machine list, the gossip of shard owners and heartbeats

# For these reasons a machine is terminated without waiting for its tasks, because none run on it.
REASONS_WITHOUT_TASKS = frozenset({DrainReason.FAILED, DrainReason.SILENT, DrainReason.NEVER_UP})


class ScaleIn:
    """Drains and terminates machines while this controller leads.

    `needed_machines` returns the machines whose capacity is allocated to queued jobs; `led_for_s` returns for how many
    seconds this controller has led.
    """

    def __init__(
        self,
        operator: OperatorSettings,
        *,
        clock: Clock,
        controller_lease: ControllerLease,
        store: JobStore,
        cloud: CloudClient,
        machines: ClusterMachines,
        transactions: LeaderTransactions,
        needed_machines: Callable[[], Set[MachineId]],
        led_for_s: Callable[[], float],
    ) -> None:
        self._operator = operator
        self._clock = clock
        self._controller_lease = controller_lease
        self._store = store
        self._cloud = cloud
        self._machines = machines
        self._registry = machines.registry
        self._draining = machines.draining
        self._transactions = transactions
        self._needed_machines = needed_machines
        self._led_for_s = led_for_s
        self._sequence = 0
        # Terminated machines whose termination is not committed yet.
        self._unrecorded_terminations: set[MachineId] = set()
        self._draining_since: dict[MachineId, MonotonicTime] = {}

    async def scale_in(self) -> None:
        """Start drains, terminate lost machines and those whose drain is complete, and record both."""
        if self._controller_lease.leadership_revision() is None:
            return
        await self._record_terminations()
        # A machine that its shard owner reports as lost is terminated at once: the cloud's response proves that its
        # tasks have ended.
        lost = [entry.id for entry in self._registry.entries.values() if entry.health == HEALTH_LOST][:MAX_TERMINATE]
        if lost:
            log.info("scale in: lost machines: %s", " ".join(lost))
            await self._terminate(lost)
        if self._led_for_s() < SCALE_IN_DELAY_S:
            return
        await self._start_drains()
        drained = self._drained_machines()
        await self._transactions.commit_all(self._drain_record_updates())
        if drained:
            await self._terminate(drained[:MAX_TERMINATE])

    async def _start_drains(self) -> None:
        started = dict(islice(self._drain_candidates().items(), MAX_DRAINS_PER_CYCLE))
        for machine, reason in started.items():
            log.info("scale in: machine %s: %s", machine, reason)
        if started:
            record = DrainRecord(self._clock.wall_ms(), {machine: reason.value for machine, reason in started.items()})
            await self._transactions.commit([Put(self._next_drain_key(), record)])

    def _drain_candidates(self) -> dict[MachineId, DrainReason]:
        """Return the machines to drain with the reason for each, and update since when each machine is idle."""
        now = self._clock.monotonic()
        types = self._machines.types()
        needed_machines = self._needed_machines()
        candidates: dict[MachineId, DrainReason] = {}
        for entry in self._registry.entries.values():
            is_busy = bool(self._store.jobs_on(entry.id)) or entry.id in needed_machines
            if is_busy or entry.idle_since is None:
                entry.idle_since = None if is_busy else now
            if entry.id in self._draining:
                continue
            reason = self._drain_reason(entry, types.get(entry.type), now)
            if reason is not None:
                candidates[entry.id] = reason
        return candidates

    def _drain_reason(
        self, entry: MachineEntry, machine_type: MachineType | None, now: MonotonicTime
    ) -> DrainReason | None:
        if entry.state == STATE_FAILED:
            return DrainReason.FAILED
        if entry.health == HEALTH_FAULTY:
            return DrainReason.FAULTY
        if entry.last_contact_at is None:
            boot_s = machine_type.boot_s if machine_type else DEFAULT_BOOT_S
            boot_timeout_s = max(MIN_BOOT_TIMEOUT_S, self._operator.never_up_factor * boot_s)
            return DrainReason.NEVER_UP if now - entry.provisioned_at > boot_timeout_s else None
        if now - entry.last_contact_at > CONTACT_TIMEOUT_S:
            return DrainReason.SILENT
        idle_limit_s = self._operator.idle_release_spot_s if entry.spot else self._operator.idle_release_s
        idle_s = -math.inf if entry.idle_since is None else now - entry.idle_since
        is_idle = (
            idle_s >= idle_limit_s and now - entry.provisioned_at >= MIN_BILLED_S and not entry.termination_announced
        )
        return DrainReason.IDLE if is_idle else None

    def _next_drain_key(self) -> str:
        self._sequence += 1
        return keys.drain(f"{self._controller_lease.leadership_revision()}-{self._sequence}")

    def _drained_machines(self) -> list[MachineId]:
        """Return the machines whose drain is complete."""
        now = self._clock.monotonic()
        drained = []
        for record in self._draining.records().values():
            for name, reason in record.draining.items():
                machine = MachineId(name)
                draining_s = now - self._draining_since.setdefault(machine, now)
                if draining_s >= DRAIN_GRACE_S and self._is_drained(machine, reason, draining_s):
                    drained.append(machine)
        return drained

    def _is_drained(self, machine: MachineId, reason: str, draining_s: float) -> bool:
        if not self._store.jobs_on(machine):
            return True
        return reason != DrainReason.IDLE and (reason in REASONS_WITHOUT_TASKS or draining_s > FAULTY_DRAIN_TIMEOUT_S)

    def _drain_record_updates(self) -> list[Put | Delete]:
        """Return the changes that stop drains of machines with new tasks and that delete expired records."""
        changes: list[Put | Delete] = []
        for key, record in self._draining.records().items():
            # A task was placed on an idle machine while its drain was being committed, so the machine is kept.
            kept = {
                name
                for name, reason in record.draining.items()
                if reason == DrainReason.IDLE and self._store.jobs_on(MachineId(name))
            }
            for name in kept:
                self._draining_since.pop(MachineId(name), None)
            draining = {name: reason for name, reason in record.draining.items() if name not in kept}
            if not draining and self._clock.wall_ms() - record.updated_at > DRAIN_RECORD_TTL_S * MS_PER_SECOND:
                changes.append(Delete(key))
            elif kept:
                changes.append(Put(key, DrainRecord(record.updated_at, draining, record.terminated)))
        return changes[:MAX_DRAINS_PER_CYCLE]

    async def _terminate(self, machines: list[MachineId]) -> None:
        try:
            await self._cloud.terminate(machines)
        except CloudUnavailableError as err:
            log.info("termination of machines %s failed: %s", " ".join(machines), err)
            return
        log.info("terminated machines %s", " ".join(machines))
        for machine in machines:
            self._registry.remove_terminated(machine)
            self._draining_since.pop(machine, None)
        self._unrecorded_terminations.update(machines)
        await self._record_terminations()

    async def _record_terminations(self) -> None:
        """Commit which machines are terminated; terminations that can't be committed are kept for the next call."""
        if not self._unrecorded_terminations:
            return
        changes = self._termination_record_updates()
        written = set(self._unrecorded_terminations)
        if await self._transactions.commit_all(changes):
            self._unrecorded_terminations -= written

    def _termination_record_updates(self) -> list[Put | Delete]:
        now = self._clock.wall_ms()
        changes: list[Put | Delete] = []
        remaining = set(self._unrecorded_terminations)
        for key, record in self._draining.records().items():
            terminated = remaining & record.draining.keys()
            if terminated:
                remaining -= terminated
                draining = {name: reason for name, reason in record.draining.items() if name not in terminated}
                changes.append(Put(key, DrainRecord(now, draining, sorted([*record.terminated, *terminated]))))
        undrained: list[str] = sorted(remaining)
        for start in range(0, len(undrained), MAX_DRAINS_PER_CYCLE):
            terminated_names = undrained[start : start + MAX_DRAINS_PER_CYCLE]
            changes.append(Put(self._next_drain_key(), DrainRecord(now, {}, terminated_names)))
        return changes
