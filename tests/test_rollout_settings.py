"""The operators' block `rollout { }` and what the command line says of bad ones."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner

from cloverplank.cli import OPERATOR_FILE, main
from cloverplank.rollout import status
from cloverplank.rollout.gates import NEWEST_VERSION
from cloverplank.rollout.records import RolloutPhase, RolloutRecord
from cloverplank.settings import BadSettings
from cloverplank.settings.operator import Operator, parse_operator
from cloverplank.settings.rollout import RolloutSettings
from cloverplank.state.keys import NodeRecord
from cloverplank.wire.codec import encode
from cloverplank.wire.statesvc import Row

from .test_settings import GOOD


@pytest.mark.parametrize(
    "line, named",
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
        ("rollout { } rollout { }", "rollout"),
    ],
)
def test_a_bad_field_is_named_in_one_line(line: str, named: str) -> None:
    with pytest.raises(BadSettings) as caught:
        parse_operator(line)
    assert named in str(caught.value) and "\n" not in str(caught.value)


@pytest.mark.parametrize(
    "excused, named",
    [(["c-9"], "c-9 is no controller"), (["c-0", "c-1"], "all controllers"), (["c-1"], None)],
)
def test_excuses_that_make_no_sense_end_the_process(excused: list[str], named: str | None, tmp_path: Path) -> None:
    config, operator = tmp_path / "c-0.toml", tmp_path / "operator.txtpb"
    config.write_text(GOOD)
    operator.write_text("rollout { enabled: true " + " ".join(f'excused: "{name}"' for name in excused) + " }")
    found = CliRunner().invoke(main, ["check", "--config", str(config), "--operator", str(operator)])
    assert found.exit_code == (0 if named is None else 2)
    assert named is None or (named in found.output and found.output.count("\n") == 1)


def test_what_is_printed_can_be_read_again() -> None:
    settings = RolloutSettings(True, 0, "soak", 12.5, frozenset({"c-1", "c-2"}))
    assert parse_operator(Operator(rollout=settings).text()).rollout == settings
    assert parse_operator(Operator().text()).rollout == RolloutSettings()


def test_the_shipped_file_switches_nothing_on_and_costs_no_import() -> None:
    """Importing protobuf takes as long as a third of a start; a file of comments alone does without."""
    assert OPERATOR_FILE.exists()
    code = (
        "import sys; from pathlib import Path; from cloverplank.settings.operator import Operator, read_operator; "
        f"assert read_operator(Path({str(OPERATOR_FILE)!r})) == Operator(); print('google.protobuf' in sys.modules)"
    )
    found = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True, timeout=60)
    assert found.stdout.strip() == "False"


def row(key: str, value: object) -> Row:
    return Row(key, encode(value), 1)


def test_status_tells_phase_controllers_and_what_is_waited_for() -> None:
    rows = [
        row("cp/rollout", RolloutRecord(0, RolloutPhase.PREPARED, 1, 5)),
        row("cp/node/c-0", NodeRecord("a", 7, 1, 0, 1)),
        row("cp/node/c-1", NodeRecord("a", 8)),
        row("cp/node/c-3", {"zone": 1}),
    ]
    found = status.status_of(rows, frozenset({"c-0", "c-1", "c-2"}))
    assert (found.phase, found.version, found.target) == ("prepared", 0, 1)
    assert found.waiting_for == ["c-1: its program does not follow rollouts", "c-2: not there"]
    assert found.unreadable == ["cp/node/c-3"]
    text = found.as_text()
    assert "waiting for: c-2: not there" in text and "can't be read: cp/node/c-3" in text


def test_status_without_usable_settings_is_one_line(tmp_path: Path) -> None:
    bad = tmp_path / "bad.toml"
    bad.write_text("label = 1")
    found = CliRunner().invoke(main, ["rollout", "status", "--config", str(bad)])
    assert found.exit_code == 2 and found.output.count("\n") == 1
