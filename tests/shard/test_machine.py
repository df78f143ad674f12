"""State of one machine: outdated heartbeats, late start commands, lease expiry and cached images."""

from __future__ import annotations

import pytest

from cloverplank.basic_types import FencingToken, MonotonicTime, TaskRef
from cloverplank.shard.machine import Machine, UnresolvedStart
from cloverplank.wire.workers import Heartbeat, TaskStatus

TASK = TaskRef("run-1", 0, 1)  # type: ignore[arg-type]


def heartbeat(incarnation: int, sequence: int, *tasks: str, token: int = 5) -> Heartbeat:
    return Heartbeat("m-1", incarnation, sequence, token, tasks=[TaskStatus(t, 1, "running") for t in tasks])


def test_start_in_response_may_come_late_until_next_heartbeat(machine: Machine) -> None:
    """The response to a command request can overtake the response to a heartbeat; the next heartbeat can't."""
    machine.apply(heartbeat(1, 1), MonotonicTime(1.0), is_heartbeat=True)
    machine.started_in_response.add(TASK)
    machine.apply(heartbeat(1, 2), MonotonicTime(1.1), is_heartbeat=False)
    assert machine.may_start_late(TASK)
    machine.apply(heartbeat(1, 3), MonotonicTime(2.0), is_heartbeat=True)
    assert not machine.may_start_late(TASK)


def test_unresolved_start_may_come_late_until_token_changes(machine: Machine) -> None:
    machine.apply(heartbeat(1, 1), MonotonicTime(1.0), is_heartbeat=True)
    machine.unresolved[TASK] = UnresolvedStart(FencingToken(5), MonotonicTime(1.0))
    machine.apply(heartbeat(1, 2), MonotonicTime(2.0), is_heartbeat=True)
    assert machine.may_start_late(TASK)
    machine.apply(heartbeat(1, 3, token=6), MonotonicTime(3.0), is_heartbeat=True)
    assert not machine.may_start_late(TASK)


def test_unresolved_start_may_come_late_until_incarnation_changes(machine: Machine) -> None:
    machine.apply(heartbeat(1, 3, token=6), MonotonicTime(3.0), is_heartbeat=True)
    machine.unresolved[TASK] = UnresolvedStart(FencingToken(6), MonotonicTime(3.0))
    assert machine.may_start_late(TASK)
    machine.apply(heartbeat(2, 4, token=6), MonotonicTime(4.0), is_heartbeat=True)
    assert not machine.may_start_late(TASK)


@pytest.mark.parametrize(
    ("incarnation", "sequence", "is_newer"),
    [
        pytest.param(2, 7, False, id="same"),
        pytest.param(1, 99, False, id="former incarnation"),
        pytest.param(3, 1, True, id="new incarnation"),
    ],
)
def test_outdated_heartbeat_is_not_newer(machine: Machine, incarnation: int, sequence: int, is_newer: bool) -> None:
    machine.apply(heartbeat(2, 7), MonotonicTime(1.0), is_heartbeat=True)
    assert machine.is_newer(heartbeat(incarnation, sequence)) is is_newer


def test_duplicate_heartbeat_is_recognized(machine: Machine) -> None:
    """If duplicates were answered, the lease of a dead machine would be counted from the responses to them."""
    for sequence in (4, 5):
        assert not machine.is_duplicate(heartbeat(1, sequence))
        machine.last_heartbeat = (1, sequence)
    assert machine.is_duplicate(heartbeat(1, 5))
    assert machine.is_duplicate(heartbeat(1, 2))


def test_heartbeat_overtaken_by_command_response_is_no_duplicate(machine: Machine) -> None:
    """The heartbeat is older than the known state, but the worker waits for its response."""
    machine.last_heartbeat = (1, 5)
    machine.apply(heartbeat(1, 9), MonotonicTime(1.0), is_heartbeat=False)
    assert not machine.is_duplicate(heartbeat(1, 7))
    assert not machine.is_newer(heartbeat(1, 7))


def test_lease_of_unfenced_worker_expires_no_sooner_than_by_former_owner(machine: Machine) -> None:
    machine.last_response_at = MonotonicTime(100.0)
    assert machine.tasks_expire_at(12.0, MonotonicTime(140.0)) == 140.0
    # This owner's response, sent before the worker showed its token, may have renewed the lease, too.
    machine.last_response_at = MonotonicTime(139.0)
    assert 151.0 < machine.tasks_expire_at(12.0, MonotonicTime(140.0)) < 152.0


def test_lease_of_fenced_worker_is_counted_from_last_response(machine: Machine) -> None:
    machine.last_response_at = MonotonicTime(100.0)
    machine.fenced = True
    assert 112.0 < machine.tasks_expire_at(12.0, MonotonicTime(140.0)) < 113.0


def test_images_are_remembered_up_to_cache_size(machine: Machine) -> None:
    """Guards against remembering a dozen of 40 cached images, so that starts wait for an image pull elsewhere."""
    for number in range(40):
        machine.remember_image(f"img-{number}", 1.0, 60.0)
    assert len(machine.known_images) == 40
    machine.remember_image("img-3", 1.0, 60.0)
    machine.remember_image("large", 30.0, 60.0)
    assert "img-3" in machine.known_images
    assert "img-0" not in machine.known_images
    assert "large" in machine.known_images
    assert machine.known_images == frozenset(machine.images)
    assert sum(machine.images.values()) <= 54.0


def test_image_larger_than_cache_is_remembered_alone(machine: Machine) -> None:
    for number in range(40):
        machine.remember_image(f"img-{number}", 1.0, 60.0)
    machine.remember_image("huge", 90.0, 60.0)
    assert machine.known_images == {"huge"}
