"""What a controller may do without contact to the store, and how it receives cancellations in that time."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

import msgspec
import pytest
from hypothesis import assume, given
from hypothesis import strategies as st

from cloverplank.basic_types import MAX_CLOCK_DRIFT, JobId, LeaseId, ModRevision
from cloverplank.kvstore.client import StoreClient
from cloverplank.kvstore.controller_lease import ControllerLease, LeaseState, LeaseTimes
from cloverplank.kvstore.errors import OutcomeUnknownError
from cloverplank.net.messages import Response
from cloverplank.settings import InvalidSettingsError
from cloverplank.settings.platform import contact_bound, parse_platform
from cloverplank.wire.kvstore import Transaction, TransactionResponse
from tests.settings.test_settings import VALID_SETTINGS
from tests.simulation.loop import run
from tests.simulation.overlapping_faults import leader_refused_then_store_outage, play_overlapping_faults
from tests.simulation.scenario_actions import cancel_running_jobs, leader, other_controllers, shard_owner
from tests.simulation.simulated_day import check
from tests.simulation.world import SETTINGS, World

STARTED_AFTER_S = 25  # submitted services are running after this time
MAX_STOP_S = 1.0  # longest time from a peer's gossip to the end of the tasks
REPLICAS = 3


async def start_services(world: World, numbers: Iterable[int], replicas: int = REPLICAS) -> list[dict]:
    """Submit services with these numbers and wait until they are running."""
    jobs = [world.job(n, shape="service", pieces=replicas, lane="web", loaners=False) for n in numbers]
    await asyncio.gather(*(world.submit(job) for job in jobs))
    await asyncio.sleep(STARTED_AFTER_S)
    return jobs


def running_tasks(world: World) -> int:
    return sum(len(machines) for machines in world.rules.running_on.values())


def runs(world: World, job: dict) -> bool:
    return any(world.rules.running_on.get(f"{job['id']}/{n}") for n in range(REPLICAS))


@given(st.floats(1, 100), st.floats(2, 200), st.floats(1, 60), st.floats(1, 60))
def test_no_setting_raises_the_contact_bound_above_what_a_cancellation_allows(
    lease_s: float, cancel_s: float, margin_s: float, own_lease_s: float
) -> None:
    """Guards against a contact bound that is never shorter than a controller's lease.

    With a short cancel_s, shard owners then answer workers for too long.
    """
    text = VALID_SETTINGS.replace("lease_s = 8.0", f"lease_s = {lease_s}").replace(
        "cancel_s = 30.0", f"cancel_s = {cancel_s}"
    )
    refusal = None
    try:
        parse_platform(text)
    except InvalidSettingsError as err:
        refusal = str(err)
    if refusal is not None:
        assert cancel_s < lease_s * 1.01 + 2.1
        assert "cancel_s" in refusal
        assume(False)
    bound = contact_bound(cancel_s, lease_s, margin_s, own_lease_s)
    assert bound >= 1.0 - 1e-9
    assert bound + lease_s * (1 + 2 * MAX_CLOCK_DRIFT) <= cancel_s - 1.0 + 1e-9


def test_rules_hold_with_the_smallest_contact_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    """The controller's own lease is no longer than the bound."""
    monkeypatch.setattr(World, "cancel_s", 11.0)
    monkeypatch.setattr("tests.simulation.world.SETTINGS", SETTINGS.replace("cancel_s = 30.0", "cancel_s = 11.0"))

    async def work() -> World:
        world = World(seed=41)
        controller, _ = next(iter(world.controllers.values()))
        assert controller.controller_lease.lease_s <= controller.controller_lease.grace_s < 2.0
        await start_services(world, range(4))
        refused = shard_owner(world)
        world.state.refused_clients = {refused}
        for other in other_controllers(world, refused):
            world.cut(refused, other)
        cancel_running_jobs(world, 2, other_controllers(world, refused)[0])
        await asyncio.sleep(0.5)
        world.state.outage(True)
        await asyncio.sleep(20)
        return world

    world = run(work())
    check(world)
    assert len(world.rules.cancelled_at) == 2


def test_shard_owner_without_a_lease_answers_no_worker() -> None:
    """Guards against a controller without a lease that answers heartbeats until its next scheduling cycle.

    It counts as the owner of its shard if the token of an assignment that does not exist equals one that was never
    changed.
    """

    async def work() -> None:
        world = World(seed=42)
        await start_services(world, [1], replicas=4)
        controller, _ = world.controllers[shard_owner(world)]
        machine = next(machine for machine in world.machines.values() if machine.tasks)
        shard = next(iter(controller.shards.values()))
        controller.controller_lease.lease = None
        controller.controller_lease.state = LeaseState.JOINING
        response = controller.heartbeat_handler.handle(msgspec.msgpack.encode(machine.heartbeat()))
        assert controller.shards
        assert not shard.ownership.superseded
        assert response.status == 421

    run(work())


def test_refused_shard_owner_stops_what_a_peer_says_is_cancelled() -> None:
    """Guards against a shard owner that receives cancellations only from the store.

    If the store refuses it, it starts and continues the tasks of cancelled jobs until the contact bound.
    """

    async def work() -> tuple[float, int]:
        world = World(seed=43)
        jobs = await start_services(world, range(3))
        refused = shard_owner(world)
        world.state.refused_clients = {refused}
        world.state.down = False
        await asyncio.sleep(0.2)
        began = world.now()
        assert await world.cancel_job(jobs[0]["id"], other_controllers(world, refused)[0]) == "cancelled"
        world.state.outage(True)
        while runs(world, jobs[0]) and world.now() < began + 30:
            await asyncio.sleep(0.05)
        took_s = world.now() - began
        left = running_tasks(world)
        await asyncio.sleep(6)
        world.state.outage(False)
        world.state.refused_clients = set()
        await asyncio.sleep(60)
        check(world)
        return took_s, left

    took_s, left = run(work())
    assert took_s < MAX_STOP_S
    assert left == 2 * REPLICAS


def test_wrong_gossip_of_a_cancellation_has_no_lasting_effect() -> None:
    """Gossip of a cancellation stops tasks, but for no longer than the store does not answer."""

    async def work() -> None:
        world = World(seed=44)
        [job] = await start_services(world, [1])
        for controller, _ in world.controllers.values():
            controller.store.note_gossiped_cancellation(JobId(job["id"]), controller._environment.clock.monotonic())
        await asyncio.sleep(0.3)
        assert running_tasks(world) == 0
        await asyncio.sleep(10)
        assert running_tasks(world) == REPLICAS
        assert (await world.ask("GET", f"/api/jobs/{job['id']}"))[1]["status"] == "running"

    run(work())


class LeaseRecorder:
    """Records the leases that a client was granted and has revoked; the first join gets no response."""

    def __init__(self, client: StoreClient) -> None:
        self.granted: list[LeaseId] = []
        self.revoked: list[LeaseId] = []
        self._grant, self._revoke, self._commit = client.grant_lease, client.revoke_lease, client.commit
        client.grant_lease, client.revoke_lease, client.commit = self.grant, self.revoke, self.commit

    async def grant(self, ttl_s: float) -> LeaseId:
        self.granted.append(await self._grant(ttl_s))
        return self.granted[-1]

    async def revoke(self, lease: LeaseId) -> None:
        self.revoked.append(lease)
        await self._revoke(lease)

    async def commit(self, transaction: Transaction, **options: float) -> TransactionResponse:
        if len(self.granted) == 1 and transaction.conditions[0].key.startswith("cp/node/"):
            raise OutcomeUnknownError("no response")
        return await self._commit(transaction, **options)


def test_join_without_a_response_leaves_no_lease_that_could_be_registered_late() -> None:
    """Guards against a join that is executed late and replaces the controller's current lease in its record.

    The record then names a lease that is not renewed, and a new shard owner takes that as proof that the former owner
    has ended.
    """

    async def work() -> set[LeaseId]:
        world = World(seed=45)
        await asyncio.sleep(3)
        controller, _ = world.controllers["c-1"]
        controller.controller_lease._expire("for the test")
        leases = LeaseRecorder(controller.client)
        await asyncio.sleep(5)
        assert controller.controller_lease.lease == leases.granted[-1]
        assert len(leases.granted) >= 2
        return {leases.granted[0]} - set(leases.revoked)

    assert not run(work())


def test_cancelled_tasks_continue_without_the_contact_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shows that the simulation detects a missing contact bound.

    Without the bound, and without a peer's gossip of the cancellation, the tasks of a cancelled job continue to run.
    With them, the simulation of the same overlapping faults has never found a violation.
    """
    init = ControllerLease.__init__

    def unbounded(self: ControllerLease, *args: object, times: LeaseTimes, **options: object) -> None:
        init(self, *args, times=LeaseTimes(lease_s=times.lease_s, grace_s=1000.0), **options)

    monkeypatch.setattr(ControllerLease, "__init__", unbounded)
    monkeypatch.setattr("cloverplank.jobs.store.JobStore.note_gossiped_cancellation", lambda self, job, now: None)
    # The store has to refuse a shard owner, since shard owners answer workers; the leader by itself answers none.
    assert (
        "ran_cancelled"
        in play_overlapping_faults(leader_refused_then_store_outage, 308, 1, targets_shard_owner=True).rules.violations
    )


class UnreliableStore:
    """Makes half of the watches hang, delays all responses, and answers some watches with a compacted change log."""

    def __init__(self, world: World, client: StoreClient) -> None:
        self._random = world.random
        self._request = client._request
        client._request = self.request

    async def request(self, method: str, path: str, body: object = None, timeout: float = 2.0) -> Response:
        if path.startswith("/watch") and self._random.random() < 0.5:
            await asyncio.sleep(timeout)
            raise OutcomeUnknownError("hangs")
        response = await self._request(method, path, body, timeout)
        await asyncio.sleep(self._random.uniform(0.0, 1.2))
        if path.startswith("/watch") and self._random.random() < 0.1:
            response.status = 410
        return response


def commit_key(world: World, key: str) -> ModRevision:
    """Write a key in the store as if another client had written it."""
    world.state.revision += 1
    world.state.items[key] = ({}, world.state.revision, None)
    world.state.log.append({"put": key, "value": {}, "stamp": world.state.revision})
    world.state.changed.set()
    return ModRevision(world.state.revision)


@pytest.mark.parametrize("seed", [1, 2])
def test_every_change_committed_before_the_last_contact_is_known(seed: int) -> None:
    """The time of the last contact is when a request was sent, regardless of when which responses arrive."""

    async def work() -> None:
        world = World(seed=50 + seed)
        await asyncio.sleep(5)
        controller, _ = world.controllers[other_controllers(world, leader(world))[0]]
        UnreliableStore(world, controller.client)
        committed: list[tuple[float, ModRevision]] = []
        for number in range(60):
            await asyncio.sleep(0.5)
            mod_revision = commit_key(world, f"cp/types{number}")
            committed.append((controller._environment.clock.monotonic(), mod_revision))
            last_contact_at = controller.controller_lease.last_contact_at()
            known = controller.watch_cache.revision
            assert all(revision <= known for committed_at, revision in committed if committed_at < last_contact_at)
        assert controller.controller_lease.last_contact_at() > committed[20][0]

    run(work())
