"""Rules by which a suspected controller is judged faulty: pure functions of the evidence."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from cloverplank.basic_types import MonotonicTime, NodeId

VOTE_FRESH_S = 3.0  # votes received longer ago than this are ignored
# A verdict without a majority of votes needs at least this fraction of the peer's workers, and this number of them, to
# send their heartbeats to this controller instead.
MIN_REPORTING_WORKERS_FRACTION = 0.5
MIN_REPORTING_WORKERS = 3  # fewer workers may change controllers by chance


class PeerState(Enum):
    """The state of a peer as this controller judges it."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    FAULTY = "faulty"


class SuspicionThresholds(Struct, frozen=True):
    """The lowest suspicion levels at which a peer is suspected, and at which it may be judged faulty."""

    suspect: float
    faulty: float


class Vote(Struct, frozen=True):
    """A gossiped suspicion: `observer` suspects this incarnation of the peer."""

    observer: NodeId
    incarnation: int
    received_at: MonotonicTime


class PeerEvidence(Struct, frozen=True):
    """The evidence on one peer at one moment.

    `level` is its suspicion level. `other_observers` counts the other peers that are alive and could vote. `workers`
    counts the workers of its zones that are known to be up; `workers_reporting_here` counts those of them that have
    sent heartbeats to this controller since the peer fell silent.
    """

    level: float
    incarnation: int
    unresponsive: bool  # a request to it got no response
    votes: tuple[Vote, ...]
    other_observers: int
    workers: int
    workers_reporting_here: int


def state_of(evidence: PeerEvidence, thresholds: SuspicionThresholds, now: MonotonicTime) -> PeerState:
    """Return the state of a peer: suspected for silence alone, faulty if other observers or workers confirm it."""
    if evidence.level < thresholds.suspect:
        return PeerState.ALIVE
    if evidence.level < thresholds.faulty or not evidence.unresponsive:
        return PeerState.SUSPECTED
    return PeerState.FAULTY if _is_confirmed(evidence, now) else PeerState.SUSPECTED


def _is_confirmed(evidence: PeerEvidence, now: MonotonicTime) -> bool:
    agreeing = {
        vote.observer
        for vote in evidence.votes
        if vote.incarnation >= evidence.incarnation and now - vote.received_at < VOTE_FRESH_S
    }
    if evidence.other_observers and 2 * len(agreeing) > evidence.other_observers:
        return True
    # Without a majority of votes, the workers' choice of controller shows which controllers are reachable.
    min_reporting_here = max(MIN_REPORTING_WORKERS, MIN_REPORTING_WORKERS_FRACTION * evidence.workers)
    most_workers_moved = evidence.workers_reporting_here >= min_reporting_here
    return most_workers_moved and not (evidence.other_observers and not agreeing)


def majority_suspected(suspected: int, peers: int) -> bool:
    """Return whether most peers are suspected, which suggests a fault in this controller's own network link."""
    return peers > 1 and 2 * suspected > peers


def reason(evidence: PeerEvidence) -> str:
    """Return the evidence as one line for the log and the stored verdict."""
    return (
        f"silent for {evidence.level:.1f} usual intervals, no answer, "
        f"{len(evidence.votes)} of {evidence.other_observers} other controllers suspect it, "
        f"{evidence.workers_reporting_here} of {evidence.workers} workers ask elsewhere"
    )
