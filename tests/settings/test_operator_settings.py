"""The operators' settings: TABLE, and the blocks `rollout { }`, `zones { }` and `suspicion { }`."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from cloverplank.cli import OPERATOR_FILE
from cloverplank.feature_gates import NEWEST_VERSION
from cloverplank.settings import InvalidSettingsError
from cloverplank.settings.failure_detection import FailureDetectionSettings
from cloverplank.settings.operator import OperatorSettings, parse_operator, read_operator
from cloverplank.settings.rollout import RolloutSettings
from cloverplank.settings.zones import ZoneSettings
from tests.settings.conftest import CheckSettings


@pytest.mark.parametrize(
    ("line", "named"),
    [
        ('rollout { hold_at: "tomorrow" }', "rollout.hold_at"),
        ('rollout { hold_at: "finalized" }', "rollout.hold_at"),
        ("rollout { soak_s: -1 }", "rollout.soak_s"),
        ("rollout { soak_s: 1e12 }", "rollout.soak_s"),
        ("rollout { soak_s: nan }", "rollout.soak_s"),
        ("rollout { goal: -1 }", "rollout.goal"),
        (f"rollout {{ goal: {NEWEST_VERSION + 1} }}", "rollout.goal"),
        ('rollout { excused: "c-1" excused: "c-1" }', "rollout.excused"),
        ("rollout { enabled: 7 }", "enabled"),
        ("zones { starts_a_second: 0 }", "zones.starts_a_second"),
        ("zones { starts_a_second: -3 }", "zones.starts_a_second"),
        ("zones { pulls_at_once: nan }", "zones.pulls_at_once"),
        ("zones { longest_hold_s: 90 }", "zones.longest_hold_s"),
        ("zones { quiet_s: 1e9 }", "zones.quiet_s"),
        ('zones { step_s: "soon" }', "step_s"),
        ('zones { first: "a" first: "a" }', "class a is given twice"),
        ('zones { first: "a" last: "a" }', "class a is given twice"),
        ("suspicion { suspect_level: 1 }", "suspicion.suspect_level"),
        ("suspicion { faulty_level: nan }", "suspicion.faulty_level"),
        ("suspicion { suspect_level: 3 faulty_level: 2 }", "suspicion.faulty_level"),
        ("suspicion { damp_s: -1 }", "suspicion.damp_s"),
        ("rollout { } rollout { }", "rollout"),
    ],
)
def test_invalid_setting_is_refused_in_one_line(line: str, named: str) -> None:
    with pytest.raises(InvalidSettingsError) as raised:
        parse_operator(line)
    assert named in str(raised.value)
    assert "\n" not in str(raised.value)


@pytest.mark.parametrize(
    ("settings", "named"),
    [
        ('rollout { enabled: true excused: "c-9" }', "c-9 is no controller"),
        ('rollout { enabled: true excused: "c-0" excused: "c-1" }', "all controllers"),
        ('zones { enabled: true } zone_weight { zone: "nowhere" weight: 2 }', "nowhere is no zone"),
    ],
    ids=["unknown controller", "all controllers", "unknown zone"],
)
def test_names_that_do_not_fit_the_deployment_end_the_process(
    settings: str, named: str, check_settings: CheckSettings
) -> None:
    result = check_settings(settings)
    assert result.exit_code == 2
    assert named in result.output
    assert result.output.count("\n") == 1


def test_excuse_of_one_controller_is_accepted(check_settings: CheckSettings) -> None:
    assert check_settings('rollout { enabled: true excused: "c-1" }').exit_code == 0


@pytest.mark.parametrize(
    ("line", "field"),
    [
        ("idle_release_s: -1", "idle_release_s"),
        ("rollout { soak_s: -1 }", "rollout.soak_s"),
        ("zones { quiet_s: 1e9 }", "zones.quiet_s"),
        ("suspicion { damp_s: -1 }", "suspicion.damp_s"),
    ],
)
def test_error_names_field_and_file(line: str, field: str, tmp_path: Path) -> None:
    file = tmp_path / "operator.txtpb"
    file.write_text(line)
    with pytest.raises(InvalidSettingsError) as raised:
        read_operator(file)
    assert raised.value.field == field
    assert raised.value.file == file
    assert str(raised.value).startswith(f"{file}: {field}: ")


def test_printed_settings_round_trip() -> None:
    settings = OperatorSettings(
        rollout=RolloutSettings(True, 0, "soak", 12.5, frozenset({"c-1", "c-2"})),
        zones=ZoneSettings(True, 12.0, 3.0, 4.0, 50.0, 7, frozenset({"a"}), frozenset({"b", "c"})),
        suspicion=FailureDetectionSettings(True, 2.0, 3.0, 40.0),
    )
    assert parse_operator(settings.text()) == settings
    assert parse_operator(OperatorSettings().text()) == OperatorSettings()


def test_shipped_file_enables_failure_detection_only() -> None:
    assert read_operator(OPERATOR_FILE) == OperatorSettings(suspicion=FailureDetectionSettings(True))


def test_file_of_comments_is_read_without_importing_protobuf(tmp_path: Path) -> None:
    """Importing protobuf slows down each start, and work waits during a restart."""
    file = tmp_path / "operator.txtpb"
    file.write_text("# zones { enabled: true }\n\n")
    code = (
        "import sys; from pathlib import Path; from cloverplank.settings.operator import OperatorSettings, read_operator; "
        f"assert read_operator(Path({str(file)!r})) == OperatorSettings(); print('google.protobuf' in sys.modules)"
    )
    process = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True, timeout=60)
    assert process.stdout.strip() == "False"
