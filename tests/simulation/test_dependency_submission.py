"""Submission of jobs that name upstream jobs: acceptance, refusal and the order of execution."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from tests.simulation.job_graphs import (
    diamond,
    query_state,
    submit_in_turn,
    submit_once,
    wait_for_end,
    wait_until_ready,
)
from tests.simulation.simulated_day import check
from tests.simulation.world import World


async def submission_status(world: World, spec: dict, label: str) -> int:
    """Submit a job to one controller, up to 40 times while it responds 503; return the last status."""
    for _ in range(40):
        status, _ = await world.ask("POST", "/api/jobs", spec, label)
        if status != 503:
            return status
        await asyncio.sleep(1.0)
    return 503


async def test_diamond_runs_in_order_and_blocked_jobs_hold_nothing() -> None:
    world = World(seed=3)
    await wait_until_ready(world)
    specs = diamond(world, 1)
    await submit_in_turn(world, specs)
    assert [await query_state(world, spec) for spec in specs[1:]] == ["pending"] * 3
    for controller, _ in world.controllers.values():
        assert not {spec["id"] for spec in specs[1:]} & controller.store.jobs.keys()
    assert [await wait_for_end(world, spec) for spec in specs] == ["done"] * 4
    check(world)


async def test_submission_names_only_accepted_jobs_that_end() -> None:
    """Upstream jobs may be done, blocked or of another team, but not unknown, a service, or the job itself."""
    world = World(seed=4)
    await wait_until_ready(world)
    done = world.job(1, pieces=1, vcpus=1.0)
    service = world.job(2, shape="service", rank="prod", pieces=1, loaners=False)
    await submit_in_turn(world, [done, service])
    assert await wait_for_end(world, done) == "done"
    other_team = world.job(3, crew="blue", pieces=1, waits_on=[done["id"], done["id"]])
    assert (await submit_once(world, other_team))[0] == 201
    assert await wait_for_end(world, other_team) == "done"
    waiting = world.job(4, waits_on=[])
    assert (await submit_once(world, waiting))[0] == 201
    on_waiting = world.job(5, waits_on=[waiting["id"]])
    assert (await submit_once(world, on_waiting))[0] == 201
    for number, needs in enumerate((["run-999999"], [service["id"]], ["run-000010"])):
        status, value = await world.ask("POST", "/api/jobs", world.job(10 + number, waits_on=needs))
        assert status == 422
        assert "waits_on" in value["error"]
    status, _ = await world.ask("POST", "/api/jobs", world.job(20, waits_on=["run-000020"]))
    assert status == 422
    check(world)


MALFORMED_NAMES = ["run-000001", {"a": 1}, [["run-000001"]], [1], ["train"], ["run-"], [None], 7, True]


@pytest.mark.parametrize("needs", MALFORMED_NAMES, ids=repr)
async def test_malformed_upstream_names_are_refused(needs: Any) -> None:
    world = World(seed=5)
    await wait_until_ready(world)
    assert (await world.ask("POST", "/api/jobs", world.job(1, waits_on=needs)))[0] == 400
    good = world.job(2, pieces=1)
    await submit_in_turn(world, [good])
    # The job is already accepted: the first submission stands, whatever a repeated submission contains.
    assert (await world.ask("POST", "/api/jobs", good | {"waits_on": needs}))[0] == 200
    assert (await world.ask("POST", "/api/jobs", good | {"waits_on": ["run-999999"]}))[0] == 200


async def test_too_many_upstream_jobs_are_refused_after_done_ones_are_dropped() -> None:
    """The record must fit the announced lower limit of the store; duplicates and completed jobs do not count."""
    world = World(seed=6, coming_limits=True)
    await wait_until_ready(world)
    first = world.job(1, pieces=1)
    world.durations[first["id"]] = 500.0
    await submit_in_turn(world, [first])
    done = [f"run-{number:06d}" for number in range(100, 300)]
    for name in done:
        world.state.items[f"cp/fin/{name}"] = ({"phase": "done", "tasks": 1}, 1, None)
    assert await world.submit(world.job(2, pieces=1, waits_on=[*done, *[first["id"]] * 3000]))
    blocked = [f"run-{number:06d}" for number in range(1000, 1200)]
    for number, name in enumerate(blocked, start=1000):
        spec = {field: value for field, value in world.job(number).items() if field != "waits_on"}
        world.state.items[f"cp/wait/{name}"] = ({"spec": spec, "at": 1, "needs": [first["id"]]}, 1, None)
    assert not await world.submit(world.job(3, pieces=1, waits_on=blocked))
    for label in world.labels:  # each controller reads the upstream jobs itself and responds 503 until then
        assert await submission_status(world, world.jobs["run-000003"], label) == 400
    assert not world.state.refused_commits


async def test_submission_is_refused_at_once_during_a_store_outage() -> None:
    world = World(seed=7)
    await wait_until_ready(world)
    first = world.job(1, pieces=1)
    await submit_in_turn(world, [first])
    world.state.outage(True)
    await asyncio.sleep(1.0)
    began = world.now()
    status, _ = await world.ask("POST", "/api/jobs", world.job(2, waits_on=[first["id"]]))
    assert status == 503
    assert world.now() - began < 0.5
