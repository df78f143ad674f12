"""Overlapping faults in the simulated world: the rules hold in each combination that broke a rule in operation."""

from __future__ import annotations

import pytest

from tests.simulation.overlapping_faults import (
    FAULTS_OF_ONE_CONTROLLER,
    OVERLAPPING_FAULTS,
    play_overlapping_faults,
    zone_bound_jobs_lose_machines,
    zone_partitioned,
)
from tests.simulation.simulated_day import Scenario, check

NEED_TWO_ZONES = (zone_partitioned, zone_bound_jobs_lose_machines)


def scenario_name(scenario: Scenario) -> str:
    """Return the test id of a scenario."""
    return scenario.__name__


@pytest.mark.parametrize("scenario", OVERLAPPING_FAULTS, ids=scenario_name)
def test_rules_hold_under_overlapping_faults(scenario: Scenario) -> None:
    number = OVERLAPPING_FAULTS.index(scenario)
    zones = 2 if scenario in NEED_TWO_ZONES else 1 + number % 2
    check(play_overlapping_faults(scenario, seed=300 + number, zones=zones))


@pytest.mark.parametrize("scenario", FAULTS_OF_ONE_CONTROLLER, ids=scenario_name)
def test_rules_hold_under_overlapping_faults_of_the_shard_owner(scenario: Scenario) -> None:
    number = FAULTS_OF_ONE_CONTROLLER.index(scenario)
    check(play_overlapping_faults(scenario, seed=400 + number, zones=1 + number % 2, targets_shard_owner=True))
