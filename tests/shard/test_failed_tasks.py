"""Tasks that fail are started again without a loop, wherever there is capacity, in the simulated world."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable, Coroutine
from itertools import pairwise
from typing import Any

import pytest

from cloverplank.scheduling.failure_history import MIN_MACHINES_TO_BLAME_JOB
from cloverplank.shard import placement
from tests.simulation.loop import run
from tests.simulation.recovery import MAX_WAIT_BESIDE_CAPACITY_S
from tests.simulation.simulated_day import check
from tests.simulation.worker import Machine, Task
from tests.simulation.world import World

RUN_S = 2.0
POLL_S = 0.5
MAX_PLAY_S = 300.0
REJOIN_S = 10.0  # a controller has joined and received gossip this long after its start
MAX_BACKOFF_S = 30.0  # the longest pause between two attempts of a job that fails everywhere
WHOLE_MACHINE = 8.0  # the cores of the smaller machine type


class FailingCluster:
    """A simulated cluster in which tasks fail; records the attempts that failed, and how long jobs wait.

    `fails`: returns whether an attempt on a machine fails, given the failed attempts so far.
    """

    def __init__(self, fails: Callable[[FailingCluster, Machine, Task], bool], **world: Any) -> None:
        self.world = World(**world)
        self.world.fails = self._record_failure
        self._fails = fails
        self.failed: list[tuple[float, str, str]] = []  # time, task and machine of each failed attempt
        self.longest_wait_s = 0.0
        self.starts: Counter[str] = Counter()  # by task
        self._check_start = self.world.rules.task_started
        self.world.rules.task_started = self._record_start

    def _record_start(self, name: str, attempt: int, machine: Machine) -> None:
        self.starts[name] += 1
        self._check_start(name, attempt, machine)

    def _record_failure(self, machine: Machine, task: Task) -> bool:
        if not self._fails(self, machine, task):
            return False
        self.failed.append((self.world.now(), task.name, machine.id))
        return True

    def failures_of(self, job: str) -> list[float]:
        """Return the times at which tasks of a job failed."""
        return [failed_at for failed_at, task, _ in self.failed if task.startswith(f"{job}/")]

    async def submit(self, number: int, **more: Any) -> str:
        """Submit a job that may use on-demand machines only, and return its id."""
        spec = self.world.job(number, loaners=False, guess_s=RUN_S, **more)
        self.world.durations[spec["id"]] = RUN_S
        assert await self.world.submit(spec)
        return spec["id"]

    def is_served(self, job: str) -> bool:
        """Return whether every task of a job is done or runs."""
        tasks = self.world.tasks_of(job)
        return all(task in self.world.done_tasks or self.world.rules.running_on.get(task) for task in tasks)

    async def play(self, seconds: float, until_served: str = "") -> None:
        """Let time pass until the job is served, at most `seconds`, and measure waits beside capacity."""
        waiting_since: dict[str, float] = {}
        until = self.world.now() + seconds
        while self.world.now() < until and not (until_served and self.failed and self.is_served(until_served)):
            await asyncio.sleep(POLL_S)
            jobs = self.world.rules.accepted
            waiting = {task for job in jobs for task in self.world._waiting_beside_capacity(job)}
            waiting_since = {task: waiting_since.get(task, self.world.now()) for task in waiting}
            waits = [self.world.now() - since for since in waiting_since.values()]
            self.longest_wait_s = max([self.longest_wait_s, *waits])


def play(work: Coroutine[Any, Any, FailingCluster]) -> FailingCluster:
    """Run a play to its end, and check the rules."""
    cluster = run(work)
    check(cluster.world)
    return cluster


def fails_once(cluster: FailingCluster, machine: Machine, task: Task) -> bool:
    return not cluster.failed and task.name == "run-000001/2"


def fails_always(cluster: FailingCluster, machine: Machine, task: Task) -> bool:
    return task.job == "run-000001"


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    ("of_world", "of_job"),
    [
        pytest.param({"capacity": 1}, {}, id="only_machine_of_the_cloud"),
        pytest.param({"capacity": 6}, {}, id="only_machine_of_the_cluster"),
        pytest.param({"capacity": 2}, {"vcpus": WHOLE_MACHINE, "pieces": 3}, id="two_machines"),
        pytest.param({"capacity": 1, "zones": 2}, {"yard": "zone-0"}, id="only_machine_of_the_zone"),
        pytest.param({"capacity": 1, "zones": 2}, {"apart": True}, id="spread_over_two_zones"),
        pytest.param({"capacity": 1}, {"shape": "service", "rank": "prod"}, id="service"),
        pytest.param({"capacity": 1}, {"shape": "ensemble"}, id="gang"),
    ],
)
def test_task_that_failed_once_is_started_again_on_the_only_machine(
    of_world: dict[str, Any], of_job: dict[str, Any], seed: int
) -> None:
    """Guards against a job that waits forever beside the only machine since it failed there once (review, case 2)."""

    async def work() -> FailingCluster:
        cluster = FailingCluster(fails_once, seed=seed, **of_world)
        job = await cluster.submit(1, **of_job)
        await cluster.play(MAX_PLAY_S, until_served=job)
        assert cluster.is_served(job)
        return cluster

    cluster = play(work())
    assert len(cluster.failed) == 1
    assert cluster.longest_wait_s < MAX_WAIT_BESIDE_CAPACITY_S


@pytest.mark.parametrize("capacity", [1, 2, 6], ids=["one_machine", "two_machines", "six_machines"])
def test_job_that_always_fails_backs_off_and_others_are_served(capacity: int) -> None:
    """Guards against a loop of attempts once a job may use the machines again on which it failed."""

    async def work() -> FailingCluster:
        cluster = FailingCluster(fails_always, seed=1, capacity=capacity)
        await cluster.submit(1, pieces=1)
        await cluster.play(MAX_PLAY_S / 2)
        other = await cluster.submit(2, pieces=4)
        await cluster.play(MAX_PLAY_S / 2)
        assert cluster.world.all_done(other)
        return cluster

    cluster = play(work())
    failures = cluster.failures_of("run-000001")
    late_failures = [failed_at for failed_at in failures if failed_at > cluster.world.now() - MAX_PLAY_S / 2]
    assert 1 <= len(late_failures) <= MAX_PLAY_S / 2 / MAX_BACKOFF_S
    assert cluster.longest_wait_s < MAX_WAIT_BESIDE_CAPACITY_S


def test_job_that_avoids_a_machine_preempts_no_task_there() -> None:
    """Guards against tasks that are stopped again and again for a job that does not use the machine."""

    async def work() -> FailingCluster:
        cluster = FailingCluster(fails_once, seed=1, capacity=1)
        job = await cluster.submit(1, rank="prod", vcpus=WHOLE_MACHINE / 4, pieces=3)
        victims = await cluster.submit(2, crew="blue", rank="idle", vcpus=WHOLE_MACHINE / 2, pieces=4)
        cluster.world.durations[victims] = MAX_PLAY_S
        await cluster.play(MAX_PLAY_S, until_served=job)
        assert cluster.is_served(job)
        return cluster

    cluster = play(work())
    victims = [starts for task, starts in cluster.starts.items() if task.startswith("run-000002/")]
    assert max(victims) <= 2  # its first start, and one after it was preempted for the second attempt of the other job


def fails_on_first_machine(cluster: FailingCluster, machine: Machine, task: Task) -> bool:
    return machine.id == "m-000001"


@pytest.mark.parametrize(
    ("of_world", "of_job"),
    [
        pytest.param({}, {}, id="array"),
        pytest.param({}, {"shape": "service", "rank": "prod"}, id="service"),
        pytest.param({}, {"shape": "ensemble"}, id="gang"),
        pytest.param({"cpu": 0.3}, {}, id="leader_and_owner_are_two_controllers"),
        pytest.param({"zones": 2, "capacity": 1}, {"together": True}, id="other_machine_in_another_zone"),
    ],
)
def test_job_that_fails_repeatedly_on_the_only_machine_gets_another_one(
    of_world: dict[str, Any], of_job: dict[str, Any]
) -> None:
    """Guards against a faulty machine that the leader counts as capacity of a job that never succeeds there."""

    async def work() -> FailingCluster:
        cluster = FailingCluster(fails_on_first_machine, seed=1, **of_world)
        job = await cluster.submit(1, pieces=1, **of_job)
        await cluster.play(MAX_WAIT_BESIDE_CAPACITY_S)
        assert cluster.is_served(job)
        return cluster

    cluster = play(work())
    assert {machine for _, _, machine in cluster.failed} == {"m-000001"}


@pytest.mark.parametrize("capacity", [1, 2, 6], ids=["one_machine", "two_machines", "six_machines"])
@pytest.mark.parametrize("fault", ["shard_owner", "all_controllers_in_turn"])
def test_failures_are_remembered_when_the_owner_changes(fault: str, capacity: int) -> None:
    """Guards against a job that always fails and is retried without a pause, or given machines, by each new owner."""

    async def work() -> tuple[FailingCluster, float]:
        cluster = FailingCluster(fails_always, seed=1, capacity=capacity, cpu=0.3)
        await cluster.submit(1, pieces=1)
        await cluster.play(MAX_PLAY_S)  # until its pauses are the longest
        world = cluster.world
        owner = next(label for label, (controller, _) in world.controllers.items() if controller.shards)
        crashed_at = world.now()
        others = [label for label in world.labels if label != owner]
        for label in [owner] if fault == "shard_owner" else [owner, *others]:
            await world.restart(label, after=20.0)
            await asyncio.sleep(REJOIN_S)
        await cluster.play(MAX_PLAY_S / 2)
        return cluster, crashed_at

    cluster, crashed_at = run(work())
    check(cluster.world)
    failures = cluster.failures_of("run-000001")
    pauses = [later - earlier for earlier, later in pairwise(failures) if later > crashed_at]
    assert pauses
    assert min(pauses) >= MAX_BACKOFF_S  # as under the former owner
    assert cluster.world.cloud.number <= MIN_MACHINES_TO_BLAME_JOB
    assert cluster.longest_wait_s < MAX_WAIT_BESIDE_CAPACITY_S


def test_job_that_is_placed_bit_by_bit_is_not_logged_as_waiting(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a log line that names headroom for a job whose tasks are placed a bounded number a cycle."""
    caplog.set_level(logging.INFO, "cloverplank.shard.waiting_jobs")
    monkeypatch.setattr(placement, "MAX_PLACED_PER_CYCLE", 1)

    async def work() -> FailingCluster:
        cluster = FailingCluster(lambda cluster, machine, task: False, seed=1, scale=10.0, capacity=40)
        job = await cluster.submit(1, pieces=120)
        cluster.world.durations[job] = MAX_PLAY_S
        await cluster.play(MAX_WAIT_BESIDE_CAPACITY_S)
        return cluster

    play(work())
    assert caplog.messages == []
