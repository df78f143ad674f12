"""Storage layouts of job records: a plain one, and a compact one for records that would become too large.

The plain layout names every field. In the compact layout a job that runs on hundreds of machines takes about seven
bytes per machine. Versions before format version 1 can't read it, so it is written only if the caller allows it. Both
layouts can always be read.
"""

from __future__ import annotations

import binascii

import msgspec
from msgspec import Struct, field

from cloverplank.jobs.compact_encoding import decode_done, decode_runs, encode_done, encode_runs, name_pattern
from cloverplank.jobs.layout_kind import LayoutKind
from cloverplank.jobs.records import Eviction, JobRecord, Phase
from cloverplank.wire.codec import MessageDecodeError, decode, json_size
from cloverplank.wire.users import JobSpec

MAX_UNMEASURED_RUNS = 12  # a record with at most this many runs is stored plain without measuring its size
MAX_PLAIN_FRACTION = 0.6  # of the value size limit; larger records are stored compact if that is allowed


class SpecRow(JobSpec, array_like=True, frozen=True):
    """A job's description, encoded as an array without field names."""


class CompactRecord(Struct, frozen=True, omit_defaults=True):
    """A job record with its runs and done tasks packed into strings."""

    spec: SpecRow
    zones: list[str]
    machines: tuple[str, int]  # the prefix of all machine names, and the number of digits that follow it
    runs: str
    done: str
    runnable_at: int = field(name="at")  # time of day, ms
    phase: Phase = Phase.OPEN
    next_attempt: int = field(name="next", default=1)
    allocation: dict[str, int] = field(default_factory=dict, name="allot")
    evictions: list[Eviction] = field(default_factory=list, name="ev")
    submitted: int = 0  # time of day, ms, as in JobRecord


StoredRecord = JobRecord | CompactRecord


def decode_stored(value: bytes) -> StoredRecord:
    """Decode a stored record in either layout. Raises MessageDecodeError."""
    try:
        return decode(value, JobRecord)
    except MessageDecodeError as plain_error:
        try:
            return decode(value, CompactRecord)
        except MessageDecodeError:
            raise plain_error from None


def record_of(stored: StoredRecord) -> JobRecord:
    """Return the job record, unpacked if it is compact. Raises MessageDecodeError."""
    return stored if isinstance(stored, JobRecord) else unpack(stored)


def layout_kind_of(stored: StoredRecord) -> LayoutKind:
    """Return the layout of a stored record."""
    return LayoutKind.PLAIN if isinstance(stored, JobRecord) else LayoutKind.COMPACT


def to_stored(record: JobRecord, value_bytes: int, *, compact_allowed: bool) -> StoredRecord:
    """Return the record in the layout to store it in, which takes at most `value_bytes` if that is possible."""
    if not compact_allowed or len(record.runs) + len(record.done) // 2 <= MAX_UNMEASURED_RUNS:
        return record
    if json_size(record) <= MAX_PLAIN_FRACTION * value_bytes:
        return record
    return pack(record) or record


def pack(record: JobRecord) -> CompactRecord | None:
    """Return the record in the compact layout, or None if the machine names follow no common pattern."""
    pattern = name_pattern(record.runs)
    if pattern is None:
        return None
    zones = sorted({run.zone for run in record.runs})
    return CompactRecord(
        spec=SpecRow(*msgspec.structs.astuple(record.spec)),
        zones=zones,
        machines=pattern,
        runs=encode_runs(record.runs, zones, pattern),
        done=encode_done(record.done),
        runnable_at=record.runnable_at,
        phase=record.phase,
        next_attempt=record.next_attempt,
        allocation=record.allocation,
        evictions=record.evictions,
        submitted=record.submitted,
    )


def unpack(compact: CompactRecord) -> JobRecord:
    """Return the job record of a compact one. Raises MessageDecodeError if its runs or done tasks are malformed."""
    try:
        return JobRecord(
            spec=JobSpec(*msgspec.structs.astuple(compact.spec)),
            runnable_at=compact.runnable_at,
            phase=compact.phase,
            next_attempt=compact.next_attempt,
            done=decode_done(compact.done),
            runs=decode_runs(compact.runs, compact.zones, compact.machines),
            allocation=compact.allocation,
            evictions=compact.evictions,
            submitted=compact.submitted,
        )
    except (IndexError, StopIteration, RuntimeError, binascii.Error, ValueError) as err:
        raise MessageDecodeError(
            f"compact record of job {compact.spec.id}: malformed runs or done tasks: {err}"
        ) from err
