"""The facts of a rollout, as the leader's watch cache shows them."""

from __future__ import annotations

from cloverplank.basic_types import ModRevision, NodeId, WallTimeMs
from cloverplank.kvstore import keys
from cloverplank.kvstore.watch_cache import WatchCache
from cloverplank.records.cluster import NodeRecord
from cloverplank.rollout.commits import StepLimits
from cloverplank.rollout.committed import CommittedRollout
from cloverplank.rollout.steps import Controller, Facts


def observe(
    watch_cache: WatchCache,
    committed: CommittedRollout,
    *,
    configured: frozenset[NodeId],
    limits: StepLimits,
    records_to_rewrite: int | None,
    now: WallTimeMs,
) -> Facts:
    """Return what the next step is decided on; `configured` names every controller of the deployment."""
    controllers: dict[NodeId, Controller] = {}
    barred: dict[NodeId, ModRevision] = {}
    for name, (record, mod_revision) in watch_cache.list_records(keys.NODES, NodeRecord).items():
        if record.is_live():
            controllers[NodeId(name)] = Controller(
                mod_revision, record.newest_version, record.oldest_version, record.goal
            )
        else:
            barred[NodeId(name)] = mod_revision
    return Facts(
        configured=configured,
        controllers=controllers,
        unreadable=tuple(sorted(key for key in watch_cache.unreadable if key.startswith(keys.NODES))),
        announced=committed.announced(),
        now=now,
        records_to_rewrite=records_to_rewrite,
        max_unchanged=limits.max_unchanged,
        max_barred=limits.max_barred,
        mod_revision=committed.mod_revision(),
        barred=barred,
    )
