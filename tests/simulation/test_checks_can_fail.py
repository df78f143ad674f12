"""Breaks each rule on purpose and asserts that its check reports the violation."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from typing import Any

import msgspec
import pytest

from cloverplank.api import users
from cloverplank.jobs import dependencies, records
from cloverplank.jobs.dependencies import DependencyVerdict
from cloverplank.kvstore import controller_lease, linearizable_reader
from cloverplank.kvstore.errors import StoreUnavailableError
from cloverplank.leader import dependency_reconciler
from cloverplank.net.messages import make_response
from cloverplank.scheduling import capacity, quotas
from cloverplank.shard import command_planner, heartbeat_processor, liveness, placement, probing
from cloverplank.shard import machine as machines
from cloverplank.shard import shard as shard_owner
from cloverplank.shard.worker_tokens import WorkerTokens
from cloverplank.wire.users import JobResponse
from tests.simulation.job_graphs import submit_in_turn
from tests.simulation.loop import run
from tests.simulation.repeated_commands import play_with_repeated_commands
from tests.simulation.scenario_actions import cancel_running_jobs, lengthen_tasks, other_controllers
from tests.simulation.scenario_actions import shard_owner as label_of_shard_owner
from tests.simulation.simulated_day import Scenario, day
from tests.simulation.single_faults import shard_owner_alone_reaches_workers, shard_owner_partitioned
from tests.simulation.world import World


def violated_rules(
    fault: Scenario | None = None, zones: int = 1, seed: int = 5, jobs: int = 12, **more: Any
) -> set[str]:
    """Simulate a day and return the names of the rules that were broken."""

    async def play() -> set[str]:
        world = World(seed=seed, zones=zones, **more)
        await day(world, fault, seconds=70, jobs=jobs)
        return set(world.rules.violations)

    return run(play())


async def machines_partitioned(world: World) -> None:
    """Partition up to three machines with tasks from all hosts, five times, for 6 s each."""
    for _ in range(5):
        await asyncio.sleep(6)
        for machine in [m for m in world.machines.values() if m.tasks][:3]:
            world.cut(machine.id, "*")
        await asyncio.sleep(6)
        world.heal()


def test_ran_twice_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(machines.Machine, "tasks_expire_at", lambda self, lease_s, unfenced: self.last_contact_at)
    real = shard_owner.Shard.__init__

    def eager(self, zone, token, services, may_start) -> None:
        limits = msgspec.structs.replace(services.limits, taint_after_s=3.0)
        real(self, zone, token, dataclasses.replace(services, limits=limits), may_start)

    monkeypatch.setattr(shard_owner.Shard, "__init__", eager)
    assert "ran_twice" in violated_rules(machines_partitioned)


def test_start_of_an_acknowledged_attempt_is_detected_and_logged(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """An owner acknowledges attempts under the token that their start commands carried."""
    monkeypatch.setattr(WorkerTokens, "raise_above_starts", lambda self, machine: True)
    with caplog.at_level(logging.INFO, "cloverplank.shard"):
        world = run(play_with_repeated_commands(1))
    assert {"ran_twice", "quota"} & set(world.rules.violations)
    unplaced = [line for line in caplog.messages if line.startswith("unplaced:")]
    assert any("start under token" in line and "acknowledged under token" in line for line in unplaced)


def test_token_that_the_sender_did_not_own_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """An owner takes a token that a later owner may have."""
    monkeypatch.setattr(controller_lease.ControllerLease, "newest_token", lambda self, zone, token: token + 10**6)
    assert "foreign_token" in run(play_with_repeated_commands(0)).rules.violations


def test_quota_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(quotas, "tasks_within_quota", lambda record, cpus, gpus, most: most)
    assert "quota" in violated_rules(jobs=24, capacity=20)


def test_wrong_place_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(capacity, "matches_constraints", lambda spec, type_name, zone, spot: True)
    assert "wrong_place" in violated_rules(zones=2)


def test_ran_cancelled_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    real = command_planner.CommandPlanner.due

    def never_stopping(self, machine):
        due = real(self, machine)
        return msgspec.structs.replace(due, commands=[o for o in due.commands if o.op != "stop"])

    monkeypatch.setattr(command_planner.CommandPlanner, "due", never_stopping)
    assert "ran_cancelled" in violated_rules()


def test_not_done_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    real = records.exit_tasks
    monkeypatch.setattr(
        records, "exit_tasks", lambda ended: real([msgspec.structs.replace(e, done=True) for e in ended])
    )
    assert "not_done" in violated_rules(shard_owner_partitioned) | violated_rules(stop_all_tasks)


async def stop_all_tasks(world: World) -> None:
    """Stop every running task without a command from a controller."""
    for _ in range(20):
        await asyncio.sleep(2)
        for machine in world.machines.values():
            for task in list(machine.tasks.values()):
                if task.status == "running":
                    machine.end_task(task, "stopped", False)


def test_went_back_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    real = users.job_response
    calls = iter(range(10**9))

    def forgetful(job, found):
        return real(job, found) if next(calls) % 2 else JobResponse(job, "pending")

    monkeypatch.setattr(users, "job_response", forgetful)

    async def play() -> set[str]:
        world = World(seed=5)
        spec = world.job(1)
        assert await world.follow(spec) == "done"
        for _ in range(4):
            await world.ask_checked(spec["id"], "GET", f"/api/jobs/{spec['id']}")
        return set(world.rules.violations)

    assert "went_back" in run(play())


def test_forgotten_and_invented_are_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    async def swapped(self, job):
        known = self._watch_cache.store.get(job) is not None
        return make_response(404) if known else make_response(200, JobResponse(job, "pending"))

    monkeypatch.setattr(users.JobRequestHandler, "_get", swapped)

    async def play() -> set[str]:
        world = World(seed=5)
        spec = world.job(1, pieces=7)
        await world.submit(spec)
        for job in (spec["id"], "run-77"):
            for label in world.labels:
                await world.ask_checked(job, "GET", f"/api/jobs/{job}", label=label)
        return set(world.rules.violations)

    assert {"forgotten", "invented"} <= run(play())


def test_job_that_no_controller_answers_for_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """The linearizable reads of all controllers still fail after all faults are over."""

    async def never(self, job):
        raise StoreUnavailableError("stuck")

    async def play() -> set[str]:
        world = World(seed=5)
        await world.submit(world.job(1))
        monkeypatch.setattr(linearizable_reader.LinearizableReader, "read", never)
        await world.check_recovery()
        return set(world.rules.violations)

    assert "forgotten" in run(play())


def test_accepted_job_that_never_runs_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Controllers accept a job and never place its tasks."""
    monkeypatch.setattr(shard_owner.Shard, "place", lambda self, queued_jobs, headroom: None)
    assert "forgotten" in violated_rules(jobs=4)


def test_starved_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Some tasks of a job run, and others wait although machines have free capacity."""
    real = placement.PlacementCycle._place_job

    def only_once(self, view, queued_job, *more):
        if view.record.spec.service and view.record.next_attempt > 1:
            return 0
        return real(self, view, queued_job, *more)

    monkeypatch.setattr(placement.PlacementCycle, "_place_job", only_once)

    async def play() -> set[str]:
        world = World(seed=5)
        await world.submit(world.job(1, shape="service", lane="web", rank="prod", loaners=False, pieces=6))
        await asyncio.sleep(25)
        task = next(t for m in world.machines.values() for t in m.tasks.values())
        machine = next(m for m in world.machines.values() if m.tasks)
        machine.end_task(task, "error")
        await world.check_recovery()
        return set(world.rules.violations)

    assert run(play()) == {"starved"}


def test_start_after_a_confirmed_cancellation_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """A shard owner whose requests the store refuses continues to start the tasks that it placed before."""
    real = controller_lease.ControllerLease.refresh_state

    def active_instead_of_grace(self) -> controller_lease.LeaseState:
        found = real(self)
        return controller_lease.LeaseState.ACTIVE if found is controller_lease.LeaseState.GRACE else found

    monkeypatch.setattr(controller_lease.ControllerLease, "refresh_state", active_instead_of_grace)
    monkeypatch.setattr("cloverplank.jobs.store.JobStore.note_gossiped_cancellation", lambda self, job, now: None)

    async def play() -> set[str]:
        world = World(seed=5)
        spec = world.job(1, shape="service", lane="web", rank="prod", loaners=False, pieces=6)
        await world.submit(spec)
        await asyncio.sleep(25)
        refused = label_of_shard_owner(world)
        world.state.refused_clients = {refused}
        await world.cancel_job(spec["id"], other_controllers(world, refused)[0])
        world.state.outage(True)
        for _ in range(10):
            await asyncio.sleep(1)
            for machine in world.machines.values():
                machine.clear_tasks()
        return set(world.rules.violations)

    assert "started_cancelled" in run(play())


def test_begun_late_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    real = placement.PlacementCycle.run

    async def play() -> set[str]:
        world = World(seed=5)
        monkeypatch.setattr(
            placement.PlacementCycle, "run", lambda self, *more: real(self, *more) if world.now() > 1250 else None
        )
        await world.submit(world.job(1))
        await asyncio.sleep(300)
        return set(world.rules.violations)

    assert "begun_late" in run(play())


async def machines_stop_receiving(world: World) -> None:
    """Partition the inbound side of every live machine from 14 s on; the cloud is down for the first 20 s of this."""
    await asyncio.sleep(14)
    world.cloud.down = True
    world.faults.receives_nothing.update(m.id for m in world.machines.values() if m.alive)
    await asyncio.sleep(20)
    world.cloud.down = False


def test_work_left_on_a_machine_that_receives_nothing_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """A controller that takes heartbeats alone as evidence of health leaves tasks on unreachable machines."""
    assert not violated_rules(machines_stop_receiving)
    real = machines.Machine.apply

    def trusting(self, *args, **options) -> None:
        real(self, *args, **options)
        self.confirm_contact()

    monkeypatch.setattr(machines.Machine, "apply", trusting)
    monkeypatch.setattr(probing.Prober, "start_probe", lambda self, machine: None)
    monkeypatch.setattr(heartbeat_processor, "MAX_UNACKNOWLEDGED_RESPONSES", 10**9)
    monkeypatch.setattr(liveness, "MAX_UNACKNOWLEDGED_RESPONSES", 10**9)
    assert "forgotten" in violated_rules(machines_stop_receiving)


async def cancelled_while_shard_owner_is_isolated(world: World) -> None:
    """Cancel long jobs while their shard owner has contact with its workers only.

    The random cancellations of a simulated day may miss that interval.
    """
    lengthen_tasks(world, 1)
    world.spawn(shard_owner_alone_reaches_workers(world))
    await asyncio.sleep(18.5)
    cancel_running_jobs(world, 3, other_controllers(world, label_of_shard_owner(world))[0])
    await asyncio.sleep(45)


def test_shard_owner_that_never_stops_without_contact_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """A controller never considers its own lease expired."""
    assert not violated_rules(cancelled_while_shard_owner_is_isolated)
    monkeypatch.setattr(
        controller_lease.ControllerLease, "refresh_state", lambda self: controller_lease.LeaseState.ACTIVE
    )
    assert "ran_cancelled" in violated_rules(cancelled_while_shard_owner_is_isolated)


async def submit_pair(world: World, upstream_s: float) -> list[dict]:
    """Submit a job that runs for `upstream_s` seconds, and a job that depends on it."""
    await asyncio.sleep(3.0)
    first = world.job(1)
    world.durations[first["id"]] = upstream_s
    second = world.job(2, waits_on=[first["id"]])
    await submit_in_turn(world, [first, second])
    return [first, second]


def test_too_early_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """The leader releases a blocked job before its upstream job is done."""
    monkeypatch.setattr(dependency_reconciler, "dependency_verdict", lambda states: DependencyVerdict.RELEASE)

    async def play() -> set[str]:
        world = World(seed=5)
        await submit_pair(world, 30.0)
        await asyncio.sleep(20.0)
        return set(world.rules.violations)

    assert "too_early" in run(play())


def test_orphaned_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Neither the leader nor the controller that answers checks the upstream jobs for cancellation."""
    monkeypatch.setattr(dependency_reconciler, "dependency_verdict", lambda states: DependencyVerdict.WAIT)
    monkeypatch.setattr(dependencies, "has_cancelled_upstream", lambda *_: False)

    async def play() -> set[str]:
        world = World(seed=5)
        first, second = await submit_pair(world, 100.0)
        assert await world.cancel_job(first["id"]) == "cancelled"
        await asyncio.sleep(world.cancel_s + 2.0)
        await world.ask_checked(second["id"], "GET", f"/api/jobs/{second['id']}")
        return set(world.rules.violations)

    assert "orphaned" in run(play())
