"""Machines that are drained or terminated according to the drain records in the key-value store."""

from __future__ import annotations

from enum import StrEnum

from cloverplank.basic_types import MachineId
from cloverplank.kvstore import keys
from cloverplank.kvstore.watch_cache import WatchCache
from cloverplank.records.machines import DrainRecord


class DrainReason(StrEnum):
    """Why a machine is drained; the values are stored."""

    IDLE = "idle"
    FAILED = "failed"  # the cloud's machine list states that the machine failed
    FAULTY = "faulty"  # jobs fail on the machine
    SILENT = "silent"  # the machine has stopped sending heartbeats
    NEVER_UP = "never up"  # the machine had no contact with a shard owner within its boot timeout


class DrainingMachines:
    """Indexes the drain records, each of which names many machines, by machine."""

    def __init__(self, watch_cache: WatchCache) -> None:
        self._watch_cache = watch_cache
        self._by_key: dict[str, DrainRecord] = {}
        self._reasons: dict[MachineId, str] = {}
        self._terminated: set[MachineId] = set()

    def __contains__(self, machine: MachineId) -> bool:
        return machine in self._reasons or machine in self._terminated

    def reason(self, machine: MachineId) -> str | None:
        """Return why a machine is drained; None if it is not drained or is terminated already."""
        return self._reasons.get(machine)

    def is_terminated(self, machine: MachineId) -> bool:
        """Return whether the machine is terminated."""
        return machine in self._terminated

    def apply_change(self, key: str) -> list[MachineId]:
        """Apply the change of a drain record's key and return the machines that the change marks as terminated."""
        cached = self._watch_cache.get(key, DrainRecord)
        previous = self._by_key.pop(key, None)
        if previous is not None:
            for name in previous.draining:
                self._reasons.pop(MachineId(name), None)
            self._terminated.difference_update(MachineId(name) for name in previous.terminated)
        if cached is None:
            return []
        record = self._by_key[key] = cached.record
        self._reasons.update({MachineId(name): reason for name, reason in record.draining.items()})
        terminated = {MachineId(name) for name in record.terminated}
        self._terminated |= terminated
        return sorted(terminated.difference(previous.terminated if previous is not None else ()))

    def records(self) -> dict[str, DrainRecord]:
        """Return a copy of the records by key."""
        return dict(self._by_key)


def is_drain_key(key: str) -> bool:
    """Return whether a key holds a drain record."""
    return key.startswith(keys.DRAINS)
