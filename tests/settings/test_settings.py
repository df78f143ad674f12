"""The platform's settings, the table of the operators' settings, and the command line."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner, Result
from hypothesis import given
from hypothesis import strategies as st

from cloverplank import __version__
from cloverplank.cli import OPERATOR_FILE, main
from cloverplank.settings import InvalidSettingsError
from cloverplank.settings.blocks import NumberSetting
from cloverplank.settings.operator import TABLE, OperatorSettings, parse_operator, read_operator
from cloverplank.settings.platform import MachineLimits, StateLimits, parse_platform
from tests.simulation.world import PEER, SETTINGS, TEAM
from tests.wire.test_wire import VALID_SUBMISSION

VALID_SETTINGS = SETTINGS.format(
    label="c-0",
    zone="a",
    zones='["a"]',
    peers=PEER.format(label="c-1", zone="a", number=2),
    teams=TEAM.format(name="red", cpus=1.0, most=2.0),
    coming="",
    machine="",
)


FIELDS = {name: value for name, value in VALID_SUBMISSION.items() if value is not None}


def test_unknown_fields_are_ignored() -> None:
    assert parse_platform("tomorrow = 1\n" + VALID_SETTINGS + "\n[facts.more]\nx = 1\n").label == "c-0"


@pytest.mark.parametrize(
    ("old", "new", "named"),
    [
        ('label = "c-0"', "", "label"),
        ('front = "10.0.0.1:8080"', 'front = "here:80"', "front"),
        ("lease_s = 8.0", "lease_s = 0.0", "lease_s"),
        ("cancel_s = 30.0", "cancel_s = 5.0", "cancel_s"),
        ("txn_ops = 12", 'txn_ops = "many"', "txn_ops"),
        ('label = "c-1"', 'label = "c-0"', "label"),
        ("cpus = 1.0", "cpus = 9.0", "red"),
        ("rps = 300.0", "rps = -1.0", "rps"),
        ("[facts]", "[facts", "TOML"),
    ],
    ids=[
        "no label",
        "name for address",
        "no lease",
        "cancel_s below lease_s",
        "text for number",
        "label given twice",
        "guarantee over limit",
        "negative rate",
        "not TOML",
    ],
)
def test_invalid_platform_field_is_refused_in_one_line(old: str, new: str, named: str) -> None:
    with pytest.raises(InvalidSettingsError) as raised:
        parse_platform(VALID_SETTINGS.replace(old, new, 1))
    assert named in str(raised.value)
    assert "\n" not in str(raised.value)


def test_lowest_limits_hold_before_and_after_the_coming_change() -> None:
    """The change takes effect without notice: absent limits stay as they are, and none is raised early."""
    coming = "[facts.state.next]\nwrite_rps = 40.0\ntxn_ops = 99\nof_tomorrow = 1\n"
    lowest = parse_platform(VALID_SETTINGS + coming).facts.state.lowest()
    assert lowest == StateLimits(rps=300.0, write_rps=40.0, value_kb=8.0, txn_ops=12)
    assert parse_platform(VALID_SETTINGS).facts.state.lowest() == parse_platform(VALID_SETTINGS).facts.state


@pytest.mark.parametrize("line", ["value_kb = 0.5", "value_kb = -2.0", "txn_ops = 1", 'write_rps = "few"', "rps = 0"])
def test_invalid_coming_limit_is_refused_in_one_line(line: str) -> None:
    with pytest.raises(InvalidSettingsError) as raised:
        parse_platform(VALID_SETTINGS + "[facts.state.next]\n" + line)
    assert line.split(maxsplit=1)[0] in str(raised.value)
    assert "next" in str(raised.value)
    assert "\n" not in str(raised.value)


@pytest.mark.parametrize("value", ["0", "0.0", "-1", "nan", "inf", '"many"', "0.000001", "[1]", "true"])
@pytest.mark.parametrize("name", ["cpu", "mem_mb", "sockets"])
def test_invalid_machine_limit_is_refused_in_one_line(name: str, value: str) -> None:
    with pytest.raises(InvalidSettingsError) as raised:
        parse_platform(VALID_SETTINGS + f"[facts.machine_limits]\n{name} = {value}")
    assert name in str(raised.value)
    assert "\n" not in str(raised.value)


def test_smallest_machine_limits_in_use_are_accepted() -> None:
    settings = parse_platform(VALID_SETTINGS + "[facts.machine_limits]\ncpu = 0.05\nmem_mb = 64\nsockets = 100")
    assert settings.facts.machine_limits == MachineLimits(cpu=0.05, mem_mb=64.0, sockets=100)


def test_settings_of_the_table_round_trip() -> None:
    operator = parse_operator('idle_release_s: 7 zone_weight { zone: "a" weight: 2.5 } of_tomorrow: 3')
    assert operator.idle_release_s == 7
    assert operator.weight("a") == 2.5
    assert operator.weight("b") == 1
    assert parse_operator(operator.text()) == operator
    assert parse_operator("") == OperatorSettings()


@given(st.sampled_from(TABLE), st.floats(allow_nan=True))
def test_value_outside_its_range_is_refused(setting: NumberSetting, value: float) -> None:
    text = f"{setting.name}: {value}"
    if setting.minimum <= value <= setting.maximum:
        assert parse_operator(text).values[setting.name] == value
    else:
        with pytest.raises(InvalidSettingsError, match=setting.name):
            parse_operator(text)


@pytest.mark.parametrize("setting", TABLE, ids=lambda setting: setting.name)
def test_default_is_in_its_range_and_documented(setting: NumberSetting) -> None:
    assert setting.minimum <= setting.default <= setting.maximum
    assert setting.doc


@pytest.fixture
def job_file(tmp_path: Path) -> Path:
    """Return a file with a valid job and two upstream jobs."""
    values = {name: str(value).lower() if isinstance(value, bool) else repr(value) for name, value in FIELDS.items()}
    path = tmp_path / "job.toml"
    path.write_text(
        "".join(f"{name} = {value}\n" for name, value in values.items()) + 'waits_on = ["run-1", "run-2"]\n'
    )
    return path


def invoke(*arguments: object) -> Result:
    return CliRunner().invoke(main, [str(argument) for argument in arguments])


def test_valid_settings_pass_the_check(tmp_path: Path) -> None:
    config = tmp_path / "valid.toml"
    config.write_text(VALID_SETTINGS)
    assert invoke("check", "--config", config).exit_code == 0


@pytest.mark.parametrize(
    "arguments",
    [
        ["check", "--config", "invalid.toml"],
        ["--config", "invalid.toml"],
        ["serve", "--config", "none"],
        ["show", "--controller", "127.0.0.1:1", "job"],
        ["show", "--controller", "nowhere", "run-1"],
        ["no-such"],
        ["submit", "--controller", "127.0.0.1:1", "incomplete_job.toml"],
        ["submit", "--controller", "127.0.0.1:1", "invalid_upstream.toml"],
    ],
    ids=" ".join,
)
def test_invalid_input_ends_in_exit_code_2(
    arguments: list[str], job_file: Path, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.chdir(tmp_path)
    Path("invalid.toml").write_text("label = 1")
    Path("incomplete_job.toml").write_text('id = "run-1"')
    Path("invalid_upstream.toml").write_text(job_file.read_text().replace('"run-2"', '"the one before"'))
    result = invoke(*arguments)
    assert result.exit_code == 2
    assert "Traceback" not in result.output


def test_command_without_a_reachable_controller_ends_in_exit_code_1(job_file: Path) -> None:
    assert invoke("show", "--controller", "127.0.0.1:1", "run-1").exit_code == 1
    assert invoke("submit", "--controller", "127.0.0.1:1", job_file).exit_code == 1


def test_version_is_printed() -> None:
    assert __version__ in invoke("--version").output


def test_settings_in_force_are_printed(tmp_path: Path) -> None:
    assert invoke("settings").output == read_operator(OPERATOR_FILE).text()
    assert invoke("settings", "--operator", tmp_path / "none").output == OperatorSettings().text()
