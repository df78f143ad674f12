"""Prevents a process that can't read the committed version from joining the cluster."""

from __future__ import annotations

import asyncio
import logging
from typing import TypeVar

from cloverplank.basic_types import ModRevision
from cloverplank.kvstore import keys
from cloverplank.kvstore.client import StoreClient
from cloverplank.kvstore.controller_lease import Admission
from cloverplank.records.rollout import FormatRecord, RolloutRecord, initial_rollout_record
from cloverplank.rollout.committed import CommittedRollout, incompatibility
from cloverplank.wire.codec import MessageDecodeError, decode
from cloverplank.wire.kvstore import Compare, KeyValue

log = logging.getLogger(__name__)
T = TypeVar("T")


class CommittedVersionFence:
    """Checks the committed version in the store before the process joins, and in the watch cache afterwards."""

    def __init__(self, client: StoreClient, committed: CommittedRollout) -> None:
        self._client = client
        self._committed = committed
        self._refusal: str | None = None

    async def admission(self) -> Admission:
        """Read the committed version from the store and decide whether this process may join.

        Raises StoreError if the store can't be read.
        """
        rollout, announced = await asyncio.gather(self._client.get(keys.ROLLOUT), self._client.get(keys.FORMAT))
        conditions = [_condition(keys.ROLLOUT, rollout), _condition(keys.FORMAT, announced)]
        try:
            refusal = incompatibility(_current_record(rollout, announced))
        except MessageDecodeError as err:
            refusal = str(err)
        return Admission(refusal, conditions)

    def refusal(self) -> str | None:
        """Return the reason why this process may not serve, or None if it may, as of the last check."""
        return self._refusal

    def check_committed(self) -> str | None:
        """Check the version in the watch cache after joining; return the reason for refusal, or None."""
        self.refuse(self._committed.incompatibility())
        return self._refusal

    def refuse(self, refusal: str | None) -> None:
        """Set the reason why this process may not join, or None if it may; log the reason if it is a new one."""
        if refusal is not None and refusal != self._refusal:
            log.error("not joining: %s", refusal)
        self._refusal = refusal


def _condition(key: str, key_value: KeyValue | None) -> Compare:
    return Compare(key, ModRevision(0) if key_value is None else key_value.mod_revision)


def _current_record(rollout: KeyValue | None, announced: KeyValue | None) -> RolloutRecord:
    version = 0 if announced is None else _decode_value(announced, FormatRecord).version
    return initial_rollout_record(version) if rollout is None else _decode_value(rollout, RolloutRecord)


def _decode_value(key_value: KeyValue, record_type: type[T]) -> T:
    try:
        return decode(bytes(key_value.value), record_type)
    except MessageDecodeError as err:
        raise MessageDecodeError(f"{key_value.key} can't be read: {err}") from err
