"""Commits the headroom that the leader estimates, so that all shard owners keep the same."""

from __future__ import annotations

import logging

import msgspec

from cloverplank.autoscaling.headroom_reader import HeadroomReader
from cloverplank.basic_types import Clock
from cloverplank.kvstore import keys
from cloverplank.kvstore.controller_lease import ControllerLease
from cloverplank.kvstore.watch_cache import WatchCache
from cloverplank.leader.headroom_exemptions import HeadroomExemptions
from cloverplank.leader.transactions import LeaderTransactions
from cloverplank.records.headroom import HeadroomRecord
from cloverplank.scheduling.committed_headroom import headroom_record
from cloverplank.scheduling.headroom import HeadroomEstimator
from cloverplank.wire.codec import json_size
from cloverplank.wire.kvstore import Put

log = logging.getLogger(__name__)

MAX_VALUE_FRACTION = 0.9  # of the size limit of a value that the record may take


class HeadroomPublisher:
    """Commits the headroom while this controller leads, whenever its estimate has changed.

    `value_bytes`: the size limit of a stored value.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        controller_lease: ControllerLease,
        watch_cache: WatchCache,
        transactions: LeaderTransactions,
        estimator: HeadroomEstimator,
        reader: HeadroomReader,
        exemptions: HeadroomExemptions,
        value_bytes: int,
    ) -> None:
        self._clock = clock
        self._controller_lease = controller_lease
        self._watch_cache = watch_cache
        self._transactions = transactions
        self._estimator = estimator
        self._reader = reader
        self._exemptions = exemptions
        self._max_bytes = int(value_bytes * MAX_VALUE_FRACTION)

    async def publish(self) -> None:
        """Commit the headroom if it differs from the committed one."""
        if self._controller_lease.leadership_revision() is None or self._reader.is_led_by_older_build():
            return
        versioned = self._watch_cache.get(keys.HEADROOM, HeadroomRecord)
        committed = HeadroomRecord(sorted(self._estimator.classes)) if versioned is None else versioned.record
        record = self._next_record(committed)
        if record == committed or not await self._transactions.commit([Put(keys.HEADROOM, record)]):
            return
        log.debug("headroom: committed %d tasks", sum(reserve.tasks for reserve in record.reserves))
        newly_exempt = set(record.exempt_jobs) - set(committed.exempt_jobs)
        if newly_exempt:
            log.info(
                "headroom: no machines can be provisioned for %s, which may use it", " ".join(sorted(newly_exempt))
            )

    def _next_record(self, committed: HeadroomRecord) -> HeadroomRecord:
        """Return the record to commit, without the reserves that would exceed the size limit."""
        placeholders = (job.record.spec for job in self._estimator.queued_jobs(self._clock.wall_ms()))
        exempt_jobs = self._exemptions.select(committed.exempt_jobs)
        record = headroom_record(self._estimator.classes, placeholders, exempt_jobs)
        while record.reserves and json_size(record) > self._max_bytes:
            record = msgspec.structs.replace(record, reserves=record.reserves[:-1])
        return record
