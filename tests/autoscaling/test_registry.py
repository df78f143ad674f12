"""The machine registry with machine lists that lag."""

from __future__ import annotations

import pytest

from cloverplank.autoscaling.registry import MachineRegistry
from cloverplank.basic_types import Clock
from cloverplank.wire.cloud import ListedMachine

LIST_LAG_S = 4.0
LISTED = {"m-1": ListedMachine("m-1", "10.0.0.1:1", "small", "a", True, "running", 5.0)}


@pytest.fixture
def registry() -> MachineRegistry:
    registry = MachineRegistry(Clock(lambda: 100.0, lambda: 100.0))
    registry.apply_list(LISTED, LIST_LAG_S)
    return registry


def test_machine_stays_registered_when_a_late_list_leaves_it_out(registry: MachineRegistry) -> None:
    registry.apply_list({}, LIST_LAG_S)
    assert "m-1" in registry.entries


def test_terminated_machine_stays_removed_when_a_late_list_names_it(registry: MachineRegistry) -> None:
    registry.apply_list({}, LIST_LAG_S)
    registry.remove_terminated("m-1")
    registry.apply_list(LISTED, LIST_LAG_S)
    assert "m-1" not in registry.entries
