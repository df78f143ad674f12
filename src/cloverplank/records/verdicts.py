"""Stored verdicts of the failure detector on controllers."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct, field


class VerdictRecord(Struct, frozen=True):
    """A committed verdict on a controller, and the handover of its shard that follows from it.

    Both are written by one transaction, so each verdict is executed once.
    """

    node: str
    incarnation: Annotated[int, Meta(ge=0)]
    decided_at: int = field(name="at")  # time of day, ms
    # consecutive verdicts on this controller, each soon after the previous one
    consecutive: Annotated[int, Meta(ge=0)] = field(name="count")
    zone: str  # zone of the shard that was handed over
    new_owner: str = field(name="to")  # controller that received the shard
    reason: str = field(name="why")
