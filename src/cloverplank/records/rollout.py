"""The committed state of a rollout."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

from msgspec import Meta, Struct, field

MAX_VERSION = 2**31
Version = Annotated[int, Meta(ge=0, le=MAX_VERSION)]


class RolloutPhase(StrEnum):
    """The phase of a rollout; the transitions are in `docs/rollout.md`."""

    FINALIZED = "finalized"  # no rollout is in progress
    PREPARED = "prepared"  # all controllers support the target version, none writes its shapes
    SOAK = "soak"  # as PREPARED, while the controllers are observed for a set time
    ACTIVE = "active"  # the target version's shapes are written, older records are migrated
    RETREATING = "retreating"  # the version's shapes are no longer written, its records are migrated back


class RolloutRecord(Struct, frozen=True):
    """The cluster version and the phase of its rollout. Without a stored record, `initial_rollout_record` applies."""

    version: Version
    phase: RolloutPhase
    target: Version  # the version that the phase leads to
    since: int = 0  # time of day, ms, at which the phase began
    controllers: dict[str, int] = field(default_factory=dict)  # during a soak: mod revisions of the controllers' keys
    excused: list[str] = field(default_factory=list)  # controllers that the last activation did not wait for


class FormatRecord(Struct, frozen=True):
    """The version announced to programs that don't read `RolloutRecord`.

    Every controller supports it; one that does not can't join.
    """

    version: Version


def initial_rollout_record(announced: int) -> RolloutRecord:
    """Return the record that applies before the first rollout.

    `announced` is the version of the format key, 0 if the key does not exist.
    """
    return RolloutRecord(announced, RolloutPhase.FINALIZED, announced)
