"""Size limits of stored job records, and how many more machines a job may use within them."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from msgspec import Struct

from cloverplank.basic_types import JobId
from cloverplank.jobs import layout
from cloverplank.jobs.layout import CompactRecord, StoredRecord
from cloverplank.jobs.layout_kind import LayoutKind
from cloverplank.jobs.records import JobRecord
from cloverplank.wire.codec import json_size

MAX_UNMEASURED_PLAIN_RUNS = 40  # so many runs fit in any plain record
PLAIN_RUN_BYTES = 64  # per run of a plain record, with the ranges of done tasks that the run leaves
COMPACT_RUN_BYTES = 11  # per run of a compact record: up to 8 for the run, 3 for its tasks once done
PLACEMENT_FRACTION = 0.85  # of the size limit; the rest is left for other changes of the record


def _never_stays_compact(job: JobId) -> bool:
    return False


class RecordSizeLimits(Struct, frozen=True):
    """The current size limit of stored values, and the lowest one that a coming change of the limits may set.

    `compact_allowed` returns whether records may become compact. `may_stay_compact` returns whether a record that is
    too large for the plain layout stays compact although `compact_allowed` returns False.
    """

    value_bytes: int
    lowest_value_bytes: int
    compact_allowed: Callable[[], bool]
    may_stay_compact: Callable[[JobId], bool] = _never_stays_compact

    def layout_kind(self, record: JobRecord) -> LayoutKind:
        """Return the kind of the layout that the record is to be stored in."""
        return layout.layout_kind_of(self.to_stored(record))

    def to_stored(self, record: JobRecord) -> StoredRecord:
        """Return the record in the layout that it is to be stored in."""
        allowed = self.compact_allowed() or self._stays_compact(record)
        stored = layout.to_stored(record, self.lowest_value_bytes, compact_allowed=allowed)
        if allowed and record.evictions and not self._fits(stored):
            # Eviction entries only determine how soon old copies of tasks are stopped; no guarantee depends on them.
            record = msgspec.structs.replace(record, evictions=[])
            return layout.to_stored(record, self.lowest_value_bytes, compact_allowed=allowed)
        return stored

    def _stays_compact(self, record: JobRecord) -> bool:
        return self.may_stay_compact(record.id) and json_size(record) > self.lowest_value_bytes

    def _fits(self, stored: StoredRecord) -> bool:
        return not isinstance(stored, CompactRecord) or json_size(stored) <= self.lowest_value_bytes

    def remaining_runs(self, record: JobRecord) -> int:
        """Return the number of further machines on which tasks of the job may be placed."""
        if self.compact_allowed():
            return self._remaining_compact_runs(record)
        if self._fits_unmeasured(record) and self.lowest_value_bytes == self.value_bytes:
            return MAX_UNMEASURED_PLAIN_RUNS
        return int((self.value_bytes * PLACEMENT_FRACTION - json_size(record)) / PLAIN_RUN_BYTES)

    def _fits_unmeasured(self, record: JobRecord) -> bool:
        return len(record.runs) + record.missing_count() <= MAX_UNMEASURED_PLAIN_RUNS

    def _remaining_compact_runs(self, record: JobRecord) -> int:
        available_bytes = self.lowest_value_bytes * PLACEMENT_FRACTION
        packed = layout.pack(record)
        if packed is None:
            return int((available_bytes - json_size(record)) / PLAIN_RUN_BYTES)
        return int((available_bytes - json_size(packed)) / COMPACT_RUN_BYTES)
