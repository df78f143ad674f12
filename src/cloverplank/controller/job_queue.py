"""The queue of open jobs in scheduling order."""

from __future__ import annotations

from cloverplank.basic_types import Clock
from cloverplank.jobs.records import Phase
from cloverplank.jobs.store import JobStore
from cloverplank.kvstore.watch_cache import WatchCache
from cloverplank.scheduling.objectives import ServiceLevelObjectives
from cloverplank.scheduling.queue import QueuedJob, scheduling_order
from cloverplank.settings.platform import Team


class JobQueue:
    """Lists the open jobs in scheduling order."""

    def __init__(
        self,
        teams: list[Team],
        *,
        clock: Clock,
        store: JobStore,
        watch_cache: WatchCache,
        objectives: ServiceLevelObjectives,
    ) -> None:
        self._clock = clock
        self._store = store
        self._priority_of = watch_cache.effective_priorities.of
        self._objectives = objectives
        self._guaranteed_quotas = {team.name: (team.cpus, team.gpus) for team in teams}
        self._max_cpus = {team.name: team.cpus_max for team in teams}

    def in_order(self) -> list[QueuedJob]:
        """Return the open jobs in scheduling order, without those that a peer reports as cancelled."""
        now = self._clock.wall_ms()
        store = self._store
        queued_jobs = scheduling_order(
            (
                view.staged
                for view in store.jobs.values()
                if view.staged.phase is Phase.OPEN and not store.cancelled_by_gossip(view.id)
            ),
            self._guaranteed_quotas,
            self._max_cpus,
            now,
            self._priority_of,
        )
        for queued_job in queued_jobs:
            queued_job.urgent = (
                queued_job.guaranteed or queued_job.overdue > 0 or self._objectives.urgent(queued_job.record, now)
            )
        return queued_jobs
