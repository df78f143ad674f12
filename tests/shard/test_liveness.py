"""Liveness tracking in the simulated world: dead machines, one-way partitions, and isolated owners."""

from __future__ import annotations

import asyncio
import logging
import re
from collections.abc import Awaitable, Callable

import pytest

from cloverplank.basic_types import NEVER, MonotonicTime
from cloverplank.net.messages import NoFreeSocketError
from cloverplank.shard.machine import Health
from tests.shard.conftest import REPLICAS, ServiceCluster, running_tasks
from tests.simulation.loop import run
from tests.simulation.simulated_day import check
from tests.simulation.world import World

MAX_WAIT_S = 80.0


@pytest.fixture
def down_time_after(run_service) -> Callable[[Callable[[ServiceCluster], Awaitable[None]]], float]:
    """Measure for how many seconds replicas are missing after a fault."""

    def measure(fault: Callable[[ServiceCluster], Awaitable[None]]) -> float:
        async def scenario(cluster: ServiceCluster) -> float:
            world = cluster.world
            fault_at = world.now()
            await fault(cluster)
            while world.now() < fault_at + MAX_WAIT_S:
                await asyncio.sleep(0.2)
                if cluster.running() == REPLICAS:
                    check(world)
                    return world.now() - fault_at
            return MAX_WAIT_S

        return run_service(scenario, seed=3)

    return measure


def test_lost_machine_is_terminated_before_its_lease_expires(down_time_after) -> None:
    """Guards against replacing its replicas only after the lease: a termination proves at once that they have ended."""

    async def die(cluster: ServiceCluster) -> None:
        next(m for m in cluster.world.machines.values() if m.tasks).die()
        await asyncio.sleep(0.1)

    assert down_time_after(die) < World.lease_s


def test_machine_lost_in_a_failover_has_no_lease_counted_from_later_than_the_former_owner(down_time_after) -> None:
    """Guards against tasks that are missing for the former owner's grace period and the lease on top."""

    async def die_with_the_owner(cluster: ServiceCluster) -> None:
        world = cluster.world
        world.spawn(world.restart(cluster.owner_name, 3.0))
        next(m for m in world.machines.values() if m.tasks).die()
        world.cloud.down = True  # so that no termination can prove that the tasks have ended
        await asyncio.sleep(0.1)

    # Failover (4 s), then a lease from the restart of the former owner's process, then a new machine.
    assert down_time_after(die_with_the_owner) < 30.0


def test_eviction_is_logged_with_the_tasks_and_the_proof_that_they_have_ended(
    run_service, caplog: pytest.LogCaptureFixture
) -> None:
    """Without these, the logs of a run in which a task runs twice do not show on what proof it was evicted."""
    caplog.set_level(logging.INFO, "cloverplank.shard.evictions")

    async def scenario(cluster: ServiceCluster) -> None:
        cluster.world.cloud.down = True
        cluster.busy_worker.die()
        await asyncio.sleep(2 * World.lease_s)

    run_service(scenario, seed=3)
    assert re.search(
        r"eviction: machine m-\d{6} tainted, token \d+, fenced, shown token \d+ in incarnation 1, "
        r"lease expires in -\d+\.\d s: 1 jobs: run-000001/[\d,-]+ attempt 1$",
        caplog.text,
        re.MULTILINE,
    ), caplog.text


@pytest.mark.parametrize("cloud_down", [False, True], ids=["cloud up", "cloud down"])
def test_machine_in_inbound_partition_loses_its_tasks_and_is_terminated(run_service, cloud_down: bool) -> None:
    """The lease expires again and again while heartbeats make the machine look healthy: its job would wait there."""

    async def scenario(cluster: ServiceCluster) -> None:
        world, worker = cluster.world, cluster.busy_worker
        world.faults.receives_nothing.add(worker.id)
        world.cloud.down = cloud_down
        await asyncio.sleep(50)
        elsewhere = sum(len(machines - {worker.id}) for machines in world.rules.running_on.values())
        assert not worker.tasks
        assert not cluster.shard.state.store.jobs_on(worker.id)  # evicted, because its new incarnation shows no tasks
        assert cloud_down or elsewhere == REPLICAS
        world.cloud.down = False
        await asyncio.sleep(30)
        assert worker.released
        assert cluster.running() == REPLICAS
        check(world)

    run_service(scenario, seed=6)


def test_probe_without_a_free_socket_says_nothing_of_the_machine(run_service, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an owner that runs short of sockets and gives up healthy machines."""

    async def scenario(cluster: ServiceCluster) -> None:
        shard = cluster.shard
        machine = shard.machines[cluster.busy_worker.id]

        async def no_socket(*args, **options) -> None:
            raise NoFreeSocketError("no free connection")

        monkeypatch.setattr(shard.task_reconciler._http, "request", no_socket)
        machine.contact_confirmed = False
        shard._prober._in_flight += 1
        await shard._prober.probe(machine)
        assert machine.lost_since is None

    run_service(scenario, seed=8)


@pytest.mark.parametrize(("others", "is_isolated"), [(1, False), (60, True)], ids=["few machines", "many machines"])
def test_owner_just_cut_off_from_its_workers_detects_isolation(run_service, others: int, is_isolated: bool) -> None:
    """Guards against terminating healthy machines (47 on a simulated day) when no heartbeat and no response arrives."""

    async def scenario(cluster: ServiceCluster) -> tuple[bool, bool]:
        shard = cluster.shard
        now = shard.state.clock.monotonic()
        for number in range(others):
            shard.state.get_or_add_machine(f"m-x{number}").health = Health.UP
        shard.state.last_heartbeat_at = MonotonicTime(now - 0.1)
        just_cut_off = shard._prober.receives_no_heartbeats_since(now)
        shard.state.last_heartbeat_at = MonotonicTime(now + 0.5)
        return just_cut_off, shard._prober.receives_no_heartbeats_since(now)

    just_cut_off, with_other_heartbeats = run_service(scenario, seed=11)
    assert just_cut_off is is_isolated
    assert not with_other_heartbeats


def test_new_owner_evicts_machines_terminated_before_the_failover(run_service, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a job that waits indefinitely because an eviction was lost with the former owner.

    All controllers know of the termination, so none of them checks the machine again.
    """

    async def scenario(cluster: ServiceCluster) -> None:
        world, owner, worker = cluster.world, cluster.owner, cluster.busy_worker
        monkeypatch.setattr(cluster.shard._evictions, "evict", lambda name, reason: None)
        monkeypatch.setattr(cluster.shard._liveness, "_evict", lambda name, reason: None)
        worker.die()
        await asyncio.sleep(12)
        assert worker.released
        assert cluster.running() < REPLICAS
        await world.restart(owner.controller_lease.node_id, 0.3)
        await asyncio.sleep(25)
        assert cluster.running() == REPLICAS
        check(world)

    run_service(scenario, seed=12)


@pytest.mark.parametrize("cloud_down", [False, True], ids=["cloud up", "cloud down"])
def test_machine_in_outbound_partition_loses_its_tasks_and_is_terminated(cloud_down: bool) -> None:
    """Guards against a machine that counts as healthy because commands reach it, although its heartbeats do not arrive.

    It would be given its tasks again after each lease expiry, and none of them would run for longer than a lease.
    """

    async def scenario() -> None:
        world = World(seed=13)
        spec = world.job(1, shape="service", lane="web", rank="prod", loaners=False, pieces=REPLICAS)
        await world.submit(spec)
        array = world.job(2, pieces=2, marker_s=2.0, stow_s=0.5)
        world.durations[array["id"]] = 300.0
        await world.submit(array)
        while running_tasks(world) < REPLICAS + 2:
            await asyncio.sleep(1)
        worker = next(
            m for m in world.machines.values() if any(t.name.startswith(array["id"]) for t in m.tasks.values())
        )
        world.faults.sends_nothing.add(worker.id)
        world.cloud.down = cloud_down
        partitioned_at = world.now()
        while world.now() < partitioned_at + 60 and (worker.tasks if cloud_down else not worker.released):
            await asyncio.sleep(0.1)
        assert world.now() - partitioned_at < world.lease_s * (1.6 if cloud_down else 1.1)
        await asyncio.sleep(3 * world.lease_s)
        assert not [t for t in worker.tasks.values() if t.status == "running"]
        world.cloud.down = False
        await asyncio.sleep(30)
        assert running_tasks(world) == REPLICAS + 2
        assert worker.released
        check(world)

    run(scenario())


def test_outbound_partition_is_detected_among_many_machines() -> None:
    """Guards against partitioned machines that keep their tasks' places indefinitely.

    Where many machines send heartbeats, one does so within a second. That none arrives at the very moment of a check
    must not be taken for a sign of the owner's isolation.
    """

    async def scenario() -> None:
        world = World(seed=16, capacity=60, scale=12.0)
        specs = [
            world.job(
                n,
                shape="service",
                lane="web",
                rank="prod",
                loaners=False,
                pieces=12,
                vcpus=4.0,
                crew="red" if n % 3 else "blue",
            )
            for n in range(9)
        ]
        await asyncio.gather(*(world.submit(s) for s in specs))
        await asyncio.sleep(30)
        busy = [m for m in world.machines.values() if m.tasks]
        assert len(busy) > 16
        assert running_tasks(world) == 108
        world.faults.sends_nothing.update(m.id for m in busy[:3])
        partitioned_at = world.now()
        while world.now() < partitioned_at + 40 and not all(m.released for m in busy[:3]):
            await asyncio.sleep(0.2)
        assert world.now() - partitioned_at < 1.1 * world.lease_s
        await asyncio.sleep(20)
        assert running_tasks(world) == 108
        check(world)

    run(scenario())


@pytest.mark.parametrize(
    ("last_heartbeat_age_s", "min_lost", "max_lost"),
    [pytest.param(5.0, 0, 0, id="isolated owner"), pytest.param(0.0, 11, 40, id="owner receives others")],
)
def test_outbound_partition_is_not_assumed_by_an_isolated_owner(
    run_service, last_heartbeat_age_s: float, min_lost: int, max_lost: int
) -> None:
    """No heartbeats arrive at all, and probes get responses: heartbeats may fail to reach only the owner itself."""

    async def scenario(cluster: ServiceCluster) -> int:
        shard, state = cluster.shard, cluster.shard.state
        now = state.clock.monotonic()
        for number in range(30):
            machine = state.get_or_add_machine(f"m-x{number}")
            machine.health, machine.last_contact_at = Health.SUSPECT, now
            machine.last_heartbeat_at = machine.added_at = MonotonicTime(now - cluster.world.lease_s)
            machine.probing = True  # no probes in this test
        shard.ownership.since = MonotonicTime(now - 100.0)
        state.last_heartbeat_at = MonotonicTime(now - last_heartbeat_age_s)
        shard._liveness._checked_at = NEVER
        shard.check_machines()
        return sum(machine.lost_since is not None for machine in shard.machines.values())

    assert min_lost <= run_service(scenario, seed=14) <= max_lost
