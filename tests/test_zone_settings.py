"""The operators' block `zones { }`, and what `zones status` shows."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from cloverplank.cli import main
from cloverplank.settings import BadSettings
from cloverplank.settings.operator import Operator, parse_operator
from cloverplank.settings.zones import ZoneSettings
from cloverplank.state.keys import BlockRecord, NodeRecord
from cloverplank.zones.records import ZoneHealth, ZoneRecord
from cloverplank.zones.status import status_of

from .test_rollout_settings import row
from .test_settings import GOOD


@pytest.mark.parametrize(
    "line, named",
    [
        ("zones { starts_a_second: 0 }", "zones.starts_a_second"),
        ("zones { starts_a_second: -3 }", "zones.starts_a_second"),
        ("zones { pulls_at_once: nan }", "zones.pulls_at_once"),
        ("zones { longest_hold_s: 90 }", "zones.longest_hold_s"),
        ("zones { quiet_s: 1e9 }", "zones.quiet_s"),
        ('zones { step_s: "soon" }', "step_s"),
        ('zones { first: "a" first: "a" }', "class a is given twice"),
        ('zones { first: "a" last: "a" }', "class a is given twice"),
    ],
)
def test_a_bad_field_is_named_in_one_line(line: str, named: str) -> None:
    with pytest.raises(BadSettings) as caught:
        parse_operator(line)
    assert named in str(caught.value) and "\n" not in str(caught.value)


def test_what_is_printed_can_be_read_again() -> None:
    settings = ZoneSettings(True, 12.0, 3.0, 4.0, 50.0, 7, frozenset({"a"}), frozenset({"b", "c"}))
    assert parse_operator(Operator(zones=settings).text()).zones == settings


def test_a_zone_that_the_deployment_does_not_have(tmp_path: Path) -> None:
    config, operator = tmp_path / "c-0.toml", tmp_path / "operator.txtpb"
    config.write_text(GOOD)
    operator.write_text('zones { enabled: true } zone_weight { zone: "nowhere" weight: 2 }')
    found = CliRunner().invoke(main, ["check", "--config", str(config), "--operator", str(operator)])
    assert found.exit_code == 2 and "nowhere is no zone" in found.output and found.output.count("\n") == 1


def test_status_tells_health_holder_and_evidence() -> None:
    rows = [
        row("cp/zone/b", ZoneRecord("b", ZoneHealth.RECOVERING, 5, 25, 6, 2, 4, "1 of 9 machines silent")),
        row("cp/zone/c", {"health": 1}),
        row("cp/block/b", BlockRecord("b", "c-1", 7)),
        row("cp/node/c-1", NodeRecord("b", 7)),
        row("cp/node/c-2", NodeRecord("b", 0)),
    ]
    found = status_of(rows, ["a", "b", "c"])
    assert [zone.health for zone in found.zones] == ["healthy", "recovering", "healthy"]
    assert (found.zones[1].holder, found.zones[1].controllers_there) == ("c-1", ["c-1"])
    text = found.as_text()
    assert "25% of its machines" in text and "lost 2 times in a row" in text and "c: its record can't be read" in text


def test_status_without_a_state_service_is_one_line(tmp_path: Path) -> None:
    config = tmp_path / "c-0.toml"
    config.write_text(GOOD.replace("10.2.0.1:2379", "127.0.0.1:9"))
    found = CliRunner().invoke(main, ["zones", "status", "--config", str(config)])
    assert found.exit_code == 1 and found.output.count("\n") == 1
