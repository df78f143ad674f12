"""The operators' settings of staged rollouts: the block `rollout { ... }` of their file."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from cloverplank.settings import InvalidSettingsError
from cloverplank.settings.blocks import FieldLabel, FieldType, FileSchema, NumberSetting, opening_text

BLOCK = "rollout"
MESSAGE_TYPE = "Rollout"
HOLD_PHASES = ("prepared", "soak", "active")  # phases in which operators can hold a rollout
SOAK_S = NumberSetting("soak_s", 60.0, minimum=0.0, maximum=7 * 86_400.0)


@dataclass(frozen=True)
class RolloutSettings:
    """This controller's part in staged rollouts.

    `goal` is the highest cluster version that is wanted, None for the newest that the program reads. `hold_at` names
    the phase that a rollout must not leave, and `excused` absent controllers that it does not wait for. `soak_s` is the
    minimum time in the phase `soak`, in seconds.
    """

    enabled: bool = False
    goal: int | None = None
    hold_at: str | None = None
    soak_s: float = SOAK_S.default
    excused: frozenset[str] = frozenset()

    def check_names(self, controllers: frozenset[str]) -> None:
        """Raise InvalidSettingsError where an excused controller is not among `controllers`, or all are excused."""
        unknown = sorted(self.excused - controllers)
        if unknown:
            raise InvalidSettingsError(f"{unknown[0]} is no controller of this deployment", field=f"{BLOCK}.excused")
        if self.excused and self.excused >= controllers:
            raise InvalidSettingsError(
                "all controllers are excused; one at least has to serve", field=f"{BLOCK}.excused"
            )

    def text(self) -> list[str]:
        """Return the block in the file's format, line by line, with comments on its fields."""
        lines = [
            "# staged rollout: new stored formats wait for all controllers and can be rolled back (docs/rollout.md)",
            f"# enabled: if false, versions are announced at once; hold_at: one of {', '.join(HOLD_PHASES)}, or absent",
            f"# soak_s: {SOAK_S.range_text}; goal: the cluster version wanted, absent for the newest;",
            "# excused: a controller that was removed permanently, may be repeated",
            *opening_text(BLOCK, self, ()),
            f"  soak_s: {self.soak_s:g}",
        ]
        if self.goal is not None:
            lines.append(f"  goal: {self.goal}")
        if self.hold_at is not None:
            lines.append(f'  hold_at: "{self.hold_at}"')
        lines += [f'  excused: "{name}"' for name in sorted(self.excused)]
        return [*lines, "}"]


def declare(schema: FileSchema) -> None:
    """Add the block's message type to the schema of the operators' file."""
    message = schema.add_message(MESSAGE_TYPE)
    message.add("enabled", FieldType.BOOL)
    message.add("goal", FieldType.INTEGER)
    message.add("hold_at", FieldType.TEXT)
    message.add_numbers([SOAK_S])
    message.add("excused", FieldType.TEXT, FieldLabel.REPEATED)


def from_message(message: Any, newest_version: int) -> RolloutSettings:
    """Return the settings in the block's message. Raises InvalidSettingsError."""
    goal = message.goal if message.HasField("goal") else None
    if goal is not None and not 0 <= goal <= newest_version:
        raise InvalidSettingsError(f"{goal} is not between 0 and {newest_version}", field=f"{BLOCK}.goal")
    hold_at = message.hold_at if message.HasField("hold_at") else None
    if hold_at is not None and hold_at not in HOLD_PHASES:
        raise InvalidSettingsError(f"{hold_at!r} is none of {', '.join(HOLD_PHASES)}", field=f"{BLOCK}.hold_at")
    soak_s = SOAK_S.read(message, BLOCK)
    excused = list(message.excused)
    if len(set(excused)) != len(excused):
        raise InvalidSettingsError("a controller is given twice", field=f"{BLOCK}.excused")
    return RolloutSettings(
        enabled=message.enabled, goal=goal, hold_at=hold_at, soak_s=soak_s, excused=frozenset(excused)
    )
