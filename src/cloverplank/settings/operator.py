"""The operators' own settings: a file in protobuf text format.

TABLE and the blocks' modules are the only places where settings are declared.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from cloverplank.feature_gates import NEWEST_VERSION
from cloverplank.settings import InvalidSettingsError
from cloverplank.settings import failure_detection as failure_detection_settings
from cloverplank.settings import rollout as rollout_settings
from cloverplank.settings import zones as zone_settings
from cloverplank.settings.blocks import FieldLabel, FieldType, FileSchema, NumberSetting, check_range, defaults
from cloverplank.settings.failure_detection import FailureDetectionSettings
from cloverplank.settings.rollout import RolloutSettings
from cloverplank.settings.zones import ZoneSettings

DEFAULT_ZONE_WEIGHT = 1.0
MAX_ZONE_WEIGHT = 1000.0

TABLE = (
    NumberSetting(
        "taint_after_s",
        0.0,
        minimum=0.0,
        maximum=600.0,
        doc="time without contact after which a machine is tainted and evicted; 0: as soon as its lease expires",
    ),
    NumberSetting(
        "no_new_after_reports",
        1.7,
        minimum=1.0,
        maximum=20.0,
        doc="heartbeat intervals without a heartbeat after which a machine gets no new tasks",
    ),
    NumberSetting(
        "release_silent_reports",
        1.7,
        minimum=0.0,
        maximum=100.0,
        doc="heartbeat intervals without a heartbeat after which a machine with tasks is probed directly and, without "
        "a response, declared lost; 0: never",
    ),
    NumberSetting(
        "eviction_limit_s",
        600.0,
        minimum=1.0,
        maximum=86400.0,
        doc="age at which an eviction entry is dropped even if no replacement is healthy",
    ),
    NumberSetting(
        "controller_lease_s",
        4.0,
        minimum=1.0,
        maximum=60.0,
        doc="time to live of a controller's lease in the key-value store",
    ),
    NumberSetting(
        "hold_on_margin_s",
        5.0,
        minimum=1.0,
        maximum=60.0,
        doc="cancel_s minus lease_s minus this: how long a shard owner without the key-value store answers heartbeats",
    ),
    NumberSetting(
        "idle_release_s",
        12.0,
        minimum=0.0,
        maximum=3600.0,
        doc="idle time after which an on-demand machine is terminated",
    ),
    NumberSetting(
        "idle_release_spot_s",
        25.0,
        minimum=0.0,
        maximum=3600.0,
        doc="idle time after which a spot machine is terminated",
    ),
    NumberSetting(
        "headroom_factor",
        1.6,
        minimum=0.0,
        maximum=10.0,
        doc="capacity kept ready for classes that should start at once, as a multiple of two jobs of mean size",
    ),
    NumberSetting(
        "headroom_least_tasks",
        2.0,
        minimum=0.0,
        maximum=1000.0,
        doc="minimum capacity kept ready for such a class, in tasks",
    ),
    NumberSetting(
        "trusted_capacity",
        0.8,
        minimum=0.0,
        maximum=1.0,
        doc="fraction of the provisioned capacity that is relied on to finish waiting arrays before they are late",
    ),
    NumberSetting(
        "patience",
        0.4,
        minimum=0.0,
        maximum=1.0,
        doc="fraction of its time that a job which may use spot machines waits before it uses an idle on-demand one",
    ),
    NumberSetting("rent_limit", 10000.0, minimum=1.0, maximum=100000.0, doc="maximum number of provisioned machines"),
    NumberSetting(
        "refused_pause_s",
        8.0,
        minimum=1.0,
        maximum=600.0,
        doc="pause of requests for a machine type in a zone, spot or on-demand, after the cloud refused one",
    ),
    NumberSetting(
        "never_up_factor",
        4.0,
        minimum=1.5,
        maximum=100.0,
        doc="multiple of the boot time after which a machine that is not up is terminated",
    ),
    NumberSetting(
        "load_log_s",
        0.0,
        minimum=0.0,
        maximum=3600.0,
        doc="seconds between two log lines on processor time and memory; 0: never",
    ),
    NumberSetting(
        "faulty_errors",
        3.0,
        minimum=1.0,
        maximum=100.0,
        doc="number of different jobs with failed tasks on a machine at which it is drained",
    ),
)


@dataclass(frozen=True)
class OperatorSettings:
    """The settings in force; those of TABLE are attributes by their names.

    `zone_weights` has the static weight of each zone in the spread of work over zones.
    """

    values: dict[str, float] = field(default_factory=lambda: defaults(TABLE))
    zone_weights: dict[str, float] = field(default_factory=dict)
    rollout: RolloutSettings = field(default_factory=RolloutSettings)
    zones: ZoneSettings = field(default_factory=ZoneSettings)
    suspicion: FailureDetectionSettings = field(default_factory=FailureDetectionSettings)

    def __getattr__(self, name: str) -> float:
        try:
            return self.values[name]
        except KeyError:
            raise AttributeError(name) from None

    def weight(self, zone: str) -> float:
        """Return the static weight of a zone."""
        return self.zone_weights.get(zone, DEFAULT_ZONE_WEIGHT)

    def check_zones(self, zones: Sequence[str]) -> None:
        """Raise InvalidSettingsError for a weight of an unknown zone, where the block `zones` is enabled."""
        unknown = sorted(set(self.zone_weights) - set(zones))
        if self.zones.enabled and unknown:
            raise InvalidSettingsError(f"{unknown[0]} is no zone of this deployment", field="zone_weight")

    def text(self) -> str:
        """Return the settings in the format of the operators' file, each with its documentation."""
        lines = []
        for setting in TABLE:
            lines.append(f"# {setting.doc} ({setting.range_text})")
            lines.append(f"{setting.name}: {self.values[setting.name]:g}")
        lines.append(
            "# static weight of a zone in the spread of work, 1 where none is given; may be repeated (0 to 1000)"
        )
        for zone, weight in sorted(self.zone_weights.items()):
            lines.append(f'zone_weight {{ zone: "{zone}" weight: {weight:g} }}')
        lines += self.rollout.text()
        lines += self.zones.text()
        lines += self.suspicion.text()
        return "\n".join(lines) + "\n"


def _message_class() -> Any:
    """Return the class of messages that the file is parsed into."""
    schema = FileSchema()
    zone_weight = schema.add_message("ZoneWeight")
    zone_weight.add("zone", FieldType.TEXT, FieldLabel.REQUIRED)
    zone_weight.add("weight", FieldType.NUMBER, FieldLabel.REQUIRED)
    operator = schema.add_message("Operator")
    operator.add("zone_weight", FieldType.MESSAGE, FieldLabel.REPEATED, message_type="ZoneWeight")
    operator.add_numbers(TABLE)
    for block in (rollout_settings, zone_settings, failure_detection_settings):
        block.declare(schema)
        operator.add(block.BLOCK, FieldType.MESSAGE, message_type=block.MESSAGE_TYPE)
    return schema.message_class("Operator")


def _is_blank(text: str) -> bool:
    """Return whether the text has empty lines and comments only."""
    return all(not line.strip() or line.lstrip().startswith("#") for line in text.splitlines())


def parse_operator(text: str) -> OperatorSettings:
    """Return the settings in a file's text. Raises InvalidSettingsError."""
    if _is_blank(text):
        return OperatorSettings()  # without importing protobuf, which takes a noticeable part of a start
    from google.protobuf import text_format  # noqa: PLC0415, RUF100

    message = _message_class()()
    try:
        # Unknown fields are ignored here as everywhere, so that one file serves several versions.
        text_format.Parse(text, message, allow_unknown_field=True)
    except (text_format.ParseError, ValueError) as err:
        raise InvalidSettingsError(str(err).replace("\n", " ")) from err
    return OperatorSettings(
        values={setting.name: setting.read(message) for setting in TABLE},
        zone_weights=_zone_weights(message.zone_weight),
        rollout=rollout_settings.from_message(message.rollout, NEWEST_VERSION),
        zones=zone_settings.from_message(message.zones),
        suspicion=failure_detection_settings.from_message(message.suspicion),
    )


def _zone_weights(entries: Any) -> dict[str, float]:
    weights: dict[str, float] = {}
    for entry in entries:
        check_range(f"zone_weight: {entry.zone}", entry.weight, minimum=0.0, maximum=MAX_ZONE_WEIGHT)
        if entry.zone in weights:
            raise InvalidSettingsError(f"{entry.zone} is given twice", field="zone_weight")
        weights[entry.zone] = entry.weight
    return weights


def read_operator(path: Path | None) -> OperatorSettings:
    """Return the settings in a file, or the defaults without one. Raises InvalidSettingsError."""
    if path is None or not path.exists():
        return OperatorSettings()
    try:
        return parse_operator(path.read_text("utf-8"))
    except (OSError, UnicodeDecodeError) as err:
        raise InvalidSettingsError(str(err), file=path) from err
    except InvalidSettingsError as err:
        raise err.in_file(path) from err
