"""Counts of a controller's cached entries and of events in its shards, for the load log."""

from __future__ import annotations

from cloverplank.controller.composition import Controller


def load_counts(controller: Controller) -> dict[str, int]:
    """Return the number of entries in each cache, and of events in the owned shards, by name."""
    shards = controller.shards.values()
    return {
        "jobs": len(controller.store.jobs),
        "blocked jobs": len(controller.watch_cache.blocked.jobs),
        "final states": len(controller.watch_cache.finals),
        "deleted keys": len(controller.watch_cache.deleted),
        "machines": len(controller.registry.entries),
        "failing jobs": len(controller.failures),
        "own machines": sum(len(shard.machines) for shard in shards),
        "raised tokens": sum(shard.state.tokens.raised for shard in shards),
        "unplaced tasks": sum(shard.state.command_history.unplaced for shard in shards),
        "queued transactions": controller.queue.backlog(),
    }
