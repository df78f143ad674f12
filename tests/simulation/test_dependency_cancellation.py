"""Cancellation and release of jobs that depend on other jobs."""

from __future__ import annotations

import asyncio

from tests.simulation.job_graphs import chain, query_state, submit_in_turn, submit_once, wait_for_end, wait_until_ready
from tests.simulation.simulated_day import check
from tests.simulation.world import World


async def test_cancellation_propagates_to_all_dependents() -> None:
    world = World(seed=8)
    await wait_until_ready(world)
    specs = chain(world, 1, {"pieces": 4}, {}, {}, {})
    world.durations[specs[0]["id"]] = 60.0
    await submit_in_turn(world, specs)
    await asyncio.sleep(15)
    assert await world.cancel_job(specs[0]["id"]) == "cancelled"
    assert [await wait_for_end(world, spec, 5.0) for spec in specs] == ["cancelled"] * 4
    late = world.job(9, waits_on=[specs[0]["id"]])
    assert (await submit_once(world, late))[1]["status"] == "cancelled"
    later = world.job(10, waits_on=[specs[3]["id"]])
    assert (await submit_once(world, later))[1]["status"] == "cancelled"
    check(world)


async def test_cancelling_a_blocked_job_leaves_its_upstream_running() -> None:
    world = World(seed=9)
    await wait_until_ready(world)
    specs = chain(world, 1, {}, {}, {})
    await submit_in_turn(world, specs)
    assert await world.cancel_job(specs[1]["id"]) == "cancelled"
    assert [await wait_for_end(world, spec) for spec in specs] == ["done", "cancelled", "cancelled"]
    check(world)


async def test_no_answer_is_stale_while_the_leader_cannot_cancel_dependents() -> None:
    """Any controller that is asked derives the cancellation of an upstream job from committed records.

    It commits the cancellation of the dependent job before it reports it, and gives no answer if it cannot commit.
    """
    world = World(seed=10)
    await wait_until_ready(world)
    for controller, _ in world.controllers.values():
        controller.dependency_reconciler._decide = lambda job: None
    specs = chain(world, 1, {"pieces": 4}, {}, {})
    world.durations[specs[0]["id"]] = 200.0
    await submit_in_turn(world, specs)
    await asyncio.sleep(15)
    assert await world.cancel_job(specs[0]["id"]) == "cancelled"
    world.state.outage(True)
    await asyncio.sleep(world.cancel_s + 5)
    world.state.outage(False)
    late = world.job(7, waits_on=[specs[2]["id"]])
    assert await world.submit(late)
    assert await query_state(world, late) == "cancelled"
    assert (await world.ask_checked(specs[2]["id"], "POST", "/api/jobs", specs[2]))[1] == "cancelled"
    for _ in range(20):
        for label in world.labels:
            await world.ask_checked(specs[1]["id"], "GET", f"/api/jobs/{specs[1]['id']}", label=label)
        await asyncio.sleep(0.3)
    assert [await wait_for_end(world, spec, 10.0) for spec in specs] == ["cancelled"] * 3
    check(world)


async def test_controller_with_a_stale_watch_refuses_to_answer_for_blocked_jobs() -> None:
    """The store answers transactions but not the watch: the controller may have missed an upstream cancellation."""
    world = World(seed=13)
    await wait_until_ready(world)
    specs = chain(world, 1, {}, {})
    world.durations[specs[0]["id"]] = 300.0
    await submit_in_turn(world, specs)
    await asyncio.sleep(3)
    controller = world.controllers["c-1"][0]
    path = f"/api/jobs/{specs[1]['id']}"
    assert (await world.ask("GET", path, label="c-1"))[0] == 200
    controller.watch_cache.complete_until -= world.cancel_s
    stale = controller.watch_cache.complete_until
    controller.watch_cache._client.watch = lambda *_: asyncio.sleep(3600)
    await asyncio.sleep(3)
    controller.watch_cache.complete_until = stale
    assert (await world.ask("GET", path, label="c-1"))[0] == 503
    assert (await world.ask("POST", "/api/jobs", specs[1], label="c-1"))[0] == 503
    status, _ = await world.ask("POST", "/api/jobs", world.job(9, waits_on=[specs[1]["id"]]), label="c-1")
    assert status == 503


async def test_blocked_job_is_released_by_the_final_record_of_a_forgotten_upstream_job() -> None:
    """No process has the upstream job in memory: the blocked job was committed just after the upstream check."""
    world = World(seed=11)
    await wait_until_ready(world)
    first = world.job(1, pieces=1, vcpus=1.0)
    await submit_in_turn(world, [first])
    assert await wait_for_end(world, first) == "done"
    second = world.job(2, pieces=1, vcpus=1.0, waits_on=[first["id"]])
    world.rules.submitted.add(second["id"])
    world.rules.submitted_at[second["id"]] = world.now()
    world.rules.accepted.add(second["id"])
    stored = {k: v for k, v in second.items() if k != "waits_on"}
    world.state.revision += 1
    key, value = "cp/wait/run-000002", {"spec": stored, "at": 1_700_000_000_000, "needs": [first["id"]]}
    world.state.items[key] = (value, world.state.revision, None)
    world.state.log.append({"put": key, "value": value, "stamp": world.state.revision})
    for label in world.labels:
        world.spawn(world.restart(label, 0.5))
    assert await wait_for_end(world, second) == "done"
    check(world)


async def test_chain_of_hundreds_of_jobs_completes() -> None:
    world = World(seed=12)
    await wait_until_ready(world)
    specs = chain(world, 1, *[{"pieces": 1, "vcpus": 0.1, "image_gb": 0.0}] * 300)
    for spec in specs:
        world.durations[spec["id"]] = 0.2
    await submit_in_turn(world, specs)
    assert await wait_for_end(world, specs[-1], 1500.0) == "done"
    check(world)
