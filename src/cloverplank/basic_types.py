"""Types of identifiers, revisions and times used by all packages, and the clocks of a process."""

from __future__ import annotations

import time
from collections.abc import Callable
from functools import lru_cache
from typing import NamedTuple, NewType

JobId = NewType("JobId", str)
MachineId = NewType("MachineId", str)
NodeId = NewType("NodeId", str)  # the name of a controller
Zone = NewType("Zone", str)

ModRevision = NewType("ModRevision", int)  # the revision of the last change of one key; 0 if the key does not exist
Revision = NewType("Revision", int)  # the revision of the whole key-value store
FencingToken = NewType("FencingToken", int)  # a revision of the store at which the sender owned the shard
Attempt = NewType("Attempt", int)  # the number of a placement of a job, increasing with each placement
LeaseId = NewType("LeaseId", int)

MonotonicTime = NewType("MonotonicTime", float)  # seconds on the local monotonic clock
WallTimeMs = NewType("WallTimeMs", int)  # milliseconds since the Unix epoch

MS_PER_SECOND = 1000
NEVER = MonotonicTime(-1e9)  # time of an event that has not happened yet: before any reading of the monotonic clock
MAX_CLOCK_DRIFT = 0.0005  # upper bound of the relative rate difference between the monotonic clocks of two machines
MAX_TASK_INDEX_DIGITS = 9
MAX_CACHED_TASK_NAMES = 80_000  # successive heartbeats repeat task names: 4,000 machines with 20 tasks each


class TaskRef(NamedTuple):
    """Identifies one task of a job in one attempt."""

    job: JobId
    index: int  # type: ignore[assignment]  # shadows tuple.index
    attempt: Attempt

    @property
    def name(self) -> str:
        """The task's name in the protocol with workers."""
        return f"{self.job}/{self.index}"


@lru_cache(maxsize=MAX_CACHED_TASK_NAMES)
def parse_task_name(name: str, attempt: int) -> TaskRef | None:
    """Parse a task name sent by a worker; return None if it is malformed."""
    job, slash, index = name.rpartition("/")
    if not slash or not index.isdecimal() or len(index) > MAX_TASK_INDEX_DIGITS:
        return None
    return TaskRef(JobId(job), int(index), Attempt(attempt))


class Clock:
    """The monotonic and the wall clock of a process; tests inject their own.

    Both functions passed in return seconds.
    """

    def __init__(
        self,
        monotonic: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._monotonic = monotonic
        self._wall = wall

    def monotonic(self) -> MonotonicTime:
        """Return the reading of the monotonic clock in seconds."""
        return MonotonicTime(self._monotonic())

    def wall_ms(self) -> WallTimeMs:
        """Return the wall-clock time in milliseconds since the Unix epoch."""
        return WallTimeMs(int(self._wall() * MS_PER_SECOND))
