"""Builds the transactions that commit the steps of a rollout, with the compares that guard them."""

from __future__ import annotations

from msgspec import Struct

from cloverplank.basic_types import ModRevision, NodeId
from cloverplank.kvstore import keys
from cloverplank.kvstore.watch_cache import WatchCache
from cloverplank.records.cluster import NO_LEASE, NodeRecord
from cloverplank.records.rollout import FormatRecord, RolloutPhase
from cloverplank.rollout.committed import CommittedRollout
from cloverplank.rollout.state_machine import Step
from cloverplank.wire.kvstore import MAX_COMPARES_PER_CHANGE, Compare, Delete, Put, Transaction

FIXED_COMPARES = 3  # compares of every step: leader, rollout and format keys
FIXED_CHANGES = 2  # writes of every step: rollout and format keys


class StepLimits(Struct, frozen=True):
    """The maximum numbers of controllers' keys that the transaction of one step can compare and can write."""

    max_compared_controllers: int
    max_barred_controllers: int


def step_limits(txn_ops: int) -> StepLimits:
    """Return the limits that remain in a transaction of `txn_ops` changes after the keys of the rollout itself."""
    return StepLimits(txn_ops * MAX_COMPARES_PER_CHANGE - FIXED_COMPARES, max(0, txn_ops - FIXED_CHANGES))


class StepTransactionBuilder:
    """Builds transactions whose compares use the watch cache on which the step was decided."""

    def __init__(self, watch_cache: WatchCache, committed: CommittedRollout, txn_ops: int) -> None:
        self._watch_cache = watch_cache
        self._committed = committed
        self._txn_ops = txn_ops

    def build_step(self, leadership_revision: ModRevision, step: Step) -> Transaction:
        """Return the transaction that commits a step; it fails if any key on which the decision was based has changed.

        `leadership_revision` is the mod revision of the leader's key.
        """
        conditions = self._fixed_conditions(leadership_revision)
        conditions += [Compare(keys.node(name), mod_revision) for name, mod_revision in step.unchanged.items()]
        conditions += [self._as_cached(keys.node(name)) for name in sorted(step.barred)]
        changes: list[Put | Delete] = [Put(keys.ROLLOUT, step.record)]
        if step.record.version != self._committed.announced_version():
            changes.append(_announcement(step.record.version))
        barring_record = NodeRecord("", NO_LEASE, step.record.version, step.record.version)
        changes += [Put(keys.node(name), barring_record) for name in sorted(step.barred)]
        if step.record.phase is RolloutPhase.FINALIZED and step.record.version < self._committed.current().version:
            readmitted_keys = self._barred_keys()[: self._txn_ops - len(changes)]
            conditions += [self._as_cached(key) for key in readmitted_keys]
            changes += [Delete(key) for key in readmitted_keys]
        return Transaction(conditions, changes)

    def build_announcement(
        self, leadership_revision: ModRevision, version: int, compatible: dict[NodeId, ModRevision]
    ) -> Transaction:
        """Return a transaction that announces a version without a rollout.

        The transaction is conditional on the keys of as many compatible controllers as fit into it.
        """
        unchanged = [Compare(keys.node(name), mod_revision) for name, mod_revision in compatible.items()]
        conditions = (
            self._fixed_conditions(leadership_revision)
            + unchanged[: step_limits(self._txn_ops).max_compared_controllers]
        )
        return Transaction(conditions, [_announcement(version)])

    def _fixed_conditions(self, leadership_revision: ModRevision) -> list[Compare]:
        return [
            Compare(keys.LEADER, leadership_revision),
            self._as_cached(keys.ROLLOUT),
            self._as_cached(keys.FORMAT),
        ]

    def _as_cached(self, key: str) -> Compare:
        return Compare(key, self._watch_cache.stored_mod_revision(key))

    def _barred_keys(self) -> list[str]:
        """Return the keys that bar excused controllers from joining.

        They are deleted once the version is lower again, since older programs may join then.
        """
        nodes = self._watch_cache.list_records(keys.NODES, NodeRecord)
        return [keys.node(name) for name, (record, _) in nodes.items() if not record.is_live()]


def _announcement(version: int) -> Put | Delete:
    return Put(keys.FORMAT, FormatRecord(version)) if version else Delete(keys.FORMAT)
