"""Tokens of messages to a worker: raised above those of start commands before an exit is acknowledged."""

from __future__ import annotations

import pytest

from cloverplank.basic_types import Clock, FencingToken, Zone
from cloverplank.jobs.size_limits import RecordSizeLimits
from cloverplank.shard.machine import Machine
from cloverplank.shard.ownership import ShardOwnership
from cloverplank.shard.shard_types import ShardLimits
from cloverplank.shard.worker_tokens import WorkerTokens

ASSIGNED = FencingToken(40)


class Store:
    """The newest revision at which the store has shown the shard to be assigned to this owner."""

    def __init__(self) -> None:
        self.revision = ASSIGNED

    def newest_token(self, zone: Zone, token: FencingToken) -> FencingToken:
        return max(token, self.revision)


@pytest.fixture
def store() -> Store:
    return Store()


@pytest.fixture
def ownership() -> ShardOwnership:
    limits = ShardLimits(2.0, 8.0, 5.0, 8.0, 3.0, RecordSizeLimits(8192, 8192, lambda: False), 60.0, 600_000, 1.0)
    return ShardOwnership(Zone("a"), ASSIGNED, Clock(lambda: 0.0), limits)


@pytest.fixture
def tokens(ownership: ShardOwnership, store: Store) -> WorkerTokens:
    return WorkerTokens(ownership, store.newest_token)


def test_token_is_not_raised_for_a_worker_without_direct_starts(tokens: WorkerTokens, machine: Machine) -> None:
    assert tokens.raise_above_starts(machine)
    assert tokens.current(machine) == ASSIGNED


def test_acknowledgement_waits_until_a_token_above_the_start_is_known(
    tokens: WorkerTokens, machine: Machine, store: Store, ownership: ShardOwnership
) -> None:
    machine.last_start_token = ASSIGNED
    assert not tokens.raise_above_starts(machine)
    store.revision = FencingToken(41)
    assert tokens.raise_above_starts(machine)
    assert tokens.current(machine) == 41
    assert ownership.has_issued(41)
    assert not ownership.has_issued(42)
    assert not ownership.has_issued(ASSIGNED - 1)


def test_renewed_token_is_current_for_workers_whose_token_was_raised(
    tokens: WorkerTokens, machine: Machine, store: Store, ownership: ShardOwnership
) -> None:
    machine.last_start_token = ASSIGNED
    store.revision = FencingToken(45)
    tokens.raise_above_starts(machine)
    ownership.renew_token(FencingToken(50))
    assert tokens.current(machine) == 50
    assert tokens.raise_above_starts(machine)
    assert tokens.current(machine) == 50
