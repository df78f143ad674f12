"""The catalog of machine types offered by the cloud."""

from __future__ import annotations

import asyncio
import logging

from cloverplank.autoscaling.cloud import CloudClient, CloudUnavailableError
from cloverplank.kvstore import keys
from cloverplank.kvstore.controller_lease import ControllerLease
from cloverplank.kvstore.errors import QueueFullError, TransactionRejectedError
from cloverplank.kvstore.transaction_priority import TransactionPriority
from cloverplank.kvstore.transaction_queue import TransactionQueue
from cloverplank.kvstore.watch_cache import WatchCache
from cloverplank.wire.cloud import MachineType, MachineTypes
from cloverplank.wire.kvstore import Compare, Put, Transaction

log = logging.getLogger(__name__)

REFRESH_INTERVAL_S = 60.0
FOLLOWER_RETRY_S = 5.0  # a follower soon receives the copy that the leader has stored
FAILED_RETRY_S = 2.0
EMPTY_RETRY_S = 1.0  # short, since the controller is not ready without machine types


class MachineTypeCatalog:
    """Caches the machine types by name, from the cloud or from the copy that the leader stores."""

    def __init__(
        self,
        cloud: CloudClient,
        controller_lease: ControllerLease,
        watch_cache: WatchCache,
        queue: TransactionQueue,
    ) -> None:
        self._cloud = cloud
        self._controller_lease = controller_lease
        self._watch_cache = watch_cache
        self._queue = queue
        self._types: dict[str, MachineType] = {}

    def current(self) -> dict[str, MachineType]:
        """Return the machine types by name; empty until they are known."""
        return self._types

    def load_stored_copy(self) -> None:
        """Load the stored copy; called after the copy has changed."""
        stored = self._watch_cache.get(keys.TYPES, MachineTypes)
        if stored is not None:
            self._set_types(stored.record)

    async def run(self) -> None:
        """Refresh the catalog from the cloud until the task is cancelled.

        The leader refreshes regularly, other controllers only while their catalog is empty.
        """
        while True:
            pause_s = REFRESH_INTERVAL_S
            try:
                pause_s = await self._refresh()
            except (CloudUnavailableError, TransactionRejectedError, QueueFullError) as err:
                log.debug("machine types: %s", err)
                pause_s = FAILED_RETRY_S
            await asyncio.sleep(pause_s if self._types else min(pause_s, EMPTY_RETRY_S))

    async def _refresh(self) -> float:
        """Refresh the catalog if needed; return the seconds until the next refresh."""
        if self._types and self._controller_lease.leadership_revision() is None:
            return REFRESH_INTERVAL_S
        offered = await self._cloud.types()
        if not offered.types:
            return REFRESH_INTERVAL_S
        self._set_types(offered)
        if self._controller_lease.leadership_revision() is None:
            return FOLLOWER_RETRY_S
        await self._store_copy(offered)
        return REFRESH_INTERVAL_S

    async def _store_copy(self, offered: MachineTypes) -> None:
        """Store a copy for controllers that start while the cloud is unavailable."""
        unchanged = Compare(keys.TYPES, self._watch_cache.mod_revision(keys.TYPES))
        await self._queue.commit(Transaction([unchanged], [Put(keys.TYPES, offered)]), TransactionPriority.DONE)

    def _set_types(self, offered: MachineTypes) -> None:
        self._types = {machine_type.name: machine_type for machine_type in offered.types}
