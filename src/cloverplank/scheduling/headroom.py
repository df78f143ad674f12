"""Estimate of the headroom: capacity for job classes whose tasks should start immediately, by recent arrivals."""

from __future__ import annotations

import math
from collections import Counter, OrderedDict, deque

import msgspec
from msgspec import Struct, field

from cloverplank.basic_types import WallTimeMs
from cloverplank.jobs.records import JobRecord
from cloverplank.scheduling.queue import QueuedJob
from cloverplank.wire.users import JobSpec

MAX_ARRIVALS = 40  # per class
MAX_SEEN_IDS = 2000  # per class
MIN_QUIET_MS = 60_000
QUIET_GAPS = 4  # a class is quiet after so many times the mean gap between its arrivals
SIZE_FACTOR = 2  # headroom as a multiple of the mean job size
ARRAY_FRACTION = 0.6  # arrays get less headroom, since they can preempt lower ranks and end soon


class ArrivalHistory(Struct, eq=False):
    """The most recent jobs of a class."""

    seen: OrderedDict[str, None] = field(default_factory=OrderedDict)
    sizes: deque[int] = field(default_factory=lambda: deque(maxlen=MAX_ARRIVALS))
    times: deque[int] = field(default_factory=lambda: deque(maxlen=MAX_ARRIVALS))  # time of day, ms
    specs: deque[JobSpec] = field(default_factory=lambda: deque(maxlen=MAX_ARRIVALS))

    def is_quiet(self, now: WallTimeMs) -> bool:
        """Return whether no job has arrived for far longer than usual, so that none is expected soon."""
        mean_gap_ms = (self.times[-1] - self.times[0]) / max(1, len(self.times) - 1)
        return now - self.times[-1] > max(MIN_QUIET_MS, QUIET_GAPS * mean_gap_ms)


class HeadroomEstimator:
    """Estimates the headroom of the job classes that should start immediately according to the users' objectives.

    Each controller has its own history of arrivals, which begins with the open jobs when it starts. So what an estimate
    is used for must not need the same one on two controllers; what they keep free is the committed headroom.
    `classes`: these job classes. `factor` scales the headroom. `min_tasks` is the minimum for each class, in tasks,
    before scaling.
    """

    def __init__(self, classes: set[str], factor: float, min_tasks: float) -> None:
        self.classes = classes
        self._factor = factor
        self._min_tasks = min_tasks
        self._arrivals: dict[str, ArrivalHistory] = {}

    def serves(self, spec: JobSpec) -> bool:
        """Return whether headroom is kept for jobs of this class."""
        return spec.job_class in self.classes

    def observe(self, record: JobRecord) -> None:
        """Record the arrival of a job; further calls for the same job have no effect."""
        spec = record.spec
        if not self.serves(spec):
            return
        arrivals = self._arrivals.setdefault(spec.job_class, ArrivalHistory())
        if spec.id in arrivals.seen:
            return
        arrivals.seen[spec.id] = None
        if len(arrivals.seen) > MAX_SEEN_IDS:
            arrivals.seen.popitem(last=False)
        arrivals.sizes.append(spec.tasks)
        arrivals.times.append(record.runnable_at)
        arrivals.specs.append(spec)

    def queued_jobs(self, now: WallTimeMs) -> list[QueuedJob]:
        """Return placeholder jobs, which are as large as the capacity that should be free at any time."""
        result = []
        for job_class, arrivals in sorted(self._arrivals.items()):
            if not arrivals.is_quiet(now):
                result += self._placeholders(job_class, arrivals)
        return result

    def _placeholders(self, job_class: str, arrivals: ArrivalHistory) -> list[QueuedJob]:
        mean_size = sum(arrivals.sizes) / len(arrivals.sizes)
        factor = self._factor if arrivals.specs[-1].service else self._factor * ARRAY_FRACTION
        total = math.ceil(factor * max(self._min_tasks, SIZE_FACTOR * mean_size))
        result = []
        # By image, the most frequent first, since capacity on machines that have the image cached saves a pull.
        images = Counter(spec.image for spec in arrivals.specs).most_common(total)
        for number, (image, arrived) in enumerate(images):
            share = factor * SIZE_FACTOR * mean_size * arrived / len(arrivals.specs)
            tasks = min(total, max(1, round(share)))
            total -= tasks
            if tasks <= 0:
                break
            latest = next(spec for spec in reversed(arrivals.specs) if spec.image == image)
            spec = msgspec.structs.replace(
                latest, id=f"headroom-{job_class}-{number}", tasks=tasks, zone=None, types=None, one_zone=False
            )
            result.append(QueuedJob(JobRecord(spec, WallTimeMs(0)), guaranteed=False, headroom=True))
        return result
