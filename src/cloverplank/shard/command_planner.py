"""Command planning: determines the commands that are due to each worker, and puts them into messages."""

from __future__ import annotations

from msgspec import Struct

from cloverplank.basic_types import TaskRef, parse_task_name
from cloverplank.jobs.records import Phase
from cloverplank.shard.machine import Health, Machine
from cloverplank.shard.shard_types import TaskState, placed_refs
from cloverplank.shard.state import ShardState
from cloverplank.wire.workers import Command

MAX_COMMANDS = 250  # per message; keeps a response well under 64 KiB
# Acknowledgements of ended tasks are deferred until other commands are sent to the machine, up to this number, because
# each change on a machine causes one more heartbeat.
MAX_DEFERRED_ACKS = 8


class DueCommands(Struct, frozen=True):
    """The commands that a worker should execute now, and the acknowledgements of task exits, which can wait."""

    commands: list[Command]
    acknowledgements: list[Command]


def started_tasks(commands: list[Command]) -> list[TaskRef]:
    """Return the tasks that the commands start."""
    refs = [parse_task_name(command.task, command.attempt) for command in commands if command.op == "start"]
    return [ref for ref in refs if ref is not None]


class CommandPlanner:
    """Compares the committed records with the newest heartbeats of one shard's machines.

    Nothing is remembered between two calls: what is due follows from the records and the machine's newest status.
    """

    def __init__(self, state: ShardState) -> None:
        self._state = state

    def due(self, machine: Machine) -> DueCommands:
        """Return the commands and acknowledgements that are due to a worker."""
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
        return DueCommands(commands[:MAX_COMMANDS], acknowledgements)

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

    def with_acknowledgements(self, machine: Machine, due: DueCommands) -> list[Command]:
        """Return one message's commands: the acknowledgements first, if the worker's token allows them by now."""
        if not due.acknowledgements or not self._state.tokens.raise_above_starts(machine):
            return due.commands
        return (due.acknowledgements + due.commands)[:MAX_COMMANDS]
