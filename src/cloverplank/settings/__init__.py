"""The platform's settings, and the operators' own settings."""

from __future__ import annotations

from pathlib import Path

from cloverplank.errors import CloverplankError


class InvalidSettingsError(CloverplankError):
    """Settings are invalid; the message is one line.

    `field` names the setting at fault and `file` the file that it stands in, where they are known.
    """

    def __init__(self, problem: str, *, field: str | None = None, file: Path | None = None) -> None:
        prefixes = [str(part) for part in (file, field) if part is not None]
        super().__init__(": ".join([*prefixes, problem]))
        self.problem = problem
        self.field = field
        self.file = file

    def in_file(self, file: Path) -> InvalidSettingsError:
        """Return the same error with the file that the settings were read from."""
        return InvalidSettingsError(self.problem, field=self.field, file=file)
