"""Kinds of storage layouts of job records, and whether the compact layout may be written."""

from __future__ import annotations

from enum import Enum


class LayoutKind(Enum):
    """A storage layout of job records."""

    PLAIN = "plain"  # every field is encoded with its name
    COMPACT = "compact"  # runs and done tasks are packed into strings


class CompactLayoutUse(Enum):
    """To what extent the cluster version allows records in the compact layout."""

    NEVER = "never"
    ALLOWED = "allowed"
    LEAVING = "leaving"  # no record becomes compact; a compact one that is too large for the plain layout stays compact
