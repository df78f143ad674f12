"""Priorities of transactions, and the tokens that each priority leaves to higher ones."""

from __future__ import annotations

from enum import IntEnum


class TransactionPriority(IntEnum):
    """The purpose of a transaction; lower values are sent first."""

    LEASE = 0
    CANCEL = 1
    SUBMIT = 2
    PLACE = 3
    DONE = 4
    MIGRATE = 5  # rewrites stored records in another layout; no request waits for it


# Fraction of the changes of RESERVE_WINDOW_S that a transaction leaves to those of higher priorities; a negative value
# allows it to overdraw the token bucket.
RESERVED_FRACTION = {
    TransactionPriority.LEASE: -5.0,
    TransactionPriority.CANCEL: -2.0,
    TransactionPriority.SUBMIT: 0.0,
    TransactionPriority.PLACE: 0.15,
    TransactionPriority.DONE: 0.3,
    TransactionPriority.MIGRATE: 0.5,
}
RESERVE_WINDOW_S = 0.5  # the reserved fractions refer to the changes allowed in this time


def reserved_changes(priority: TransactionPriority, changes_per_s: float) -> float:
    """Return how many tokens a transaction of this priority leaves in the token bucket for changes."""
    return RESERVED_FRACTION[priority] * changes_per_s * RESERVE_WINDOW_S
