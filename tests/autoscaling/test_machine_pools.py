"""Selection of the machines to provision for unmet demands."""

from __future__ import annotations

import pytest

from cloverplank.autoscaling.machine_pools import MachinePool, ScaleOutRules, scale_out_requests
from cloverplank.basic_types import WallTimeMs, Zone
from cloverplank.jobs.records import JobRecord
from cloverplank.scheduling.queue import QueuedJob
from cloverplank.scheduling.quotas import UnmetDemand
from cloverplank.wire.cloud import MachineType
from tests.jobs.test_records import spec

ZONE = Zone("a")
TYPES = {
    "small": MachineType("small", 16.0, 64.0, 0.7, spot_price=0.2, zones=["a"]),
    "large": MachineType("large", 32.0, 256.0, 1.8, spot_price=0.6, zones=["a"]),
}
SMALL_SPOT = MachinePool("small", ZONE, spot=True)
LARGE_SPOT = MachinePool("large", ZONE, spot=True)
SMALL_ON_DEMAND = MachinePool("small", ZONE, spot=False)


def unmet_demand(tasks: int, **fields: object) -> UnmetDemand:
    record = JobRecord(spec(**fields) if fields else spec(vcpus=8.0, ram_gb=26.0, pieces=99), WallTimeMs(0))
    return UnmetDemand(QueuedJob(record, guaranteed=False), ZONE, tasks)


def requested_machines(
    unmet_demands: list[UnmetDemand],
    paused: frozenset[MachinePool] = frozenset(),
    max_on_demand_tasks: int = 0,
    max_machines: int = 100,
) -> dict[MachinePool, int]:
    rules = ScaleOutRules(
        types=TYPES,
        is_paused=lambda pool: pool in paused,
        max_on_demand_tasks=lambda demand: max_on_demand_tasks,
        max_machines=max_machines,
    )
    return {request.pool: request.count for request in scale_out_requests(unmet_demands, rules)}


@pytest.mark.parametrize(
    ("demand", "expected"),
    [
        pytest.param(unmet_demand(5), {SMALL_SPOT: 3}, id="spot instances may be used"),
        pytest.param(unmet_demand(5, loaners=False, vcpus=8.0), {SMALL_ON_DEMAND: 3}, id="on-demand instances only"),
    ],
)
def test_cheapest_pool_per_task_is_requested(demand: UnmetDemand, expected: dict[MachinePool, int]) -> None:
    assert requested_machines([demand]) == expected


def test_paused_pool_gives_way_to_the_next_cheapest() -> None:
    assert requested_machines([unmet_demand(5)], frozenset({SMALL_SPOT})) == {LARGE_SPOT: 2}


@pytest.mark.parametrize(
    ("max_on_demand_tasks", "expected"),
    [
        pytest.param(0, {}, id="none allowed"),
        pytest.param(3, {SMALL_ON_DEMAND: 2}, id="three tasks allowed"),
    ],
)
def test_on_demand_machines_replace_spot_ones_for_allowed_tasks_only(
    max_on_demand_tasks: int, expected: dict[MachinePool, int]
) -> None:
    paused = frozenset({SMALL_SPOT, LARGE_SPOT})
    assert requested_machines([unmet_demand(5)], paused, max_on_demand_tasks=max_on_demand_tasks) == expected


def test_machine_requested_for_one_job_is_filled_up_by_the_next() -> None:
    assert requested_machines([unmet_demand(1), unmet_demand(1)]) == {SMALL_SPOT: 1}


def test_no_more_machines_are_requested_than_allowed() -> None:
    assert requested_machines([unmet_demand(50)], max_machines=4) == {SMALL_SPOT: 4}
