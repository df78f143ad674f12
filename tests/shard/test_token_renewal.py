"""Renewal of a shard's token: its owner goes on with all that it knows of the machines."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from cloverplank.kvstore import keys
from cloverplank.net.messages import Response
from tests.simulation.loop import run
from tests.simulation.network import COMMIT_PATH
from tests.simulation.scenario_actions import shard_owner
from tests.simulation.simulated_day import check
from tests.simulation.world import World

ZONE = "zone-0"
WATCHED_FIRST_S = 0.5  # long enough for the watch to deliver a commit
STARTUP_S = 30.0


class SlowResponseWorld(World):
    """A world in which the responses to commits of a shard's key arrive after the watch has delivered them."""

    slow = False

    async def send(self, src, addr, method, path, body=None, timeout=2.0) -> Response:
        """Carry a request and its response."""
        response = await super().send(src, addr, method, path, body, timeout)
        if self.slow and path == COMMIT_PATH and body:
            writes = msgspec.msgpack.decode(body).get("writes", [])
            if any(write.get("put") == keys.shard(ZONE) for write in writes):
                await asyncio.sleep(WATCHED_FIRST_S)
        return response


# Guards against an owner that takes its own renewal for a new assignment and forgets its machines.
@pytest.mark.parametrize("seed", range(3))
def test_owner_keeps_its_shard_if_the_watch_delivers_the_renewal_before_its_response(seed: int) -> None:
    async def main() -> None:
        world = SlowResponseWorld(seed)
        await world.submit(world.job(1, shape="service", lane="web", rank="prod", loaners=False, pieces=6))
        await asyncio.sleep(STARTUP_S)
        world.slow = True
        owner = world.controllers[shard_owner(world)][0]
        shard = owner.owned.shards[ZONE]
        token = shard.ownership.token
        shard.ownership.token_renewal_wanted = True
        await asyncio.sleep(5.0)
        assert owner.owned.shards[ZONE] is shard
        assert shard.ownership.token > token
        check(world)

    run(main())
