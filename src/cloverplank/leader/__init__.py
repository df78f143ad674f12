"""Work that only the leader does: shard assignment, zone allocation under quotas, scale out and scale in."""
