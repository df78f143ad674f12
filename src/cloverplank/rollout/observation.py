"""Collects the facts for the state machine of a rollout from the leader's watch cache."""

from __future__ import annotations

from cloverplank.basic_types import ModRevision, NodeId, WallTimeMs
from cloverplank.kvstore import keys
from cloverplank.kvstore.watch_cache import WatchCache
from cloverplank.records.cluster import NodeRecord
from cloverplank.rollout.committed import CommittedRollout
from cloverplank.rollout.state_machine import Facts, LiveController
from cloverplank.rollout.step_transactions import StepLimits


def collect_facts(
    watch_cache: WatchCache,
    committed: CommittedRollout,
    *,
    configured: frozenset[NodeId],
    limits: StepLimits,
    records_to_rewrite: int | None,
    now: WallTimeMs,
) -> Facts:
    """Collect the facts on which the next step is decided; `configured` names every controller of the deployment."""
    controllers: dict[NodeId, LiveController] = {}
    barred: dict[NodeId, ModRevision] = {}
    for name, (record, mod_revision) in watch_cache.list_records(keys.NODES, NodeRecord).items():
        if record.is_live():
            controllers[NodeId(name)] = LiveController(
                mod_revision, record.newest_version, record.oldest_version, record.goal
            )
        else:
            barred[NodeId(name)] = mod_revision
    return Facts(
        configured=configured,
        controllers=controllers,
        unreadable=tuple(sorted(key for key in watch_cache.unreadable if key.startswith(keys.NODES))),
        announced_version=committed.announced_version(),
        now=now,
        records_to_rewrite=records_to_rewrite,
        max_compared_controllers=limits.max_compared_controllers,
        max_barred_controllers=limits.max_barred_controllers,
        rollout_mod_revision=committed.mod_revision(),
        barred=barred,
    )
