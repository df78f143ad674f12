"""Tests of the rules by which a peer is judged faulty, with generated evidence."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverplank.basic_types import MonotonicTime, NodeId
from cloverplank.membership import verdicts
from cloverplank.membership.verdicts import PeerEvidence, PeerState, SuspicionThresholds, Vote

THRESHOLDS = SuspicionThresholds(1.5, 1.8)
NOW = MonotonicTime(1000.0)

VOTES = st.lists(
    st.builds(
        Vote,
        st.sampled_from([NodeId("c-2"), NodeId("c-3"), NodeId("c-4")]),
        st.integers(0, 3),
        st.floats(990.0, 1000.0).map(MonotonicTime),
    ),
    max_size=4,
).map(tuple)
EVIDENCE = st.builds(
    PeerEvidence,
    st.floats(0, 5),
    st.integers(0, 3),
    st.booleans(),
    VOTES,
    st.integers(0, 4),
    st.integers(0, 50),
    st.integers(0, 50),
)


@given(EVIDENCE)
def test_faulty_verdict_needs_silence_no_response_and_a_second_observer(evidence: PeerEvidence) -> None:
    state = verdicts.state_of(evidence, THRESHOLDS, NOW)
    if state is PeerState.FAULTY:
        assert evidence.level >= THRESHOLDS.faulty
        assert evidence.unresponsive
        observers = {vote.observer for vote in evidence.votes if vote.incarnation >= evidence.incarnation}
        assert observers or evidence.other_observers == 0
        assert observers or evidence.workers_reporting_here >= verdicts.MIN_REPORTING_WORKERS
    if evidence.level < THRESHOLDS.suspect:
        assert state is PeerState.ALIVE


@given(EVIDENCE)
def test_peer_that_all_others_reach_is_never_faulty(evidence: PeerEvidence) -> None:
    reached = msgspec.structs.replace(evidence, votes=(), other_observers=max(1, evidence.other_observers))
    assert verdicts.state_of(reached, THRESHOLDS, NOW) is not PeerState.FAULTY


@pytest.mark.parametrize(
    ("workers_reporting_here", "expected"),
    [
        pytest.param(0, PeerState.SUSPECTED, id="workers still report to the peer"),
        pytest.param(15, PeerState.FAULTY, id="most workers report elsewhere"),
    ],
)
def test_workers_decide_between_two_controllers_alone(workers_reporting_here: int, expected: PeerState) -> None:
    evidence = PeerEvidence(
        level=3.0,
        incarnation=1,
        unresponsive=True,
        votes=(),
        other_observers=0,
        workers=20,
        workers_reporting_here=workers_reporting_here,
    )
    assert verdicts.state_of(evidence, THRESHOLDS, NOW) is expected


@pytest.mark.parametrize(
    ("suspected", "peers", "expected"), [(1, 1, False), (1, 2, False), (2, 2, True), (2, 4, False), (3, 4, True)]
)
def test_majority_suspected(suspected: int, peers: int, expected: bool) -> None:
    assert verdicts.majority_suspected(suspected, peers) is expected
