"""The transaction that carries out a step of a rollout, with everything that it is conditional on."""

from __future__ import annotations

from msgspec import Struct

from cloverplank.basic_types import ModRevision, NodeId
from cloverplank.kvstore import keys
from cloverplank.kvstore.watch_cache import WatchCache
from cloverplank.records.cluster import NO_LEASE, NodeRecord
from cloverplank.records.rollout import FormatRecord, RolloutPhase
from cloverplank.rollout.committed import CommittedRollout
from cloverplank.rollout.steps import Step
from cloverplank.wire.kvstore import MAX_COMPARES_PER_CHANGE, Compare, Delete, Put, Transaction

FIXED_COMPARES = 3  # leader, rollout, format
FIXED_CHANGES = 2  # rollout, format


class StepLimits(Struct, frozen=True):
    """How many controllers' keys one step's transaction can compare, and how many it can write."""

    max_unchanged: int
    max_barred: int


def step_limits(txn_ops: int) -> StepLimits:
    """Return what a transaction of `txn_ops` changes leaves besides the keys of the rollout itself."""
    return StepLimits(txn_ops * MAX_COMPARES_PER_CHANGE - FIXED_COMPARES, max(0, txn_ops - FIXED_CHANGES))


class StepCommits:
    """Makes transactions from the watch cache that the step was decided on."""

    def __init__(self, watch_cache: WatchCache, committed: CommittedRollout, txn_ops: int) -> None:
        self._watch_cache = watch_cache
        self._committed = committed
        self._txn_ops = txn_ops

    def commit(self, leader: ModRevision, step: Step) -> Transaction:
        """Return the transaction of a step; it fails if anything that the step rests on has changed."""
        conditions = self._fixed_conditions(leader)
        conditions += [Compare(keys.node(name), mod_revision) for name, mod_revision in step.unchanged.items()]
        conditions += [self._as_cached(keys.node(name)) for name in sorted(step.barred)]
        changes: list[Put | Delete] = [Put(keys.ROLLOUT, step.record)]
        if step.record.version != self._committed.announced():
            changes.append(_announcement(step.record.version))
        bar = NodeRecord("", NO_LEASE, step.record.version, step.record.version)
        changes += [Put(keys.node(name), bar) for name in sorted(step.barred)]
        if step.record.phase is RolloutPhase.FINALIZED and step.record.version < self._committed.current().version:
            readmitted = self._barred_keys()[: self._txn_ops - len(changes)]
            conditions += [self._as_cached(key) for key in readmitted]
            changes += [Delete(key) for key in readmitted]
        return Transaction(conditions, changes)

    def announcement(self, leader: ModRevision, version: int, able: dict[NodeId, ModRevision]) -> Transaction:
        """Return a transaction that announces a version without a rollout.

        It is conditional on the keys of the able controllers, as many as fit in a transaction.
        """
        unchanged = [Compare(keys.node(name), mod_revision) for name, mod_revision in able.items()]
        conditions = self._fixed_conditions(leader) + unchanged[: step_limits(self._txn_ops).max_unchanged]
        return Transaction(conditions, [_announcement(version)])

    def _fixed_conditions(self, leader: ModRevision) -> list[Compare]:
        return [Compare(keys.LEADER, leader), self._as_cached(keys.ROLLOUT), self._as_cached(keys.FORMAT)]

    def _as_cached(self, key: str) -> Compare:
        return Compare(key, self._watch_cache.stored_mod_revision(key))

    def _barred_keys(self) -> list[str]:
        """Return the keys that bar excused controllers; older programs may join again at a lower version."""
        nodes = self._watch_cache.list_records(keys.NODES, NodeRecord)
        return [keys.node(name) for name, (record, _) in nodes.items() if not record.is_live()]


def _announcement(version: int) -> Put | Delete:
    return Put(keys.FORMAT, FormatRecord(version)) if version else Delete(keys.FORMAT)
