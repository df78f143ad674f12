"""Checks the log of commits that the simulated key-value store keeps."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from cloverplank.jobs.layout import CompactRecord, decode_stored, record_of
from cloverplank.jobs.ranges import pairs
from cloverplank.jobs.records import JobRecord


@dataclass
class Placement:
    """The machine on which a task was placed, and the number of the attempt."""

    machine: str
    attempt: int


@dataclass
class History:
    """Follows commits in their order; `violations` has a message for each broken invariant."""

    violations: list[str] = field(default_factory=list)
    _placements: dict[str, Placement] = field(default_factory=dict)
    _last_attempt: dict[str, int] = field(default_factory=dict)
    _ended: set[str] = field(default_factory=set)
    _old_members: set[str] = field(default_factory=set)
    _version: int = 0

    def check(self, log: list[dict]) -> list[str]:
        """Check a whole log; return the violations."""
        for event in log:
            if "put" in event:
                self._check_put(event["put"], event["value"])
            elif event["delete"].startswith("cp/node/"):
                self._old_members.discard(event["delete"])
        return self.violations

    def _check_put(self, key: str, value: dict) -> None:
        if key.startswith("cp/job/"):
            stored = decode_stored(msgspec.msgpack.encode(value))
            if isinstance(stored, CompactRecord) and self._old_members:
                self.violations.append(
                    f"{key}: stored as a compact record while {sorted(self._old_members)} run an old program"
                )
            self._check_job(key, record_of(stored))
        elif key.startswith("cp/fin/"):
            job = key.removeprefix("cp/fin/")
            if job in self._ended:
                self.violations.append(f"{job}: a second final record")
            self._ended.add(job)
        elif key.startswith("cp/node/") and "format" not in value:
            self._old_members.add(key)
            if self._version:
                self.violations.append(f"{key}: joined with an old program at cluster version {self._version}")
        elif key.startswith("cp/node/"):
            self._old_members.discard(key)
        elif key == "cp/rollout":
            if abs(value["version"] - self._version) > 1:
                self.violations.append(f"cluster version changed from {self._version} to {value['version']}")
            self._version = value["version"]

    def _check_job(self, key: str, record: JobRecord) -> None:
        job = key.removeprefix("cp/job/")
        if job in self._ended:
            self.violations.append(f"{job}: a job record after its final record")
        for run in record.runs:
            for first, last in pairs(run.tasks):
                for number in range(first, last + 1):
                    self._check_task(f"{job}/{number}", Placement(run.machine, run.attempt))

    def _check_task(self, task: str, placement: Placement) -> None:
        before = self._placements.get(task)
        if before == placement:
            return
        if placement.attempt <= self._last_attempt.get(task, 0):
            self.violations.append(
                f"{task}: attempt {placement.attempt} on {placement.machine} does not exceed the previous one"
            )
        self._last_attempt[task] = placement.attempt
        self._placements[task] = placement
