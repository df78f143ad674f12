"""What the committed rollout allows this controller, read from its watch cache."""

from __future__ import annotations

from cloverplank.basic_types import JobId, ModRevision
from cloverplank.feature_gates import COMPACT_RECORDS, NEWEST_VERSION, OLDEST_VERSION
from cloverplank.jobs.layout_kind import CompactLayoutUse, LayoutKind
from cloverplank.kvstore import keys
from cloverplank.kvstore.watch_cache import WatchCache
from cloverplank.records.rollout import FormatRecord, RolloutPhase, RolloutRecord, initial_rollout_record
from cloverplank.wire.kvstore import Compare

GATE_KEYS = (keys.ROLLOUT, keys.FORMAT)  # the keys that decide which shapes may be written


def compact_use(current: RolloutRecord) -> CompactLayoutUse:
    """Return what a rollout's state allows for the compact shape."""
    gate = COMPACT_RECORDS.version
    if current.version < gate:
        return CompactLayoutUse.NEVER
    if current.version == gate and current.phase is RolloutPhase.RETREATING:
        return CompactLayoutUse.LEAVING
    return CompactLayoutUse.ALLOWED


def incompatibility(current: RolloutRecord) -> str | None:
    """Return why this program must not serve at the cluster version, or None where it may."""
    # In a retreat, or on the way to a version, records of both versions are stored.
    if not OLDEST_VERSION <= current.version <= NEWEST_VERSION:
        return f"the cluster version is {current.version}, this program reads {OLDEST_VERSION} to {NEWEST_VERSION}"
    return None


class CommittedRollout:
    """The gate of every write in a shape that not all versions read."""

    def __init__(self, watch_cache: WatchCache) -> None:
        self._watch_cache = watch_cache

    def announced(self) -> int:
        """Return the version of the format key, 0 without one."""
        stored = self._watch_cache.get(keys.FORMAT, FormatRecord)
        return 0 if stored is None else stored.record.version

    def stored(self) -> RolloutRecord | None:
        """Return the committed record, or None where no rollout was ever begun or the record can't be read."""
        stored = self._watch_cache.get(keys.ROLLOUT, RolloutRecord)
        return None if stored is None else stored.record

    def current(self) -> RolloutRecord:
        """Return the committed record, or what holds without one."""
        return self.stored() or initial_rollout_record(self.announced())

    def unreadable_keys(self) -> list[str]:
        """Return the keys that decide about shapes and can't be read."""
        return [key for key in GATE_KEYS if key in self._watch_cache.unreadable]

    def compact_use(self) -> CompactLayoutUse:
        """Return what may be written in the compact shape now; nothing becomes compact where keys can't be read."""
        return CompactLayoutUse.LEAVING if self.unreadable_keys() else compact_use(self.current())

    def compact_allowed(self) -> bool:
        """Return whether records may become compact."""
        return self.compact_use() is CompactLayoutUse.ALLOWED

    def may_stay_compact(self, job: JobId) -> bool:
        """Return whether the record is stored compact and may stay so if it does not fit in the plain shape."""
        return job in self._watch_cache.compact_jobs and self.compact_use() is CompactLayoutUse.LEAVING

    def conditions(self, shape: LayoutKind) -> list[Compare]:
        """Return what a write of the shape is conditional on: the gate's keys as the watch cache has them."""
        if shape is LayoutKind.PLAIN:
            return []
        return [Compare(key, self._watch_cache.stored_mod_revision(key)) for key in GATE_KEYS]

    def incompatibility(self) -> str | None:
        """Return why this program must not serve any more, by what the watch cache shows."""
        return incompatibility(self.current())

    def mod_revision(self) -> ModRevision:
        """Return the mod revision of the rollout's key, 0 without one."""
        return self._watch_cache.stored_mod_revision(keys.ROLLOUT)
