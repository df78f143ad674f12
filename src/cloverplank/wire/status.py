"""The output of the status commands."""

from __future__ import annotations

import msgspec
from msgspec import Struct


class Status(Struct, frozen=True):
    """A status made from committed keys, printed as text or as JSON."""

    def as_json(self) -> str:
        """Return one indented JSON object with the fields of this type."""
        return msgspec.json.format(msgspec.json.encode(self)).decode()

    def as_text(self) -> str:
        """Return the status as lines of text for a terminal."""
        raise NotImplementedError
