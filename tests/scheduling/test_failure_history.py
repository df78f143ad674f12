"""Attribution of task failures to jobs and machines, and the pauses after them."""

from __future__ import annotations

import pytest

from cloverplank.basic_types import Clock, JobId, MachineId
from cloverplank.scheduling import failure_history
from cloverplank.scheduling.failure_history import (
    FAILURE_TTL_S,
    FIRST_AVOIDANCE_S,
    MAX_BACKOFF_S,
    MIN_MACHINES_TO_BLAME_JOB,
    MIN_REPEATED_FAILURES,
    REPEATED_AVOIDANCE_S,
    FailureHistory,
)

JOB = JobId("run-000001")
MACHINES = [MachineId(f"m-{number}") for number in range(4)]
FAULTY_JOBS = 3
MAX_WAIT_BESIDE_CAPACITY_S = 90.0  # the protocol's bound


class ManualHistory(FailureHistory):
    """A history with a clock that the test advances."""

    def __init__(self) -> None:
        self.now = 1000.0
        super().__init__(Clock(lambda: self.now, lambda: self.now), FAULTY_JOBS)

    def seconds_until_usable(self, machine: MachineId) -> float:
        """Advance the clock until the job may start tasks on the machine; return the seconds that have passed."""
        began = self.now
        while self.is_backing_off(JOB) or machine in self.avoided_machines(JOB):
            self.now += 0.25
        return self.now - began


@pytest.fixture
def history() -> ManualHistory:
    return ManualHistory()


def test_machine_is_avoided_for_less_than_a_job_may_wait_beside_capacity(history: ManualHistory) -> None:
    """Guards against a job that waits forever beside the machine on which it failed."""
    for _ in range(20):
        history.record_failure(JOB, MACHINES[0])
        assert 0 < history.seconds_until_usable(MACHINES[0]) < MAX_WAIT_BESIDE_CAPACITY_S


def test_repeated_failures_on_one_machine_are_retried_less_often(history: ManualHistory) -> None:
    """Guards against a loop of attempts on the only machine: the backoff once counted machines, not failures."""
    pauses = []
    for _ in range(8):
        history.record_failure(JOB, MACHINES[0])
        pauses.append(history.seconds_until_usable(MACHINES[0]))
    assert pauses == sorted(pauses)
    assert pauses[0] == FIRST_AVOIDANCE_S
    assert pauses[-1] == REPEATED_AVOIDANCE_S


def test_tasks_that_fail_together_count_as_one_failure(history: ManualHistory) -> None:
    """Guards against the longest pause after a single failure of an array that has many tasks on one machine."""
    for _ in range(20):
        history.record_failure(JOB, MACHINES[0])
        history.now += 0.1
    assert history.seconds_until_usable(MACHINES[0]) < FIRST_AVOIDANCE_S


def test_job_that_fails_on_several_machines_may_use_any_with_growing_pauses(history: ManualHistory) -> None:
    pauses = []
    for attempt in range(10):
        history.record_failure(JOB, MACHINES[attempt % MIN_MACHINES_TO_BLAME_JOB])
        if attempt >= MIN_MACHINES_TO_BLAME_JOB - 1:
            assert not history.avoided_machines(JOB)
            assert not history.suspected_machines(JOB)
            pauses.append(history.seconds_until_usable(MACHINES[0]))
        else:
            history.now += FIRST_AVOIDANCE_S
    assert pauses == sorted(pauses)
    assert pauses[-1] == MAX_BACKOFF_S


def test_success_on_a_machine_ends_its_row_of_failures_but_not_the_backoff(history: ManualHistory) -> None:
    """Guards against a task that fails each time and is retried at once whenever another task of its job is done."""
    history.record_failure(JOB, MACHINES[0])
    history.record_success(JOB, MACHINES[0])
    assert history.is_backing_off(JOB)
    history.now += FIRST_AVOIDANCE_S
    history.record_failure(JOB, MACHINES[0])
    assert not history.unusable_machines(JOB)
    history.now += 0.6 * FIRST_AVOIDANCE_S
    assert MACHINES[0] in history.avoided_machines(JOB)


def test_machine_is_unusable_only_after_failures_in_succession(history: ManualHistory) -> None:
    history.record_failure(JOB, MACHINES[0])
    assert not history.unusable_machines(JOB)
    history.now += FIRST_AVOIDANCE_S
    history.record_failure(JOB, MACHINES[0])
    assert list(history.unusable_machines(JOB)) == [MACHINES[0]]
    history.now += FAILURE_TTL_S + 1
    history.record_failure(JOB, MACHINES[0])
    assert not history.unusable_machines(JOB)


def test_machine_on_which_several_jobs_fail_is_faulty_unless_they_fail_elsewhere_too(history: ManualHistory) -> None:
    jobs = [JobId(f"run-{number}") for number in range(FAULTY_JOBS)]
    for job in jobs:
        assert not history.is_faulty(MACHINES[0])
        history.record_failure(job, MACHINES[0])
    assert history.is_faulty(MACHINES[0])
    for machine in MACHINES:
        history.record_failure(jobs[0], machine)
    assert not history.is_faulty(MACHINES[0])


def test_jobs_that_failed_longest_ago_are_forgotten_first(
    history: ManualHistory, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a job that still fails and is forgotten since its first failure is the oldest."""
    monkeypatch.setattr(failure_history, "MAX_FAILING_JOBS", 2)
    for job in (JOB, JobId("run-2"), JOB, JobId("run-3")):
        history.record_failure(job, MACHINES[0])
        history.now += FIRST_AVOIDANCE_S
    assert len(history) == 2
    assert history.suspected_machines(JOB)
    assert not history.suspected_machines(JobId("run-2"))


def test_gossiped_failures_give_a_peer_the_same_memory(history: ManualHistory) -> None:
    """Guards against a new owner or leader that begins anew, with short pauses and other machines for the job."""
    for machine in MACHINES[:2]:
        for _ in range(MIN_REPEATED_FAILURES):
            history.record_failure(JOB, machine)
            history.seconds_until_usable(machine)
    history.record_failure(JOB, MACHINES[1])
    peer = ManualHistory()
    peer.now = history.now + 500.0  # the clocks of two controllers are unrelated
    for _ in range(3):  # gossip repeats
        for message in history.gossip({JOB}, set(MACHINES)):
            peer.apply_gossip(message)
    assert peer.unusable_machines(JOB) == history.unusable_machines(JOB) != []
    assert peer.seconds_until_usable(MACHINES[1]) == pytest.approx(history.seconds_until_usable(MACHINES[1]), abs=0.25)


def test_peer_attributes_failures_to_the_job_though_its_machines_are_gone(history: ManualHistory) -> None:
    """Guards against an owner that blames machines again for a job that failed on several, which were returned."""
    for machine in MACHINES[:MIN_MACHINES_TO_BLAME_JOB]:
        history.record_failure(JOB, machine)
    peer = ManualHistory()
    for message in history.gossip({JOB}, {MACHINES[0]}):
        peer.apply_gossip(message)
    assert not peer.avoided_machines(JOB)
    assert peer.is_backing_off(JOB)


def test_failures_of_ended_jobs_and_of_other_machines_are_not_gossiped(history: ManualHistory) -> None:
    history.record_failure(JOB, MACHINES[0])
    assert not list(history.gossip(set(), {MACHINES[0]}))
    assert not list(history.gossip({JOB}, {MACHINES[1]}))
