"""The capacity that becomes free as tasks of arrays leave their machines."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection

from cloverplank.basic_types import JobId, Zone
from cloverplank.jobs.store import CachedJob


class ArrayTurnover:
    """Counts, by zone, the cpus of array tasks that have left their machines, as the committed records show it.

    Tasks count whether they are done, failed, preempted, evicted or cancelled.
    """

    def __init__(self) -> None:
        self._placed_cpus: dict[JobId, dict[Zone, float]] = {}
        self._freed_cpus: defaultdict[Zone, float] = defaultdict(float)

    def observe(self, view: CachedJob | None, job: JobId) -> None:
        """Take in a change of a job; without a cached job, it was removed."""
        before = self._placed_cpus.pop(job, {})
        now: dict[Zone, float] = {}
        if view is not None and not view.record.spec.service:
            now = {Zone(zone): tasks * view.record.spec.cpus for zone, tasks in view.record.by_zone.items()}
        if now:
            self._placed_cpus[job] = now
        for zone, cpus in before.items():
            freed = cpus - now.get(zone, 0.0)
            if freed > 0:
                self._freed_cpus[zone] += freed

    def freed_cpus(self, zones: Collection[Zone]) -> float:
        """Return the cpus that have become free in the zones since this controller has started."""
        return sum(self._freed_cpus[zone] for zone in zones)
