"""Heartbeats in the simulated world: which ones are answered, by which controller, and what they cost."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from cloverplank.shard.command_planner import MAX_DEFERRED_ACKS
from cloverplank.shard.errors import HeartbeatRefusal, HeartbeatRefusedError
from cloverplank.shard.shard_types import MAX_UNACKNOWLEDGED_RESPONSES
from cloverplank.wire.codec import decode
from cloverplank.wire.workers import Heartbeat, TaskStatus
from tests.shard.conftest import REPLICAS, ServiceCluster
from tests.simulation.loop import run
from tests.simulation.simulated_day import check
from tests.simulation.world import World


def test_new_owner_fences_workers_whose_incarnation_it_does_not_know(run_service) -> None:
    """A former owner that only the store refuses could otherwise respond to workers for seconds.

    Workers reject commands for a wrong incarnation as a whole, including the new owner's token.
    """

    async def scenario(cluster: ServiceCluster) -> None:
        world, former = cluster.world, cluster.owner_name
        world.state.refused_clients = {former}
        for _ in range(200):
            await asyncio.sleep(0.05)
            owners = [c for label, (c, _) in world.controllers.items() if label != former and c.shards]
            if owners:
                break
        await asyncio.sleep(0.5)
        shard = next(iter(owners[0].shards.values()))
        workers = [m for m in world.machines.values() if m.alive and m.up_at <= world.now()]
        assert workers
        assert all(m.token == shard.ownership.token for m in workers)
        check(world)

    run_service(scenario, seed=4)


def test_duplicate_heartbeat_does_not_bring_a_terminated_machine_back(run_service) -> None:
    async def scenario(cluster: ServiceCluster) -> None:
        owner, worker = cluster.owner, cluster.busy_worker
        duplicate = msgspec.msgpack.encode(worker.heartbeat())
        worker.die()
        await asyncio.sleep(25)
        assert worker.released
        for controller, _ in cluster.world.controllers.values():
            assert controller.heartbeat_handler.handle(duplicate).status == 503
        assert worker.id not in next(iter(owner.shards.values())).machines
        check(cluster.world)

    run_service(scenario, seed=5)


def test_heartbeats_without_our_token_are_refused_in_the_end(run_service) -> None:
    """If all were answered, each response might renew a lease, and tasks would never be proven to have ended."""

    async def scenario(cluster: ServiceCluster) -> None:
        shard, worker = cluster.shard, cluster.busy_worker
        first = Heartbeat(worker.id, worker.incarnation, worker.sequence + 1, 0, worker.addr, worker.type, worker.zone)
        following = [
            msgspec.structs.replace(first, sequence=first.sequence + n) for n in range(MAX_UNACKNOWLEDGED_RESPONSES + 1)
        ]
        for heartbeat in following[:-1]:
            shard.on_heartbeat(heartbeat)
        with pytest.raises(HeartbeatRefusedError) as refused:
            shard.on_heartbeat(following[-1])
        assert refused.value.refusal is HeartbeatRefusal.RESPONSES_LOST

    run_service(scenario, seed=7)


def test_unchanged_heartbeat_costs_no_pass_over_tasks_or_jobs(run_service) -> None:
    """With hundreds of machines, most heartbeats contain nothing new and must not be processed in full."""

    async def scenario(cluster: ServiceCluster) -> None:
        world, worker, heartbeat_processor = cluster.world, cluster.busy_worker, cluster.shard.heartbeat_processor
        processed: list[str] = []
        real = heartbeat_processor.apply_status
        heartbeat_processor.apply_status = lambda machine, *args, **options: (
            processed.append(machine.id),
            real(machine, *args, **options),
        )[1]
        before = cluster.shard.machines[worker.id].sequence
        await asyncio.sleep(4 * world.lease_s)
        assert cluster.shard.machines[worker.id].sequence > before + 10
        assert worker.id not in processed
        assert cluster.running() == REPLICAS  # the worker's lease was renewed throughout
        assert (await world.ask("POST", f"/api/jobs/{cluster.spec['id']}/cancel"))[0] == 200
        await asyncio.sleep(5)
        assert worker.id in processed
        assert not any(task.status == "running" for task in worker.tasks.values())
        check(world)

    run_service(scenario, seed=9)


def test_acknowledgements_of_ended_tasks_are_deferred_and_bounded() -> None:
    """Each change on a machine causes one more heartbeat: acknowledging at once would cost one for each task."""

    async def scenario() -> None:
        world = World(seed=10)
        for number in range(8):
            await world.submit(world.job(number, pieces=12, vcpus=2.0))
        max_ended = 0
        for _ in range(240):
            await asyncio.sleep(0.5)
            ended = [sum(t.status == "ended" for t in m.tasks.values()) for m in world.machines.values()]
            max_ended = max([max_ended, *ended])
        assert 1 < max_ended < 3 * MAX_DEFERRED_ACKS
        assert not any(len(m.tasks) > MAX_DEFERRED_ACKS for m in world.machines.values() if m.alive)
        check(world)

    run(scenario())


@pytest.mark.parametrize(
    ("ended", "acknowledged"),
    [
        pytest.param(MAX_DEFERRED_ACKS - 1, 0, id="below limit"),
        pytest.param(MAX_DEFERRED_ACKS, MAX_DEFERRED_ACKS, id="at limit"),
    ],
)
def test_acknowledgements_without_other_commands_are_sent_at_the_limit(
    run_service, ended: int, acknowledged: int
) -> None:
    async def scenario(cluster: ServiceCluster) -> int:
        heartbeat = decode(msgspec.msgpack.encode(cluster.busy_worker.heartbeat()), Heartbeat)
        heartbeat.sequence += 1
        heartbeat.tasks += [TaskStatus(f"run-unknown/{index}", 1, "ended", "done") for index in range(ended)]
        response = cluster.shard.on_heartbeat(heartbeat)
        assert all(command.op == "reap" for command in response.commands)
        return len(response.commands)

    assert run_service(scenario, seed=9) == acknowledged


def test_unassigned_token_does_not_supersede_the_owner_for_long(run_service) -> None:
    """One worker's contradictory message must not keep an owner from responding to all others until it is restarted."""

    async def scenario(cluster: ServiceCluster) -> None:
        world, handler, shard = cluster.world, cluster.owner.heartbeat_handler, cluster.shard
        encoded = {"plank": "m-000900", "stint": 1, "baton": 2**63, "yard": world.zones[0], "build": "small"}
        for number in range(100):
            handler.handle(msgspec.msgpack.encode(encoded | {"tally": number + 1}))
            await asyncio.sleep(0.5)
        assert not shard.ownership.superseded
        assert cluster.running() == REPLICAS
        assert handler.handle(msgspec.msgpack.encode(encoded | {"tally": 200})).status == 503
        check(world)

    run_service(scenario, seed=15)
