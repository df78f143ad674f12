"""Declarations shared by the operators' settings: numbers with ranges, blocks `name { ... }`, message types.

The message types for protobuf's text format are built from the declarations. Importing protobuf takes a noticeable part
of a process's start, so this module imports it only when a schema is built.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Any

from cloverplank.settings import InvalidSettingsError

if TYPE_CHECKING:
    from google.protobuf.descriptor_pb2 import DescriptorProto
    from google.protobuf.message import Message

PACKAGE = "cloverplank"


@dataclass(frozen=True)
class NumberSetting:
    """One number with its default and its range; `doc` is its documentation where it is not a field of a block."""

    name: str
    default: float
    minimum: float = field(kw_only=True)
    maximum: float = field(kw_only=True)
    doc: str = field(default="", kw_only=True)

    @property
    def range_text(self) -> str:
        """Return the range as text for operators."""
        return f"{self.minimum:g} to {self.maximum:g}"

    def read(self, message: Message, block: str = "") -> float:
        """Return the value in a message, or the default where it is absent.

        Raises InvalidSettingsError where the value is out of its range.
        """
        value: float = getattr(message, self.name) if message.HasField(self.name) else self.default
        field_name = f"{block}.{self.name}" if block else self.name
        check_range(field_name, value, minimum=self.minimum, maximum=self.maximum)
        return value


def check_range(field_name: str, value: float, *, minimum: float, maximum: float) -> None:
    """Raise InvalidSettingsError where the value is not a number in the range."""
    if not math.isfinite(value) or not minimum <= value <= maximum:
        raise InvalidSettingsError(f"{value:g} is not between {minimum:g} and {maximum:g}", field=field_name)


def defaults(numbers: Iterable[NumberSetting]) -> dict[str, float]:
    """Return the default of each number by its name."""
    return {number.name: number.default for number in numbers}


def read_numbers(message: Message, block: str, numbers: Iterable[NumberSetting]) -> dict[str, float]:
    """Return the numbers in the message of a block by their names. Raises InvalidSettingsError."""
    return {number.name: number.read(message, block) for number in numbers}


def opening_text(block: str, settings: Any, numbers: Iterable[NumberSetting]) -> list[str]:
    """Return the first lines of a block in the file's format: the numbers' ranges, `enabled`, and the numbers."""
    numbers = list(numbers)
    return [
        *(f"# {number.name}: {number.range_text}" for number in numbers),
        f"{block} {{",
        f"  enabled: {'true' if settings.enabled else 'false'}",
        *(f"  {number.name}: {getattr(settings, number.name):g}" for number in numbers),
    ]


class FieldType(Enum):
    """The type of a field, by protobuf's name for it."""

    BOOL = "TYPE_BOOL"
    INTEGER = "TYPE_INT64"
    NUMBER = "TYPE_DOUBLE"
    TEXT = "TYPE_STRING"
    MESSAGE = "TYPE_MESSAGE"


class FieldLabel(Enum):
    """How often a field may occur in a message, by protobuf's name for it."""

    OPTIONAL = "LABEL_OPTIONAL"
    REQUIRED = "LABEL_REQUIRED"
    REPEATED = "LABEL_REPEATED"


class MessageSchema:
    """One message type; fields are numbered in the order in which they are added."""

    def __init__(self, descriptor: DescriptorProto) -> None:
        self._descriptor = descriptor

    def add(
        self, name: str, field_type: FieldType, label: FieldLabel = FieldLabel.OPTIONAL, *, message_type: str = ""
    ) -> None:
        """Add a field; `message_type` names the message type of a field of type MESSAGE."""
        added = self._descriptor.field.add(name=name, number=len(self._descriptor.field) + 1)
        added.type = added.Type.Value(field_type.value)
        added.label = added.Label.Value(label.value)
        if message_type:
            added.type_name = f".{PACKAGE}.{message_type}"

    def add_numbers(self, numbers: Iterable[NumberSetting]) -> None:
        """Add a field for each number."""
        for number in numbers:
            self.add(number.name, FieldType.NUMBER)


class FileSchema:
    """The schema of the operators' file: all its message types."""

    def __init__(self) -> None:
        from google.protobuf import descriptor_pb2  # noqa: PLC0415, RUF100

        self._file = descriptor_pb2.FileDescriptorProto(name=f"{PACKAGE}/operator.proto", package=PACKAGE)
        self._file.syntax = "proto2"

    def add_message(self, name: str) -> MessageSchema:
        """Add a message type."""
        return MessageSchema(self._file.message_type.add(name=name))

    def message_class(self, name: str) -> type[Message]:
        """Return the class that represents messages of a type."""
        from google.protobuf import descriptor_pool, message_factory  # noqa: PLC0415, RUF100

        pool = descriptor_pool.DescriptorPool()
        pool.Add(self._file)
        return message_factory.GetMessageClass(pool.FindMessageTypeByName(f"{PACKAGE}.{name}"))
