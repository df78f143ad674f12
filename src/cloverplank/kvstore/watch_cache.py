"""In-memory cache of all keys under the root prefix, kept up to date by one watch."""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Callable
from typing import Any, Generic, NamedTuple, TypeVar

from msgspec import Struct

from cloverplank.basic_types import NEVER, Clock, JobId, ModRevision
from cloverplank.jobs.blocked import BlockedJobs
from cloverplank.jobs.dependencies import EffectivePriorities, UpstreamState, state_of_phase
from cloverplank.jobs.layout import CompactRecord, decode_stored, record_of
from cloverplank.jobs.records import BlockedJobRecord, FinalRecord, JobRecord, Phase
from cloverplank.jobs.store import JobStore
from cloverplank.kvstore import keys
from cloverplank.kvstore.client import StoreClient
from cloverplank.kvstore.errors import LogCompactedError, OutcomeUnknownError, StoreUnavailableError
from cloverplank.records.cluster import LeaderRecord, NodeRecord, ShardRecord
from cloverplank.records.headroom import HeadroomRecord
from cloverplank.records.machines import DrainRecord, ProvisioningRecord
from cloverplank.records.rollout import FormatRecord, RolloutRecord
from cloverplank.records.verdicts import VerdictRecord
from cloverplank.records.zones import ZoneRecord
from cloverplank.wire.cloud import MachineTypes
from cloverplank.wire.codec import MessageDecodeError, decode
from cloverplank.wire.kvstore import WatchEvent

log = logging.getLogger(__name__)

WATCH_TIMEOUT_S = 1.5
RETRY_INTERVAL_S = 0.2  # after a failed watch; grows by this much with each consecutive failure
MAX_RETRY_INTERVAL_S = 1.0
MAX_WATCH_FAILURES = 6  # consecutive failures, while other requests are answered, before everything is reloaded
MAX_FINALS = 20_000
MAX_DELETED = 5_000
DELETED_TO_FORGET = 2_500  # number of the oldest deletions dropped once there are more than MAX_DELETED

RecordType = TypeVar("RecordType")

_RECORD_TYPES: tuple[tuple[str, type], ...] = (
    (keys.LEADER, LeaderRecord),
    (keys.TYPES, MachineTypes),
    (keys.HEADROOM, HeadroomRecord),
    (keys.FORMAT, FormatRecord),
    (keys.ROLLOUT, RolloutRecord),
    (keys.NODES, NodeRecord),
    (keys.ZONES, ZoneRecord),
    (keys.VERDICTS, VerdictRecord),
    (keys.SHARDS, ShardRecord),
    (keys.PROVISIONING, ProvisioningRecord),
    (keys.DRAINS, DrainRecord),
)


class Versioned(NamedTuple, Generic[RecordType]):
    """A stored record with the mod revision of its key."""

    record: RecordType
    mod_revision: ModRevision


def _ignore_key_change(key: str) -> None:
    """Do nothing; used by caches without a listener."""


class WatchCache:
    """Decoded records of all keys under the root prefix, kept up to date by one watch.

    `changed` is called with each key that has changed, and with an empty string after everything was reloaded.
    `watch_interval_s` is the pause between two watches, which keeps them within their share of the request rate.
    `watch_timeout_s` is the longest time for which a watch waits for events.
    """

    def __init__(
        self,
        client: StoreClient,
        store: JobStore,
        clock: Clock,
        watch_interval_s: float,
        *,
        watch_timeout_s: float = WATCH_TIMEOUT_S,
        changed: Callable[[str], None] = _ignore_key_change,
    ) -> None:
        self._client = client
        self._clock = clock
        self._watch_timeout_s = watch_timeout_s
        self._changed = changed
        self.watch_interval_s = watch_interval_s
        self.store = store
        self.blocked = BlockedJobs()
        self.effective_priorities = EffectivePriorities(self.blocked)
        self.records: dict[str, Versioned[Any]] = {}
        self._values_by_type: dict[
            type, dict[str, Versioned[Any]]
        ] = {}  # the values of `records`, indexed for `list_records`
        self.unreadable: dict[
            str, ModRevision
        ] = {}  # mod revisions of keys other than jobs' whose values can't be decoded
        self.compact_jobs: set[JobId] = set()  # open jobs whose records are stored in the compact layout
        self.deleted: dict[str, ModRevision] = {}  # revisions of deletions, to ignore older events that arrive late
        self.finals: OrderedDict[JobId, Phase] = OrderedDict()
        self.revision = 0
        self.loaded = False
        self.complete_until = NEVER  # every change committed before this time is in the cache

    # -- queries

    def get(self, key: str, record_type: type[RecordType]) -> Versioned[RecordType] | None:
        """Return the record under a key, None if there is none of this type."""
        versioned = self.records.get(key)
        if versioned is None or not isinstance(versioned.record, record_type):
            return None
        return versioned

    def mod_revision(self, key: str) -> ModRevision:
        """Return the mod revision of a key, 0 if it does not exist or its value can't be decoded."""
        versioned = self.records.get(key)
        return ModRevision(0) if versioned is None else versioned.mod_revision

    def stored_mod_revision(self, key: str) -> ModRevision:
        """Return the mod revision of a key, even if its value can't be decoded; 0 if it does not exist."""
        return self.unreadable.get(key) or self.mod_revision(key)

    def list_records(self, prefix: str, record_type: type[RecordType]) -> dict[str, Versioned[RecordType]]:
        """Return all records of a type under a prefix, by the part of the key after the prefix."""
        return {
            key[len(prefix) :]: versioned
            for key, versioned in self._values_by_type.get(record_type, {}).items()
            if key.startswith(prefix)
        }

    def final(self, job: JobId) -> Phase | None:
        """Return the final phase of a job, None if it has not ended or ended too long ago to be in memory."""
        return self.finals.get(job)

    def knows(self, job: JobId) -> bool:
        """Return whether the job is in the cache; one that ended long ago may be missing although it was accepted."""
        return job in self.finals or job in self.store.jobs or job in self.blocked.jobs

    def upstream_state(self, job: JobId) -> UpstreamState:
        """Return the committed state of a job on which another one depends."""
        final = self.finals.get(job)
        if final is not None:
            return state_of_phase(final)
        open_job = self.store.get(job)
        if open_job is not None:
            return state_of_phase(open_job.record.phase)
        return UpstreamState.UNFINISHED if job in self.blocked.jobs else UpstreamState.NOT_IN_MEMORY

    # -- changes

    def record_final(self, job: JobId, phase: Phase) -> None:
        """Record the final phase of a job, dropping the oldest beyond MAX_FINALS."""
        self.finals[job] = phase
        self.finals.move_to_end(job)
        while len(self.finals) > MAX_FINALS:
            self.finals.popitem(last=False)
        self.blocked.upstream_changed(job)

    def put(self, key: str, value: bytes | Struct, mod_revision: ModRevision) -> None:
        """Add the value of a key, as stored or decoded, unless the cache already has a newer one."""
        try:
            if key.startswith(keys.JOBS):
                self._put_job(key, value, mod_revision)
            elif key.startswith(keys.BLOCKED):
                self._put_blocked_job(key, value, mod_revision)
            elif key.startswith(keys.FINALS):
                self.record_final(JobId(key[len(keys.FINALS) :]), _decoded(value, FinalRecord).phase)
            else:
                self._put_non_job(key, value, mod_revision)
        except MessageDecodeError as err:
            _log_unreadable(key, err)

    def _put_job(self, key: str, value: bytes | Struct, mod_revision: ModRevision) -> None:
        stored = value if isinstance(value, JobRecord | CompactRecord) else decode_stored(_stored_bytes(value))
        record = record_of(stored)
        if self.deleted.get(key, 0) >= mod_revision:
            return
        job = JobId(key[len(keys.JOBS) :])
        before = self.store.get(job)
        if before is None or before.mod_revision < mod_revision:
            self._record_layout(job, stored)
        self.store.apply(job, record, mod_revision)
        if record.phase is not Phase.OPEN:
            self.blocked.upstream_changed(job)

    def _record_layout(self, job: JobId, stored: JobRecord | CompactRecord) -> None:
        if isinstance(stored, CompactRecord):
            self.compact_jobs.add(job)
        else:
            self.compact_jobs.discard(job)

    def _put_blocked_job(self, key: str, value: bytes | Struct, mod_revision: ModRevision) -> None:
        record = _decoded(value, BlockedJobRecord)
        if self.deleted.get(key, 0) < mod_revision:
            self.blocked.apply(JobId(key[len(keys.BLOCKED) :]), record, mod_revision)

    def _put_non_job(self, key: str, value: bytes | Struct, mod_revision: ModRevision) -> None:
        if self.stored_mod_revision(key) >= mod_revision or self.deleted.get(key, 0) >= mod_revision:
            return
        for prefix, record_type in _RECORD_TYPES:
            if key == prefix or (prefix.endswith("/") and key.startswith(prefix)):
                self._put_record(key, record_type, value, mod_revision)
                return

    def _put_record(self, key: str, record_type: type, value: bytes | Struct, mod_revision: ModRevision) -> None:
        try:
            record: object = _decoded(value, record_type)
        except MessageDecodeError:
            # The previous record is no longer valid.
            self._discard_value(key)
            self.unreadable[key] = mod_revision
            self._changed(key)
            raise
        self.unreadable.pop(key, None)
        self.records[key] = self._values_by_type.setdefault(record_type, {})[key] = Versioned(record, mod_revision)
        self._changed(key)

    def _discard_value(self, key: str) -> None:
        versioned = self.records.pop(key, None)
        if versioned is not None:
            del self._values_by_type[type(versioned.record)][key]

    def delete(self, key: str, mod_revision: ModRevision) -> None:
        """Remove a key that was deleted at this revision, unless it has been written again since."""
        self._record_deletion(key, mod_revision)
        if key.startswith(keys.JOBS):
            self._delete_job(JobId(key[len(keys.JOBS) :]), mod_revision)
        elif key.startswith(keys.BLOCKED):
            self.blocked.remove(JobId(key[len(keys.BLOCKED) :]), mod_revision)
        elif 0 < self.stored_mod_revision(key) < mod_revision:
            self._discard_value(key)
            self.unreadable.pop(key, None)
            self._changed(key)

    def _record_deletion(self, key: str, mod_revision: ModRevision) -> None:
        self.deleted[key] = max(mod_revision, self.deleted.get(key, ModRevision(0)))
        if len(self.deleted) > MAX_DELETED:
            for oldest in sorted(self.deleted, key=lambda deleted: self.deleted[deleted])[:DELETED_TO_FORGET]:
                del self.deleted[oldest]

    def _delete_job(self, job: JobId, mod_revision: ModRevision) -> None:
        self.store.remove(job, mod_revision)
        if self.store.get(job) is None:
            self.compact_jobs.discard(job)

    # -- the watch

    def _apply(self, event: WatchEvent) -> None:
        if event.put is not None:
            self.put(event.put, bytes(event.value), ModRevision(event.mod_revision))
        elif event.delete is not None:
            self.delete(event.delete, ModRevision(event.mod_revision))

    async def _load(self) -> None:
        """Read everything except final records. Changes after the first page was read are delivered by the watch."""
        sent_at = self._clock.monotonic()
        first_revision: ModRevision | None = None  # compared with None, since an empty store has revision 0
        seen: set[str] = set()
        for prefix, after in ((keys.SHARDS, ""), (keys.ROOT, keys.FINALS + "~")):
            async for page in self._client.pages(prefix, after):
                if first_revision is None:
                    first_revision = ModRevision(page.revision)
                for key_value in page.items:
                    seen.add(key_value.key)
                    self.put(key_value.key, bytes(key_value.value), ModRevision(key_value.mod_revision))
        assert first_revision is not None  # every prefix returns at least one page
        job_keys = [*map(keys.job, self.store.jobs), *map(keys.blocked, self.blocked.jobs)]
        for key in [*self.records, *self.unreadable, *job_keys]:
            if key not in seen:
                self.delete(key, first_revision)
        self.revision = first_revision
        self.complete_until = sent_at
        self.loaded = True

    async def _watch(self) -> None:
        sent_at = self._clock.monotonic()
        changes = await self._client.watch(keys.ROOT, self.revision, self._watch_timeout_s)
        for event in changes.events:
            self._apply(event)
        self.revision = max(self.revision, changes.revision)
        self.complete_until = max(self.complete_until, sent_at)

    async def run(self) -> None:
        """Load the cache and watch for changes. Never returns."""
        failures = 0
        while True:
            try:
                if not self.loaded:
                    await self._load()
                    log.info("watch cache: loaded at revision %d, %d open jobs", self.revision, len(self.store.jobs))
                    self._changed("")
                await self._watch()
                failures = 0
                await asyncio.sleep(self.watch_interval_s)
            except LogCompactedError:
                log.info("watch cache: the change log after revision %d was compacted, reloading", self.revision)
                self.loaded = False
            except (StoreUnavailableError, OutcomeUnknownError) as err:
                failures += 1
                log.debug("watch cache: request failed (%d consecutive failures): %s", failures, err)
                if failures >= MAX_WATCH_FAILURES and not self._client.is_down():
                    # Only the watch fails: its response may be too large or can't be decoded, and would be
                    # requested again indefinitely.
                    log.info("watch cache: the watch fails, reloading: %d consecutive failures: %s", failures, err)
                    self.loaded, failures = False, 0
                await asyncio.sleep(min(MAX_RETRY_INTERVAL_S, RETRY_INTERVAL_S * failures))


def _log_unreadable(key: str, err: MessageDecodeError) -> None:
    log.error("store: %s can't be read: %s", key, err)


def _stored_bytes(value: bytes | Struct) -> bytes:
    if isinstance(value, Struct):
        raise MessageDecodeError(f"unexpected record type {type(value).__name__}")
    return value


def _decoded(value: bytes | Struct, record_type: type[RecordType]) -> RecordType:
    """Return the record, decoded from bytes if necessary. Raises MessageDecodeError."""
    return value if isinstance(value, record_type) else decode(_stored_bytes(value), record_type)
