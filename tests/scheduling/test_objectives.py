"""Urgency of jobs according to their service-level objectives."""

from __future__ import annotations

import pytest

from cloverplank.basic_types import WallTimeMs
from cloverplank.jobs.records import JobRecord
from cloverplank.scheduling.objectives import ServiceLevelObjectives
from tests.jobs.test_records import spec


@pytest.mark.parametrize(
    ("now_ms", "urgent"),
    [pytest.param(5_000, False, id="most of its time left"), pytest.param(60_000, True, id="patience used up")],
)
def test_job_is_urgent_once_its_patience_is_used_up(now_ms: int, urgent: bool) -> None:
    objectives = ServiceLevelObjectives({"train": [100.0]}, 0.4)
    record = JobRecord(spec(loaners=True, rank="standard", guess_s=10.0, due_s=None), WallTimeMs(0))
    assert objectives.urgent(record, WallTimeMs(now_ms)) is urgent
