"""The free capacity that each job may use in one scheduling cycle, with and without the headroom."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from cloverplank.basic_types import Zone
from cloverplank.jobs.records import Placement
from cloverplank.scheduling.capacity import CapacityIndex
from cloverplank.scheduling.committed_headroom import CommittedHeadroom
from cloverplank.wire.users import JobSpec


class CycleCapacity:
    """Free capacity during one scheduling cycle; jobs are to be passed in scheduling order.

    The leader and the shard owners decide by the same rules, so that an owner places what the leader has counted
    capacity for.
    """

    def __init__(self, total: CapacityIndex, headroom: CommittedHeadroom, zones: Collection[Zone]) -> None:
        self.total = total
        self._headroom = headroom
        self._zones = zones
        # The total less the headroom, once a job needs it; without such a job, the machines are indexed only once.
        self._unreserved: CapacityIndex | None = None

    def leaves_headroom_free(self, spec: JobSpec) -> bool:
        """Return whether there is headroom that the job may not use."""
        return bool(self._headroom.placeholders) and not self._headroom.may_use(spec)

    def usable_by(self, spec: JobSpec) -> CapacityIndex:
        """Return the index from which a job's capacity is to be allocated; `record` keeps the other one in step."""
        if not self.leaves_headroom_free(spec):
            return self.total
        if self._unreserved is None:
            self._unreserved = self.total.copy()
            self._headroom.reserve(self._unreserved, self._zones)
        return self._unreserved

    def record(self, spec: JobSpec, placements: Iterable[Placement]) -> None:
        """Allocate the placements of a job, which are allocated in the index that it may use, in the other one, too."""
        other = self.total if self.leaves_headroom_free(spec) else self._unreserved
        if other is not None:
            for placement in placements:
                other.allocate(placement.machine, spec, placement.count)
