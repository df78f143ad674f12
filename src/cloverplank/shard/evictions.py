"""Evictions: tasks are removed from a machine in the records once they are proven to have ended there."""

from __future__ import annotations

import logging

from cloverplank.basic_types import MachineId, WallTimeMs
from cloverplank.jobs import ranges, records
from cloverplank.jobs.store import CachedJob
from cloverplank.kvstore.transaction_priority import TransactionPriority
from cloverplank.shard.record_changes import RecordChanges
from cloverplank.shard.shard_types import refs_of_run
from cloverplank.shard.state import ShardState

log = logging.getLogger(__name__)

MAX_LOGGED_JOBS = 10
ENTRY_REMOVAL_DELAY_S = 1.0  # lets eviction entries be removed together with other changes of the job


class Evictions:
    """Evicts machines of one shard, and removes the entries of completed evictions."""

    def __init__(self, state: ShardState, changes: RecordChanges) -> None:
        self._state = state
        self._changes = changes

    def evict(self, name: MachineId, reason: str) -> None:
        """Stage the removal of all tasks of this zone from the machine.

        The log line gives the tasks and the proof that they have ended.
        """
        state = self._state
        views = [
            view
            for view in state.store.jobs_on(name)
            if any(run.zone == state.zone for run in view.staged.runs_on.get(name, ()))
        ]
        if views:
            tasks = " ".join(_format_evicted_tasks(view, name) for view in views[:MAX_LOGGED_JOBS])
            log.info(
                "eviction: machine %s %s, token %d, %s: %d jobs: %s",
                name,
                reason,
                state.ownership.token,
                self._lease_state_text(name),
                len(views),
                tasks,
            )
        for view in views:
            self._changes.stage(view, records.evict(name, state.clock.wall_ms()), TransactionPriority.PLACE)

    def _lease_state_text(self, name: MachineId) -> str:
        """Return the state of the worker's lease and the token and incarnation that it has shown, for the log line."""
        machine = self._state.machines.get(name)
        if machine is None:
            return "not in the shard"
        now = self._state.clock.monotonic()
        expires_at = self._state.tasks_expire_at(machine)
        return (
            f"{'fenced' if machine.fenced else 'not fenced'}, shown token {machine.token or 0} in incarnation "
            f"{machine.incarnation}, lease expires in {expires_at - now:.1f} s"
        )

    def remove_completed_entries(self) -> None:
        """Remove the entries of evictions whose replacement tasks run, and those that exceed the age limit."""
        now = self._state.clock.wall_ms()
        for view in self._state.store.jobs.values():
            if view.staged.evictions and not view.pending:
                self._remove_completed_entries_of(view, now)

    def _remove_completed_entries_of(self, view: CachedJob, now: WallTimeMs) -> None:
        state = self._state
        limit_ms = state.limits.eviction_limit_ms
        entries = view.staged.evictions
        newest_attempt = max(entry.since_attempt for entry in entries)
        healthy = view.record.missing_count() == 0 and all(
            state.is_running(ref, run.machine)
            for run in view.record.runs
            if run.attempt >= newest_attempt and run.zone == state.zone
            for ref in refs_of_run(view.record, run)
        )
        if healthy or any(now - entry.evicted_at >= limit_ms for entry in entries):
            change = records.drop_evictions(now, limit_ms, replaced=healthy)
            self._changes.stage(view, change, TransactionPriority.DONE, delay_s=ENTRY_REMOVAL_DELAY_S)


def _format_evicted_tasks(view: CachedJob, machine: MachineId) -> str:
    """Return the evicted tasks of a job with their attempts, for example `run-000412/0-3,7 attempt 2`."""
    runs = view.staged.runs_on.get(machine, ())
    return ", ".join(f"{view.id}/{ranges.text(run.tasks)} attempt {run.attempt}" for run in runs)
