"""Shard ownership: heartbeats, liveness, placement, preemption and task reconciliation."""
