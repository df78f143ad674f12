"""Wire formats: round trips, the protocol's names, and malformed input."""

from __future__ import annotations

import math

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverplank.wire import cloud, gossip, kvstore, users, workers
from cloverplank.wire.codec import MessageDecodeError, decode, encode

VALID_SUBMISSION = {
    "id": "run-000412",
    "lane": "train",
    "crew": "vision",
    "shape": "batch",
    "rank": "urgent",
    "pieces": 16,
    "vcpus": 8.0,
    "gpus": 1.0,
    "ram_gb": 64.0,
    "bundle": "img-07",
    "image_gb": 6.2,
    "builds": ["g8"],
    "yard": None,
    "together": True,
    "apart": False,
    "loaners": True,
    "guess_s": 240.0,
    "marker_s": 30.0,
    "stow_s": 4.0,
    "due_s": 900.0,
}
DECODED = [
    users.JobSpec,
    workers.Heartbeat,
    workers.HeartbeatResponse,
    cloud.MachineTypes,
    cloud.MachineList,
    cloud.ProvisionResponse,
    kvstore.KeyValuePage,
    kvstore.KeyValue,
    kvstore.WatchResponse,
    kvstore.TransactionResponse,
    kvstore.LeaseResponse,
    gossip.GossipMessage,
]
ANYTHING = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=6), inner, max_size=4),
    max_leaves=12,
)


def test_submission_has_the_names_of_the_protocol() -> None:
    spec = users.decode_submission(encode(VALID_SUBMISSION | {"a field of tomorrow": 1})).spec
    assert (spec.team, spec.tasks, spec.cpus, spec.deadline_s) == ("vision", 16, 8.0, 900.0)
    assert decode(encode(spec), dict) == VALID_SUBMISSION


@pytest.mark.parametrize("name", sorted(set(VALID_SUBMISSION) - {"builds", "yard", "due_s"}))
def test_submission_without_a_required_field_is_refused(name: str) -> None:
    with pytest.raises(MessageDecodeError):
        users.decode_submission(encode({field: value for field, value in VALID_SUBMISSION.items() if field != name}))


@pytest.mark.parametrize(
    "change",
    [
        {"id": "run-"},
        {"id": "job-1"},
        {"id": "run-1/2"},
        {"id": "run-1 "},
        {"id": 7},
        {"pieces": 0},
        {"pieces": -1},
        {"pieces": 100_001},
        {"pieces": 1.5},
        {"pieces": True},
        {"vcpus": -1.0},
        {"vcpus": math.nan},
        {"ram_gb": math.inf},
        {"due_s": -5.0},
        {"guess_s": "long"},
        {"shape": "heap"},
        {"rank": "high"},
        {"builds": "g8"},
        {"together": 1},
        {"vcpus": 0.0, "gpus": 0.0, "ram_gb": 0.0},
        {"crew": ""},
    ],
    ids=lambda change: " ".join(f"{name}={value}" for name, value in change.items()),
)
def test_submission_with_an_invalid_field_is_refused(change: dict) -> None:
    with pytest.raises(MessageDecodeError):
        users.decode_submission(encode(VALID_SUBMISSION | change))


@given(st.binary(max_size=200) | ANYTHING.map(encode))
def test_any_bytes_are_decoded_or_refused(data: bytes) -> None:
    for message_type in DECODED:
        try:
            decode(data, message_type)
        except MessageDecodeError:
            pass


@given(st.dictionaries(st.sampled_from(sorted(VALID_SUBMISSION)), ANYTHING, max_size=4))
def test_submission_of_any_values_is_refused_or_round_trips(change: dict) -> None:
    try:
        spec = users.decode_submission(encode(VALID_SUBMISSION | change)).spec
    except MessageDecodeError:
        return
    assert users.decode_submission(encode(spec)) == users.Submission(spec, [])
    assert spec.tasks <= users.MAX_TASKS
    assert math.isfinite(spec.cpus)


@given(
    st.builds(
        workers.Heartbeat,
        machine=st.text(min_size=1, max_size=20),
        incarnation=st.integers(0, 2**62),
        sequence=st.integers(0, 2**62),
        token=st.integers(0, 2**62),
        tasks=st.lists(
            st.builds(
                workers.TaskStatus, task=st.text(max_size=10), attempt=st.integers(0, 99), state=st.text(max_size=8)
            ),
            max_size=3,
        ),
    )
)
def test_heartbeat_round_trips(heartbeat: workers.Heartbeat) -> None:
    assert decode(encode(heartbeat), workers.Heartbeat) == heartbeat


def test_commands_have_the_names_of_the_protocol() -> None:
    response = workers.HeartbeatResponse(
        41, [workers.Command("stop", "run-1/0", 2, 10.0), workers.Command("reap", "run-1/1", 1)]
    )
    assert msgspec.msgpack.decode(encode(response)) == {
        "baton": 41,
        "orders": [
            {"verb": "stop", "piece": "run-1/0", "try": 2, "leeway_s": 10.0},
            {"verb": "reap", "piece": "run-1/1", "try": 1},
        ],
    }


def test_transaction_has_the_names_of_the_protocol() -> None:
    transaction = kvstore.Transaction(
        [kvstore.Compare("a/b", 0)], [kvstore.Put("a/b", {"x": 1}, 7), kvstore.Put("e", 1), kvstore.Delete("c/d")]
    )
    assert msgspec.msgpack.decode(encode(transaction)) == {
        "when": [{"path": "a/b", "stamp": 0}],
        "writes": [{"put": "a/b", "value": {"x": 1}, "hold": 7}, {"put": "e", "value": 1}, {"delete": "c/d"}],
    }
