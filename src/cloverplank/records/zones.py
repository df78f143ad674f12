"""The committed health of a zone."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

from msgspec import Meta, Struct

ALL_MACHINES_PER_CENT = 100
MAX_FLAPS = 1000


class ZoneHealth(StrEnum):
    """The health of a zone as committed by the leader; the transitions are in `docs/zones.md`."""

    HEALTHY = "healthy"
    IMPAIRED = "impaired"  # some of its machines miss heartbeats
    LOST = "lost"  # nearly all of its machines miss heartbeats, while machines of other zones don't
    RECOVERING = "recovering"  # machines send heartbeats again and are admitted to new tasks in steps


class ZoneRecord(Struct, frozen=True):
    """The health of a zone. It affects only the order and pace of work; no correctness guarantee depends on it."""

    zone: str
    health: ZoneHealth
    since: int  # time of day, ms, of the transition to this health
    # percentage of the zone's machines that take new tasks
    admitted: Annotated[int, Meta(ge=0, le=ALL_MACHINES_PER_CENT)] = ALL_MACHINES_PER_CENT
    step_at: int = 0  # time of day, ms, of the last admission step
    # consecutive losses, each within a time window after the previous one
    flaps: Annotated[int, Meta(ge=0, le=MAX_FLAPS)] = 0
    lost_at: int = 0  # time of day, ms, of the last loss; 0: none
    evidence: str = ""  # reason for the last change of this record, for operators


def initial_zone_record(zone: str) -> ZoneRecord:
    """Return the record that applies before the first one of a zone is committed."""
    return ZoneRecord(zone, ZoneHealth.HEALTHY, 0)
