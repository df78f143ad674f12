"""Status commands, which read committed keys."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from cloverplank.cli import main
from cloverplank.membership import status as controllers_status
from cloverplank.records.cluster import LeaderRecord, NodeRecord, ShardRecord
from cloverplank.records.rollout import RolloutPhase, RolloutRecord
from cloverplank.records.verdicts import VerdictRecord
from cloverplank.records.zones import ZoneHealth, ZoneRecord
from cloverplank.rollout import status as rollout_status
from cloverplank.wire.codec import encode
from cloverplank.wire.kvstore import KeyValue
from cloverplank.zones import status as zones_status
from tests.settings.test_settings import VALID_SETTINGS


def stored(key: str, value: object) -> KeyValue:
    return KeyValue(key, encode(value), 1)


def test_rollout_status_shows_phase_and_reasons_for_waiting() -> None:
    key_values = [
        stored("cp/rollout", RolloutRecord(0, RolloutPhase.PREPARED, 1, 5)),
        stored("cp/node/c-0", NodeRecord("a", 7, 1, 0, 1)),
        stored("cp/node/c-1", NodeRecord("a", 8)),
        stored("cp/node/c-3", {"zone": 1}),
    ]
    status = rollout_status.status_of(key_values, frozenset({"c-0", "c-1", "c-2"}))
    assert status.phase == "prepared"
    assert status.version == 0
    assert status.target == 1
    assert status.waiting_for == ["c-1: its program does not follow rollouts", "c-2: not there"]
    assert status.unreadable == ["cp/node/c-3"]
    text = status.as_text()
    assert "waiting for: c-2: not there" in text
    assert "can't be read: cp/node/c-3" in text


def test_status_with_invalid_settings_fails_in_one_line(tmp_path: Path) -> None:
    config = tmp_path / "invalid.toml"
    config.write_text("label = 1")
    result = CliRunner().invoke(main, ["rollout", "status", "--config", str(config)])
    assert result.exit_code == 2
    assert result.output.count("\n") == 1


def test_zones_status_shows_health_shard_owner_and_controllers() -> None:
    key_values = [
        stored("cp/zone/b", ZoneRecord("b", ZoneHealth.RECOVERING, 5, 25, 6, 2, 4, "1 of 9 machines silent")),
        stored("cp/zone/c", {"health": 1}),
        stored("cp/block/b", ShardRecord("b", "c-1", 7)),
        stored("cp/node/c-1", NodeRecord("b", 7)),
        stored("cp/node/c-2", NodeRecord("b", 0)),
    ]
    status = zones_status.status_of(key_values, ["a", "b", "c"])
    assert [zone.health for zone in status.zones] == ["healthy", "recovering", "healthy"]
    assert status.zones[1].shard_owner == "c-1"
    assert status.zones[1].live_controllers == ["c-1"]
    text = status.as_text()
    assert "25% of its machines" in text
    assert "lost 2 times in a row" in text
    assert "c: its record can't be read" in text


@pytest.mark.parametrize("command", ["rollout", "zones", "controllers"])
def test_status_without_a_store_fails_in_one_line(command: str, tmp_path: Path) -> None:
    config = tmp_path / "c-0.toml"
    config.write_text(VALID_SETTINGS.replace("10.2.0.1:2379", "127.0.0.1:9"))
    result = CliRunner().invoke(main, [command, "status", "--config", str(config)])
    assert result.exit_code == 1
    assert result.output.count("\n") == 1


def test_controllers_status_shows_duties_and_verdicts() -> None:
    key_values = [
        stored("cp/node/c-0", NodeRecord("a", 7)),
        stored("cp/leader", LeaderRecord("c-0", 7)),
        stored("cp/block/a", ShardRecord("a", "c-0", 7)),
        stored("cp/verdict/c-1", VerdictRecord("c-1", 3, 5, 2, "a", "c-0", "silent")),
        stored("cp/verdict/c-0", {"node": 7}),
    ]
    status = controllers_status.status_of(key_values, frozenset({"c-0", "c-1"}))
    assert [(each.present, each.is_leader, each.owned_shards) for each in status.controllers] == [
        (True, True, ["a"]),
        (False, False, []),
    ]
    text = status.as_text()
    assert "block a went to c-0 (2 in a row): silent" in text
    assert "can't be read: cp/verdict/c-0" in text
