"""The operators' settings of lost and recovering zones: the block `zones { ... }` of their file."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from cloverplank.settings import InvalidSettingsError
from cloverplank.settings.blocks import (
    FieldLabel,
    FieldType,
    FileSchema,
    NumberSetting,
    defaults,
    opening_text,
    read_numbers,
)

BLOCK = "zones"
MESSAGE_TYPE = "Zones"
MAX_HOLD_S = 60.0  # a job must not wait for 90 s while a machine has free capacity
NUMBERS = (
    NumberSetting("longest_hold_s", 30.0, minimum=0.0, maximum=MAX_HOLD_S),
    NumberSetting("quiet_s", 5.0, minimum=0.5, maximum=60.0),
    NumberSetting("step_s", 5.0, minimum=0.5, maximum=60.0),
    NumberSetting("starts_a_second", 40.0, minimum=1.0, maximum=10_000.0),
    NumberSetting("pulls_at_once", 20.0, minimum=1.0, maximum=10_000.0),
)
DEFAULTS = defaults(NUMBERS)


@dataclass(frozen=True)
class ZoneSettings:
    """The order of work while a zone is lost, and the pace of its recovery.

    `first` names classes of jobs that are served like services, `last` those that are served like bulk work. Times
    are in seconds.
    """

    enabled: bool = False
    longest_hold_s: float = DEFAULTS["longest_hold_s"]
    quiet_s: float = DEFAULTS["quiet_s"]
    step_s: float = DEFAULTS["step_s"]
    starts_a_second: float = DEFAULTS["starts_a_second"]
    pulls_at_once: int = int(DEFAULTS["pulls_at_once"])
    first: frozenset[str] = frozenset()
    last: frozenset[str] = frozenset()

    def text(self) -> list[str]:
        """Return the block in the file's format, line by line, with comments on its fields."""
        return [
            "# zones: order of work while a zone is lost, and pace of its recovery (docs/zones.md)",
            "# longest_hold_s: maximum hold of bulk work; quiet_s: time before a zone recovers, doubled by each flap;",
            "# step_s: time per step (10, 25, 50, 100 percent of machines); starts_a_second, pulls_at_once: in a zone;",
            "# first, last: a class served like services, or like bulk work; may be repeated",
            *opening_text(BLOCK, self, NUMBERS),
            *(f'  first: "{name}"' for name in sorted(self.first)),
            *(f'  last: "{name}"' for name in sorted(self.last)),
            "}",
        ]


def declare(schema: FileSchema) -> None:
    """Add the block's message type to the schema of the operators' file."""
    message = schema.add_message(MESSAGE_TYPE)
    message.add("enabled", FieldType.BOOL)
    message.add("first", FieldType.TEXT, FieldLabel.REPEATED)
    message.add("last", FieldType.TEXT, FieldLabel.REPEATED)
    message.add_numbers(NUMBERS)


def from_message(message: Any) -> ZoneSettings:
    """Return the settings in the block's message. Raises InvalidSettingsError."""
    values = read_numbers(message, BLOCK, NUMBERS)
    classes = [*message.first, *message.last]
    repeated = sorted({name for name in classes if classes.count(name) > 1})
    if repeated:
        raise InvalidSettingsError(f"class {repeated[0]} is given twice", field=f"{BLOCK}.first, {BLOCK}.last")
    return ZoneSettings(
        enabled=message.enabled,
        longest_hold_s=values["longest_hold_s"],
        quiet_s=values["quiet_s"],
        step_s=values["step_s"],
        starts_a_second=values["starts_a_second"],
        pulls_at_once=int(values["pulls_at_once"]),
        first=frozenset(message.first),
        last=frozenset(message.last),
    )
