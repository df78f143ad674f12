"""Transactions that only the leader may commit."""

from __future__ import annotations

from collections.abc import Sequence

from cloverplank.kvstore import keys
from cloverplank.kvstore.controller_lease import ControllerLease
from cloverplank.kvstore.errors import StoreError
from cloverplank.kvstore.transaction_priority import TransactionPriority
from cloverplank.kvstore.transaction_queue import TransactionQueue
from cloverplank.kvstore.watch_cache import WatchCache
from cloverplank.wire.kvstore import Compare, Delete, Put, Transaction


class LeaderTransactions:
    """Commits changes on condition that this controller still leads.

    `max_changes`: how many changes one transaction may have.
    """

    def __init__(
        self, controller_lease: ControllerLease, watch_cache: WatchCache, queue: TransactionQueue, *, max_changes: int
    ) -> None:
        self._controller_lease = controller_lease
        self._watch_cache = watch_cache
        self._queue = queue
        self._max_changes = max(1, max_changes)

    async def commit_all(self, changes: Sequence[Put | Delete]) -> bool:
        """Commit the changes in as many transactions as it takes; return whether all were committed."""
        batch_size = self._max_changes
        for start in range(0, len(changes), batch_size):
            if not await self.commit(changes[start : start + batch_size]):
                return False
        return True

    async def commit(self, changes: Sequence[Put | Delete]) -> bool:
        """Commit the changes in one transaction; return whether it was committed.

        Each key is compared with its cached mod revision: a copy of the transaction that the store executes late, after
        newer changes of the same leader, must not restore an old provisioning record or a terminated machine.
        """
        leadership_revision = self._controller_lease.leadership_revision()
        if leadership_revision is None:
            return False
        changed_keys = dict.fromkeys(change.key for change in changes)
        compares = [Compare(key, self._watch_cache.mod_revision(key)) for key in changed_keys]
        transaction = Transaction([Compare(keys.LEADER, leadership_revision), *compares], list(changes))
        try:
            response = await self._queue.commit(transaction, TransactionPriority.PLACE)
        except StoreError:
            return False
        return not response.conflicts
