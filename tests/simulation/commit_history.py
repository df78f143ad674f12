"""The history of commits, and checks of the placement order while a zone is lost or recovering."""

from __future__ import annotations

from typing import Any, NamedTuple

from cloverplank.kvstore import keys
from tests.simulation.world import WALL_CLOCK_OFFSET_S, World

SEEN_S = 2.0  # the time within which every controller acts on a committed change
# Shorter than the hold of bulk work: a bulk job that has waited for less than this must still be held.
MIN_HOLD_S = 15.0


class CommittedPut(NamedTuple):
    """A committed put of a key; `at` is the simulated time in seconds."""

    at: float
    key: str
    value: Any


class CommitHistory:
    """Records all committed puts after its construction."""

    def __init__(self, world: World, bulk_class: str) -> None:
        self.world = world
        self.bulk_class = bulk_class
        self.commits: list[CommittedPut] = []
        real = world.state._commit

        def commit(asked: dict) -> tuple[int, Any]:
            response = real(asked)
            if response[0] == 200:
                for write in asked.get("writes") or []:
                    if "put" in write:
                        self.commits.append(CommittedPut(world.now(), write["put"], write["value"]))
            return response

        world.state._commit = commit

    def healths(self, zone: str) -> list[str]:
        """Return the health of a zone in each verdict, without consecutive duplicates."""
        found: list[str] = []
        for _, key, value in self.commits:
            if key == keys.zone(zone) and _is_verdict(value) and (not found or found[-1] != value["health"]):
                found.append(value["health"])
        return found

    def bulk_before_essential(self) -> list[str]:
        """Return the placements of bulk work that came too early.

        A placement is too early if the work should still have been held while a service replica or a task with a
        deadline had been waiting since the zone was lost.
        """
        check = _PlacementOrder(self.bulk_class)
        for put in self.commits:
            if put.key.startswith(keys.ZONES) and _is_verdict(put.value):
                check.apply_verdict(put)
            if put.key.startswith(keys.JOBS) and _is_plain_job(put.value):
                check.apply_job(put)
        return check.violations

    def first_replacements(self, zone: str) -> list[str]:
        """Return the classes of the jobs that lost tasks with the zone, in the order of their new placements.

        The order is that of the commits; their times are not compared.
        """
        lost = False
        in_zone: set[str] = set()
        evicted: dict[str, int] = {}
        order: list[str] = []
        for _, key, value in self.commits:
            if key == keys.zone(zone) and isinstance(value, dict):
                lost = lost or value.get("health") == "lost"
            if not key.startswith(keys.JOBS) or not _is_plain_job(value):
                continue
            runs = value.get("runs", [])
            newest = _newest_attempt(value)
            if any(run[1] == zone for run in runs):
                in_zone.add(key)
            elif lost and key in in_zone:
                in_zone.discard(key)
                evicted.setdefault(key, newest)
            if key in evicted and newest > evicted[key] and runs:
                evicted.pop(key)
                order.append(value["spec"]["lane"])
        return order


def _is_verdict(value: Any) -> bool:
    return isinstance(value, dict) and "health" in value


def _is_plain_job(value: Any) -> bool:
    """Return whether a job record is in the plain layout; a compact one has its spec as a list."""
    return not isinstance(value["spec"], list)


def _newest_attempt(record: dict) -> int:
    return max((run[2] for run in record.get("runs", [])), default=0)


def _count(bounds: list[int]) -> int:
    """Count the numbers in ranges; `bounds` alternates the first and the last number of each range."""
    return sum(last - first + 1 for first, last in zip(bounds[::2], bounds[1::2], strict=True))


def _has_missing_tasks(record: dict) -> bool:
    placed = sum(_count(run[3]) for run in record.get("runs", []))
    return placed + _count(record.get("done", [])) < record["spec"]["pieces"]


def _waiting_since(record: dict) -> float:
    """Return the simulated time in seconds at which a job was submitted or last lost tasks, whichever is later."""
    times_ms = [record["at"], *(entry[2] for entry in record.get("ev", []))]
    return max(time_ms / 1000 - WALL_CLOCK_OFFSET_S for time_ms in times_ms)


class _PlacementOrder:
    """Checks the placement order by the job records and zone verdicts, in commit order."""

    def __init__(self, bulk_class: str) -> None:
        self._bulk_class = bulk_class
        self._lost_at: float | None = None
        self._missing_since: dict[str, float] = {}
        self._attempts: dict[str, int] = {}
        self.violations: list[str] = []

    def apply_verdict(self, put: CommittedPut) -> None:
        if put.value["health"] == "lost":
            self._lost_at = put.at
        elif put.value["health"] != "recovering":
            self._lost_at = None

    def apply_job(self, put: CommittedPut) -> None:
        job, record, spec = put.key.removeprefix(keys.JOBS), put.value, put.value["spec"]
        newest = _newest_attempt(record)
        is_placed = newest > self._attempts.get(job, 0)
        self._attempts[job] = max(newest, self._attempts.get(job, 0))
        has_missing_tasks = _has_missing_tasks(record)
        if spec["shape"] == "service" or spec.get("due_s"):
            self._track_essential_job(job, put, has_missing_tasks)
        elif is_placed and spec["lane"] == self._bulk_class:
            self._check_bulk_placement(job, put)

    def _track_essential_job(self, job: str, put: CommittedPut, has_missing_tasks: bool) -> None:
        if has_missing_tasks and put.value.get("phase", "open") == "open":
            self._missing_since.setdefault(job, put.at)
        else:
            self._missing_since.pop(job, None)

    def _check_bulk_placement(self, job: str, put: CommittedPut) -> None:
        if self._lost_at is None:
            return
        waiting = [other for other, since in self._missing_since.items() if put.at - max(since, self._lost_at) > SEEN_S]
        if waiting and put.at - _waiting_since(put.value) < MIN_HOLD_S:
            self.violations.append(f"{put.at:.1f} {job} placed while {waiting} wait")
