"""Log lines about attempts that workers show and no record places there."""

from __future__ import annotations

import logging

import pytest

from cloverplank.basic_types import Clock, FencingToken, TaskRef
from cloverplank.shard.command_history import MAX_ATTEMPTS, MAX_LINES_PER_PERIOD, PERIOD_S, CommandHistory
from cloverplank.shard.machine import Machine
from cloverplank.wire.workers import Command, TaskStatus


def ref(index: int) -> TaskRef:
    return TaskRef("run-1", index, 2)  # type: ignore[arg-type]


def test_unplaced_attempt_is_logged_once_with_the_age_of_its_commands(
    machine: Machine, caplog: pytest.LogCaptureFixture
) -> None:
    now = [100.0]
    history = CommandHistory(Clock(lambda: now[0]))
    history.record(machine, FencingToken(4), [Command("start", "run-1/0", 2)])
    now[0] += 3.8
    history.record(machine, FencingToken(9), [Command("reap", "run-1/0", 2), Command("stop", "run-1/5", 2, 0.0)])
    now[0] += 3.7
    with caplog.at_level(logging.INFO):
        for _ in range(2):
            history.report_unplaced(machine, ref(0), TaskStatus("run-1/0", 2, "running"))
    assert history.unplaced == 1
    assert len(caplog.messages) == 1
    assert "start under token 4 7.5 s ago, acknowledged under token 9 3.7 s ago" in caplog.text


def test_lines_and_attempts_are_bounded(machine: Machine, caplog: pytest.LogCaptureFixture) -> None:
    now = [100.0]
    history = CommandHistory(Clock(lambda: now[0]))
    with caplog.at_level(logging.INFO):
        for index in range(MAX_ATTEMPTS + 1):
            history.report_unplaced(machine, ref(index), TaskStatus(f"run-1/{index}", 2, "running"))
        assert len(caplog.messages) == MAX_LINES_PER_PERIOD
        now[0] += PERIOD_S
        history.report_unplaced(machine, ref(0), TaskStatus("run-1/0", 2, "running"))
    assert len(caplog.messages) == MAX_LINES_PER_PERIOD + 1
    assert len(history._attempts) == MAX_ATTEMPTS
