"""Processes that don't support the committed version, unreadable keys, and the conditions of writes."""

from __future__ import annotations

import asyncio
import logging

import msgspec
import pytest

from cloverplank.kvstore import keys
from cloverplank.records.rollout import RolloutPhase, RolloutRecord
from tests.rollout.scenarios import CONTROLLERS, operator, wait_for_phase
from tests.simulation.loop import run
from tests.simulation.world import World


def put(world: World, key: str, value: object) -> None:
    """Write a key directly to the store, as a program of another version would."""
    world.state._commit({"when": [], "writes": [{"put": key, "value": value}]})


FUTURE = {"version": 7, "phase": "finalized", "target": 7, "since": 0, "controllers": {}, "excused": []}


@pytest.mark.parametrize(
    ("key", "value"),
    [
        (keys.ROLLOUT, FUTURE),
        (keys.ROLLOUT, FUTURE | {"version": -1}),
        (keys.ROLLOUT, FUTURE | {"phase": "tomorrow"}),
        (keys.ROLLOUT, {}),
        (keys.ROLLOUT, None),
        (keys.FORMAT, {"version": 9}),
        (keys.FORMAT, {"version": "1"}),
        (keys.node("c-0"), {"zone": "zone-0", "lease": 1.5}),
    ],
    ids=[
        "later version",
        "negative version",
        "unknown phase",
        "empty rollout",
        "null rollout",
        "later format",
        "text for format version",
        "unreadable node",
    ],
)
def test_process_that_cannot_read_the_version_does_not_join(
    key: str, value: object, caplog: pytest.LogCaptureFixture
) -> None:
    """A process that does not join logs the reason once, is not ready, retries, and leaves the key unchanged."""

    async def work() -> None:
        world = World(61, operator=operator())
        for label in CONTROLLERS:
            world.crash(label)
        await asyncio.sleep(6)
        put(world, key, value)
        world.start("c-0")
        await asyncio.sleep(5)
        controller = world.controllers["c-0"][0]
        assert controller.controller_lease.lease is None
        assert not controller.router.ready()
        assert not controller.shards
        assert (await world.ask("GET", "/api/jobs/run-000001", label="c-0"))[0] == 503
        assert world.state.items[key][0] == value
        world.state._commit({"when": [], "writes": [{"delete": key}]})
        await asyncio.sleep(5)
        assert controller.controller_lease.lease is not None
        assert controller.router.ready()

    with caplog.at_level(logging.ERROR, "cloverplank.rollout"):
        run(work())
    assert sum("not joining" in line for line in caplog.messages) == 1


def test_controllers_end_their_leases_at_a_later_version() -> None:
    async def work() -> None:
        world = World(62, operator=operator())
        await asyncio.sleep(10)
        put(world, keys.ROLLOUT, FUTURE)
        await asyncio.sleep(5)
        for controller, _ in world.controllers.values():
            assert controller.controller_lease.lease is None
            assert not controller.router.ready()
        assert not [key for key in world.state.items if key.startswith(keys.NODES)]

    run(work())


def test_unreadable_rollout_key_stops_the_rollout_but_no_jobs(caplog: pytest.LogCaptureFixture) -> None:
    async def work() -> None:
        world = World(63, operator=operator())
        await wait_for_phase(world, 0, RolloutPhase.SOAK)
        put(world, keys.ROLLOUT, {"version": "soon"})
        spec = world.job(1)
        assert await world.follow(spec) == "done"
        assert world.state.items[keys.ROLLOUT][0] == {"version": "soon"}

    with caplog.at_level(logging.INFO, "cloverplank.rollout"):
        run(work())
    assert "cp/rollout can't be read" in caplog.text


def test_only_the_format_is_announced_without_staged_rollouts() -> None:
    async def work() -> None:
        world = World(64)
        await asyncio.sleep(10)
        assert world.state.items[keys.FORMAT][0] == {"version": 1}
        assert keys.ROLLOUT not in world.state.items

    run(work())


def test_plain_writes_are_not_conditional_on_the_gate() -> None:
    async def work() -> None:
        world = World(65, operator=operator())
        await wait_for_phase(world, 1, RolloutPhase.FINALIZED)
        requests: list[dict] = []
        commit = world.state._commit
        world.state._commit = lambda body: requests.append(body) or commit(body)
        assert await world.follow(world.job(1)) == "done"
        writes = [body for body in requests if any(w.get("put") == keys.job("run-000001") for w in body["writes"])]
        assert writes
        assert not any(c["path"] in (keys.ROLLOUT, keys.FORMAT) for body in writes for c in body["when"])

    run(work())


def test_largest_rollout_record_fits_in_the_smallest_value() -> None:
    names = {f"controller-{n:02d}": 2**40 + n for n in range(20)}
    record = RolloutRecord(3, RolloutPhase.SOAK, 4, 2**41, names, sorted(names))
    assert len(msgspec.json.encode(record)) < 2048
