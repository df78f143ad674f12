"""Staged rollout: which stored shapes may be written while controllers of several versions serve."""
