"""Types, constants and helpers shared by the modules of a shard."""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct

from cloverplank.basic_types import MachineId, MonotonicTime, TaskRef
from cloverplank.jobs.ranges import numbers
from cloverplank.jobs.records import JobRecord, Run
from cloverplank.jobs.size_limits import RecordSizeLimits

MAX_UNACKNOWLEDGED_RESPONSES = 3  # consecutive heartbeats answered although none carried the last response's token
# Kinds of one-way partition, as named in log lines and stop reasons.
INBOUND_PARTITION = "inbound partition"  # heartbeats arrive, but responses and commands do not reach the machine
OUTBOUND_PARTITION = "outbound partition"  # commands reach the machine, but its heartbeats do not arrive
CHECKPOINT_MARGIN_S = 1.0  # added to the time that a job needs to save a checkpoint


class TaskState(StrEnum):
    """Task states in heartbeats that the shard owner acts on."""

    PULLING = "pulling"
    RUNNING = "running"
    SAVING = "saving"
    ENDED = "ended"


class ExitReason(StrEnum):
    """Reasons for the exit of a task that the shard owner acts on."""

    DONE = "done"
    ERROR = "error"


class ShardLimits(Struct, frozen=True):
    """Time limits and other bounds of a shard owner, taken from the settings."""

    heartbeat_interval_s: float
    lease_s: float
    grace_s: float
    taint_after_s: float
    suspect_after_s: float
    size_limits: RecordSizeLimits
    write_rps: float
    eviction_limit_ms: int
    probe_after_s: float


class StopRequest(Struct, frozen=True):
    """A request to stop a task, which is kept until the task has ended."""

    machine: MachineId
    grace_s: float
    reason: str
    requested_at: MonotonicTime


def refs_of_run(record: JobRecord, run: Run) -> list[TaskRef]:
    """Return the tasks of one run of a job."""
    return [TaskRef(record.id, index, run.attempt) for index in numbers(run.tasks)]  # type: ignore[arg-type]


def placed_refs(record: JobRecord, machine: MachineId) -> list[TaskRef]:
    """Return the tasks that a record places on the machine."""
    return [
        TaskRef(record.id, index, run.attempt)  # type: ignore[arg-type]
        for run in record.runs_on.get(machine, ())
        for index in numbers(run.tasks)
    ]
