"""Staged rollouts of new record shapes: the committed cluster version, its phases, and the migration of records."""
