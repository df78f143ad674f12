"""Stored records of controllers, the leader and shard owners."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct, field

NO_LEASE = 0  # lease id of a record without a process: it bars a controller, which joins only by replacing it


class NodeRecord(Struct, frozen=True):
    """A controller. The key of a live controller is attached to its lease."""

    zone: str
    lease: int
    # newest cluster version that the process supports; old programs omit it
    newest_version: Annotated[int, Meta(ge=0)] = field(name="format", default=0)
    # oldest cluster version that the process supports; programs without staged rollouts omit it
    oldest_version: Annotated[int, Meta(ge=0)] | None = field(name="lowest", default=None)
    # cluster version that the operators want; None: rollouts are switched off
    goal: Annotated[int, Meta(ge=0)] | None = None
    # whether the process commits the headroom while it leads; older programs omit it
    commits_headroom: bool = field(name="headroom", default=False)

    def is_live(self) -> bool:
        """Return whether the record belongs to a process; one without a lease only bars programs from joining."""
        return self.lease != NO_LEASE


class LeaderRecord(Struct, frozen=True):
    """The leader. Its key is attached to the leader's lease."""

    node: str
    lease: int


class ShardRecord(Struct, frozen=True):
    """The assignment of a shard.

    Its key is attached to the owner's lease; the mod revision of the key is the fencing token.
    """

    zone: str
    node: str
    lease: int
