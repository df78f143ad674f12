"""Stored records: both layouts of a job record are equivalent, and no record exceeds the lower size limit."""

from __future__ import annotations

from contextlib import suppress

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverplank.basic_types import JobId, ModRevision, WallTimeMs
from cloverplank.feature_gates import NEWEST_VERSION
from cloverplank.jobs import layout, ranges
from cloverplank.jobs.blocked import BlockedJob
from cloverplank.jobs.records import BlockedJobRecord, Eviction, FinalRecord, JobRecord, Phase, Placement, Run, place
from cloverplank.jobs.size_limits import RecordSizeLimits
from cloverplank.kvstore import job_transitions
from cloverplank.records.cluster import NodeRecord
from cloverplank.records.machines import DrainRecord, ProvisioningRecord
from cloverplank.wire.codec import MessageDecodeError, encode, json_size
from cloverplank.wire.kvstore import Transaction
from tests.jobs.specs import spec
from tests.production import messages

LOWEST_VALUE_BYTES = 2 * 1024
NOW_MS = 1_700_000_000_000
TASK_SETS = st.sets(st.integers(0, 400), min_size=1, max_size=30).map(ranges.from_numbers)
RUNS = st.lists(
    st.builds(
        Run, st.integers(0, 999_999).map("m-{:06d}".format), st.sampled_from(["a", "b"]), st.integers(1, 300), TASK_SETS
    ),
    max_size=60,
)
EVICTIONS = st.lists(
    st.builds(Eviction, st.just("m-000001"), st.integers(0, 9), st.integers(0, 2**45), st.integers(1, 9)),
    max_size=3,
)
RECORDS = st.builds(
    JobRecord,
    st.just(spec(due_s=12.5)),
    st.integers(0, 2**45),
    st.sampled_from(list(Phase)),
    st.integers(1, 400),
    st.one_of(st.just([]), TASK_SETS),
    RUNS,
    st.dictionaries(st.sampled_from("ab"), st.integers(0, 400)),
    EVICTIONS,
    st.integers(0, 2**45),
)


def size_limits(value_kb: int, *, compact_allowed: bool) -> RecordSizeLimits:
    return RecordSizeLimits(value_kb * 1024, LOWEST_VALUE_BYTES, lambda: compact_allowed)


def decoded(value: bytes) -> JobRecord:
    return layout.record_of(layout.decode_stored(value))


@given(RECORDS)
def test_both_layouts_decode_to_the_same_record(record: JobRecord) -> None:
    packed = layout.pack(record)
    assert packed is not None
    assert decoded(encode(packed)) == record
    assert decoded(encode(record)) == record


@given(RECORDS, st.binary(max_size=60))
def test_damaged_compact_record_raises_no_other_error(record: JobRecord, junk: bytes) -> None:
    packed = layout.pack(record)
    for text in (junk.hex(), "%%%", "////"):
        damaged = msgspec.structs.replace(packed, runs=text, done=text)
        with suppress(MessageDecodeError):
            decoded(encode(damaged))


def test_machine_names_of_several_patterns_are_stored_plain() -> None:
    runs = [Run("m-000001", "a", 1, [0, 0]), Run("host-7", "a", 1, [1, 1])]
    record = JobRecord(spec(pieces=100), 1, runs=runs * 20)
    assert layout.to_stored(record, LOWEST_VALUE_BYTES, compact_allowed=True) is record


@pytest.fixture
def large_record() -> JobRecord:
    """A record whose plain layout is larger than the lower limit."""
    record = JobRecord(spec(pieces=200), 1, runs=[Run(f"m-{n:06d}", "a", n, [n, n]) for n in range(200)])
    assert json_size(record) > LOWEST_VALUE_BYTES
    return record


def test_record_is_stored_plain_until_every_controller_reads_the_compact_layout(large_record: JobRecord) -> None:
    """The size of the record makes no difference, since the previous version can't read the compact layout."""
    stored = size_limits(8, compact_allowed=False).to_stored(large_record)
    assert msgspec.msgpack.decode(encode(stored), type=messages.JobRecord).at == 1


def test_large_record_is_stored_compact_where_that_is_allowed(large_record: JobRecord) -> None:
    stored = size_limits(8, compact_allowed=True).to_stored(large_record)
    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(encode(stored), type=messages.JobRecord)
    assert json_size(stored) <= LOWEST_VALUE_BYTES


@settings(max_examples=60)
@given(st.integers(1, 600), st.lists(st.integers(1, 4), min_size=1, max_size=400), st.data())
def test_placements_keep_every_record_within_the_lower_limit(tasks: int, sizes: list[int], data: st.DataObject) -> None:
    """A shard owner places tasks on at most `remaining_runs` further machines, and tasks exit in any order."""
    limits = size_limits(16, compact_allowed=True)
    record = JobRecord(spec(pieces=tasks), NOW_MS, allocation={"a": tasks}, submitted=NOW_MS)
    for step in range(6):
        numbers = data.draw(st.lists(st.integers(0, 999_999), min_size=len(sizes), max_size=len(sizes)))
        placements = [Placement(f"m-{n:06d}", "a", size) for n, size in zip(numbers, sizes, strict=True)]
        change = place(placements[: max(0, limits.remaining_runs(record))], record.next_attempt)
        record = change(record) or record
        assert json_size(limits.to_stored(record)) <= LOWEST_VALUE_BYTES
        exited = [run for run in record.runs if (run.attempt + run.tasks[0] + step) % 3 == 0]
        done = record.done
        for run in exited:
            done = ranges.union(done, run.tasks)
        left = [run for run in record.runs if run not in exited]
        record = msgspec.structs.replace(record, done=done, runs=left)
        assert json_size(limits.to_stored(record)) <= LOWEST_VALUE_BYTES


def test_large_plain_record_can_be_rewritten_within_the_lower_limit() -> None:
    """The record is stored plain in 14 KiB, with runs on hundreds of machines and the maximum of eviction entries."""
    runs = [Run(f"m-{7 * n % 1000:06d}", "tuul-hall", 1 + n // 40, [n, n]) for n in range(250)]
    evictions = [Eviction(f"m-{n:06d}", 2, NOW_MS, 7) for n in range(20)]
    record = JobRecord(spec(pieces=250), NOW_MS, runs=runs, allocation={"tuul-hall": 250}, evictions=evictions)
    assert json_size(record) > 9_000
    stored = size_limits(16, compact_allowed=True).to_stored(record)
    assert json_size(stored) <= LOWEST_VALUE_BYTES
    assert decoded(encode(stored)).runs == runs


NAMES = [f"m-{n:06d}" for n in range(50)]
LARGEST_RECORDS = {
    "provisioning": ProvisioningRecord("t" * 60, "z" * 60, True, 50, NOW_MS, NAMES),
    "draining": DrainRecord(NOW_MS, dict.fromkeys(NAMES[:48], "never up"), []),
    "drained": DrainRecord(NOW_MS, {}, NAMES[:48]),
    "final": FinalRecord(Phase.CANCELLED, 100_000),
    "node": NodeRecord("z" * 100, 2**40, NEWEST_VERSION),
}


@pytest.mark.parametrize("record", LARGEST_RECORDS.values(), ids=LARGEST_RECORDS.keys())
def test_other_records_fit_the_lower_limit(record: msgspec.Struct) -> None:
    assert json_size(record) <= LOWEST_VALUE_BYTES


BLOCKED_JOB = BlockedJob(JobId("run-000001"), BlockedJobRecord(spec(), 1, ["run-000002"]), ModRevision(7))


@pytest.mark.parametrize(
    "transaction",
    [
        pytest.param(job_transitions.release(BLOCKED_JOB, WallTimeMs(5)), id="release"),
        pytest.param(job_transitions.cancel(BLOCKED_JOB), id="cancel"),
    ],
)
def test_transitions_of_blocked_jobs_are_small_transactions(transaction: Transaction) -> None:
    assert len(transaction.changes) == 2
    assert len(transaction.conditions) == 1


def test_released_job_counts_its_deadline_from_the_submission() -> None:
    released = job_transitions.release(BLOCKED_JOB, WallTimeMs(5)).changes[1].value
    assert (released.runnable_at, released.submitted, released.submitted_at) == (5, 1, 1)
