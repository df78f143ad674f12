"""Tests of gossiped suspicions and stored verdicts: bounds, refutation and unreadable values."""

from __future__ import annotations

import asyncio
import logging

import pytest

from cloverplank.basic_types import NodeId
from cloverplank.kvstore import keys
from cloverplank.wire.codec import encode
from cloverplank.wire.gossip import GOSSIP_PATH, GossipMessage, SuspectedPeer
from tests.membership.scenarios import DETECTOR_ENABLED
from tests.simulation.loop import run
from tests.simulation.world import World

PEER_ADDR = "10.0.0.1:8081"  # the address at which c-0 receives gossip


async def start_world(seed: int) -> World:
    world = World(seed, operator=DETECTOR_ENABLED)
    await asyncio.sleep(5)
    return world


def test_only_a_bounded_number_of_suspects_is_taken_from_one_message() -> None:
    async def main() -> None:
        world = await start_world(110)
        detector = world.controllers["c-0"][0].failure_detector
        suspects = [SuspectedPeer(f"x-{n}", n) for n in range(10_000)] + [SuspectedPeer("c-2", 0)]
        message = GossipMessage("c-1", "a", True, {}, suspects=suspects)
        await world.send("c-1", PEER_ADDR, "POST", GOSSIP_PATH, encode(message))
        assert set(detector._votes) == {"c-1", "c-2"}
        assert not detector._votes["c-2"], "a vote beyond the bound was recorded"

    run(main())


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(GossipMessage("x-1", "a", True, {}), id="unknown controller"),
        pytest.param(
            {"node": "c-1", "zone": "a", "state_ok": True, "heard": {}, "incarnation": -4}, id="negative incarnation"
        ),
    ],
)
def test_invalid_message_is_rejected(body: object) -> None:
    async def main() -> None:
        world = await start_world(110)
        response = await world.send("c-1", PEER_ADDR, "POST", GOSSIP_PATH, encode(body))
        assert response.status == 400

    run(main())


def test_suspected_controller_refutes_with_a_later_incarnation() -> None:
    async def main() -> None:
        world = await start_world(111)
        detector = world.controllers["c-0"][0].failure_detector
        before = detector.incarnation
        message = GossipMessage("c-1", "a", True, {}, suspects=[SuspectedPeer("c-0", before)])
        await world.send("c-1", PEER_ADDR, "POST", GOSSIP_PATH, encode(message))
        assert detector.incarnation == before + 1
        await asyncio.sleep(0.5)
        assert world.controllers["c-2"][0].failure_detector._peers[NodeId("c-0")].incarnation == before + 1

    run(main())


@pytest.mark.parametrize(
    "value",
    [
        pytest.param({}, id="empty"),
        pytest.param(None, id="null"),
        pytest.param({"node": "c-1", "incarnation": -1}, id="negative incarnation"),
    ],
)
def test_unreadable_verdict_damps_no_controller(value: object, caplog: pytest.LogCaptureFixture) -> None:
    async def main() -> None:
        world = await start_world(112)
        world.state._commit({"when": [], "writes": [{"put": keys.verdict("c-1"), "value": value}]})
        await asyncio.sleep(3)
        assert not world.controllers["c-0"][0].failure_detector.is_damped(NodeId("c-1"))

    with caplog.at_level(logging.ERROR, "cloverplank.kvstore"):
        run(main())
    assert "cp/verdict/c-1 can't be read" in caplog.text
