"""Settings files, and a command that reads them."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from cloverplank.cli import main
from tests.settings.test_settings import VALID_SETTINGS

CheckSettings = Callable[[str], Result]


@pytest.fixture
def check_settings(tmp_path: Path) -> CheckSettings:
    """Return a function that runs the command `check` on valid platform settings and the operators' text given."""
    config, operator = tmp_path / "c-0.toml", tmp_path / "operator.txtpb"
    config.write_text(VALID_SETTINGS)

    def check(text: str) -> Result:
        operator.write_text(text)
        return CliRunner().invoke(main, ["check", "--config", str(config), "--operator", str(operator)])

    return check
