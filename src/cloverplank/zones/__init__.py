"""Failure and recovery of whole zones: evidence, committed health, and the scheduling order during a zone failure."""
