"""The committed state of the rollout, as in the watch cache, and what it allows this controller to write."""

from __future__ import annotations

from cloverplank.basic_types import JobId, ModRevision
from cloverplank.feature_gates import COMPACT_RECORDS, NEWEST_VERSION, OLDEST_VERSION
from cloverplank.jobs.layout_kind import CompactLayoutUse, LayoutKind
from cloverplank.kvstore import keys
from cloverplank.kvstore.watch_cache import WatchCache
from cloverplank.records.rollout import FormatRecord, RolloutPhase, RolloutRecord, initial_rollout_record
from cloverplank.wire.kvstore import Compare

GATE_KEYS = (keys.ROLLOUT, keys.FORMAT)  # the keys that determine which record shapes may be written


def compact_use(current: RolloutRecord) -> CompactLayoutUse:
    """Return how the compact shape may be used in the given state of the rollout."""
    required_version = COMPACT_RECORDS.version
    if current.version < required_version:
        return CompactLayoutUse.NEVER
    if current.version == required_version and current.phase is RolloutPhase.RETREATING:
        return CompactLayoutUse.LEAVING
    return CompactLayoutUse.ALLOWED


def incompatibility(current: RolloutRecord) -> str | None:
    """Return the reason why this program can't serve at the cluster version, or None if it can."""
    # During an upgrade or a retreat, records of both the current and the target version are stored.
    if not OLDEST_VERSION <= current.version <= NEWEST_VERSION:
        return f"the cluster version is {current.version}, this program reads {OLDEST_VERSION} to {NEWEST_VERSION}"
    return None


class CommittedRollout:
    """Gates writes in record shapes that some versions can't read, by the state of the rollout in the watch cache."""

    def __init__(self, watch_cache: WatchCache) -> None:
        self._watch_cache = watch_cache

    def announced_version(self) -> int:
        """Return the version in the format key, or 0 if there is no such key."""
        stored = self._watch_cache.get(keys.FORMAT, FormatRecord)
        return 0 if stored is None else stored.record.version

    def stored_record(self) -> RolloutRecord | None:
        """Return the committed record, or None if no rollout was ever started or the record can't be read."""
        stored = self._watch_cache.get(keys.ROLLOUT, RolloutRecord)
        return None if stored is None else stored.record

    def current(self) -> RolloutRecord:
        """Return the committed record, or the initial record if there is none."""
        return self.stored_record() or initial_rollout_record(self.announced_version())

    def unreadable_keys(self) -> list[str]:
        """Return those of the GATE_KEYS whose values can't be read."""
        return [key for key in GATE_KEYS if key in self._watch_cache.unreadable]

    def compact_use(self) -> CompactLayoutUse:
        """Return how the compact shape may be used now; no record becomes compact while a gate key can't be read."""
        return CompactLayoutUse.LEAVING if self.unreadable_keys() else compact_use(self.current())

    def compact_allowed(self) -> bool:
        """Return whether records may be converted to the compact shape."""
        return self.compact_use() is CompactLayoutUse.ALLOWED

    def may_stay_compact(self, job: JobId) -> bool:
        """Return whether the job's record is stored compact and may stay compact if its plain form is too large."""
        return job in self._watch_cache.compact_jobs and self.compact_use() is CompactLayoutUse.LEAVING

    def write_conditions(self, layout_kind: LayoutKind) -> list[Compare]:
        """Return the compares that guard a write in the layout.

        A write in a gated layout requires the gate keys to be unchanged since the watch cache read them.
        """
        if layout_kind is LayoutKind.PLAIN:
            return []
        return [Compare(key, self._watch_cache.stored_mod_revision(key)) for key in GATE_KEYS]

    def incompatibility(self) -> str | None:
        """Return the reason why this program can't serve at the version in the watch cache, or None if it can."""
        return incompatibility(self.current())

    def mod_revision(self) -> ModRevision:
        """Return the mod revision of the rollout key, or 0 if there is no such key."""
        return self._watch_cache.stored_mod_revision(keys.ROLLOUT)
