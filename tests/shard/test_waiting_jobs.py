"""The log of jobs that wait for their placement: once, after a while, with the reason."""

from __future__ import annotations

import logging

import pytest

from cloverplank.basic_types import Clock, JobId, MonotonicTime, Zone
from cloverplank.shard import waiting_jobs
from cloverplank.shard.waiting_jobs import LOG_AFTER_S, MAX_GAP_S, WaitingJobs, WaitReason

JOB = JobId("run-000001")


class Waits:
    """Waiting jobs with a clock that the test advances."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.jobs = WaitingJobs(Zone("a"), Clock(lambda: self.now, lambda: self.now))

    def wait(self, seconds: float) -> list[float]:
        """Record a wait in a cycle each second, and return after how many seconds it was logged."""
        logged = []
        for second in range(1, int(seconds) + 1):
            self.now += 1.0
            if self.jobs.record(JOB):
                self.jobs.log_wait(JOB, 2, WaitReason.FAILED_MACHINES)
                logged.append(second)
        return logged


@pytest.fixture
def waits() -> Waits:
    return Waits()


def test_long_wait_is_logged_once_with_its_reason(waits: Waits, caplog: pytest.LogCaptureFixture) -> None:
    """Guards against jobs that wait beside a machine with capacity while no log line says why."""
    caplog.set_level(logging.INFO, "cloverplank.shard.waiting_jobs")
    assert len(waits.wait(4 * LOG_AFTER_S)) == 1
    [line] = caplog.messages
    assert line == f"job {JOB}: 2 tasks are not placed in zone a for 15 s: {WaitReason.FAILED_MACHINES}"


def test_wait_that_ends_is_not_logged_and_the_next_one_counts_from_its_own_start(waits: Waits) -> None:
    assert waits.wait(LOG_AFTER_S - 1) == []
    waits.jobs.remove(JOB)
    assert waits.wait(LOG_AFTER_S) == []
    waits.now += MAX_GAP_S + 1.0  # placed by now, since no cycle found it waiting
    assert waits.wait(LOG_AFTER_S) == []


def test_common_wait_for_capacity_is_not_logged_at_info(waits: Waits, caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO, "cloverplank.shard.waiting_jobs")
    waits.jobs.record(JOB)
    waits.jobs.log_wait(JOB, 2, WaitReason.NO_CAPACITY)
    assert caplog.messages == []


def test_jobs_beyond_the_limit_cost_no_search_each(waits: Waits, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against cycles whose cost grows with the square of a backlog of more jobs than are recorded."""
    monkeypatch.setattr(waiting_jobs, "MAX_WAITING_JOBS", 2)
    searches = 0
    remove_ended = WaitingJobs._remove_ended

    def counting(jobs: WaitingJobs, now: MonotonicTime) -> None:
        nonlocal searches
        searches += 1
        remove_ended(jobs, now)

    monkeypatch.setattr(WaitingJobs, "_remove_ended", counting)
    for number in range(100):
        waits.jobs.record(JobId(f"run-{number:06d}"))
    assert searches <= 1


def test_job_is_recorded_once_others_no_longer_wait(waits: Waits, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(waiting_jobs, "MAX_WAITING_JOBS", 2)
    for number in range(2, 4):
        waits.jobs.record(JobId(f"run-{number:06d}"))
    assert waits.wait(MAX_GAP_S + 2 * LOG_AFTER_S) != []
