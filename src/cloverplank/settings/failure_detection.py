"""The operators' settings of failure detection and handover: the block `suspicion { ... }` of their file."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from cloverplank.settings import InvalidSettingsError
from cloverplank.settings.blocks import FieldType, FileSchema, NumberSetting, defaults, opening_text, read_numbers

BLOCK = "suspicion"
MESSAGE_TYPE = "Suspicion"
NUMBERS = (
    NumberSetting("suspect_level", 1.5, minimum=1.1, maximum=100.0),
    NumberSetting("faulty_level", 1.8, minimum=1.2, maximum=100.0),
    NumberSetting("damp_s", 30.0, minimum=1.0, maximum=3600.0),
)
DEFAULTS = defaults(NUMBERS)


@dataclass(frozen=True)
class FailureDetectionSettings:
    """Levels at which a silent controller is suspected and declared faulty, and for how long it then gets no shards.

    A level is the time without a message, as a multiple of an interval that few intervals between messages exceed.
    `damp_s` is in seconds.
    """

    enabled: bool = False
    suspect_level: float = DEFAULTS["suspect_level"]
    faulty_level: float = DEFAULTS["faulty_level"]
    damp_s: float = DEFAULTS["damp_s"]

    def text(self) -> list[str]:
        """Return the block in the file's format, line by line, with comments on its fields."""
        return [
            "# suspicion: a controller whose messages stop is suspected, declared faulty and loses its shards",
            "# (docs/suspicion.md); levels: multiples of the usual interval of gossip; damp_s: time until it gets",
            "# shards again, doubled with each verdict",
            *opening_text(BLOCK, self, NUMBERS),
            "}",
        ]


def declare(schema: FileSchema) -> None:
    """Add the block's message type to the schema of the operators' file."""
    message = schema.add_message(MESSAGE_TYPE)
    message.add("enabled", FieldType.BOOL)
    message.add_numbers(NUMBERS)


def from_message(message: Any) -> FailureDetectionSettings:
    """Return the settings in the block's message. Raises InvalidSettingsError."""
    values = read_numbers(message, BLOCK, NUMBERS)
    if values["faulty_level"] < values["suspect_level"]:
        raise InvalidSettingsError("is below suspect_level", field=f"{BLOCK}.faulty_level")
    return FailureDetectionSettings(message.enabled, **values)
