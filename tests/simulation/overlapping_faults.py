"""Scenarios of overlapping faults: each is a combination that broke a rule in operation."""

from __future__ import annotations

import asyncio

from cloverplank.leader.shard_assignment import SMALL_CPU_CORES
from tests.simulation.loop import run
from tests.simulation.scenario_actions import (
    busy_machines,
    cancel_running_jobs,
    hang_machines,
    lengthen_tasks,
    other_controllers,
    shard_owner,
    target_controller,
)
from tests.simulation.simulated_day import Scenario, day
from tests.simulation.world import World


async def all_controllers_down_longer_than_a_lease(world: World) -> None:
    """Crash all controllers for longer than a worker lease, 0.3 s after cancellations."""
    lengthen_tasks(world)
    await asyncio.sleep(20)
    cancel_running_jobs(world, 2)
    await asyncio.sleep(0.3)
    for label in world.labels:
        world.spawn(world.restart(label, world.lease_s + world.random.uniform(2.0, 5.0)))


async def controller_reaches_only_workers_and_users(world: World) -> None:
    """Partition a controller from the store and its peers; jobs are cancelled through the other controllers."""
    lengthen_tasks(world)
    await asyncio.sleep(18)
    isolated = target_controller(world)
    for other in ["state", *other_controllers(world, isolated)]:
        world.cut(isolated, other)
    for _ in range(5):
        await asyncio.sleep(3)
        cancel_running_jobs(world, 1, world.random.choice(other_controllers(world, isolated)))
    await asyncio.sleep(25)
    world.heal()


async def task_exits_span_failovers(world: World) -> None:
    """Crash a controller four times so that the tasks of small jobs end before and after a failover."""
    for job, spec in world.jobs.items():
        if spec["shape"] == "batch":
            spec["pieces"] = 2 + len(job) % 2
            for number in range(spec["pieces"]):
                world.durations[f"{job}/{number}"] = world.random.choice([2.0, 15.0, 40.0])
    for _ in range(4):
        await asyncio.sleep(9)
        world.spawn(world.restart(target_controller(world), world.random.choice([0.2, 4.0])))


async def late_heartbeats_of_former_incarnations(world: World) -> None:
    """Deliver late copies of heartbeats while machines hang for up to 11 s and the shard owner crashes."""
    world.faults.late_heartbeat_copy_fraction = 0.6
    for length in (11.0, 6.0, 11.0):
        await asyncio.sleep(10)
        hang_machines(world, busy_machines(world)[:3], length)
        await asyncio.sleep(3)
        world.spawn(world.restart(shard_owner(world), 0.2))
    await asyncio.sleep(15)
    world.faults.late_heartbeat_copy_fraction = 0.0


async def commits_applied_late(world: World) -> None:
    """Drop the responses of commits and apply them after newer ones, while the target crashes and machines fail."""
    await asyncio.sleep(8)
    world.faults.late_commit_fraction = 0.3
    for number in range(4):
        await asyncio.sleep(9)
        cancel_running_jobs(world, 1)
        if number % 2:
            world.spawn(world.restart(target_controller(world), 0.3))
        elif busy_machines(world):
            busy_machines(world)[0].die()
    world.faults.late_commit_fraction = 0.0


async def team_at_its_quota(world: World) -> None:
    """Crash a controller while machines are partitioned and jobs of a team at its quota are cancelled."""
    lengthen_tasks(world, 1)
    await asyncio.sleep(22)
    for machine in busy_machines(world)[::2]:
        world.cut(machine.id, "*")
    world.spawn(world.restart(target_controller(world), 4.0))
    await asyncio.sleep(1)
    cancel_running_jobs(world, 4)
    await asyncio.sleep(12)
    world.heal()


async def machines_unreachable_during_failover(world: World) -> None:
    """Crash a controller while some machines are partitioned and others have an inbound partition."""
    lengthen_tasks(world)
    await asyncio.sleep(20)
    found = busy_machines(world)
    for machine in found[:2]:
        world.cut(machine.id, "*")
    world.faults.receives_nothing.update(m.id for m in found[2:4])
    world.spawn(world.restart(target_controller(world), 0.5))
    await asyncio.sleep(20)
    world.heal()
    world.faults.receives_nothing.clear()


async def cancelled_as_last_task_ends(world: World) -> None:
    """Cancel, query and resubmit each batch job within 0.4 s after its last task ends."""

    async def cancel_at_end(job: str) -> None:
        spec = world.jobs[job]
        names = [f"{job}/{n}" for n in range(spec["pieces"])]
        while not all(name in world.done_tasks for name in names):
            await asyncio.sleep(0.02)
        await asyncio.sleep(world.random.choice([0.0, 0.02, 0.1, 0.25, 0.4]))
        world.spawn(world.cancel_job(job))
        for _ in range(12):
            world.spawn(world.ask_checked(job, "GET", f"/api/jobs/{job}"))
            world.spawn(world.submit(spec))
            await asyncio.sleep(0.03)

    for job, spec in world.jobs.items():
        if spec["shape"] == "batch":
            world.spawn(cancel_at_end(job))
    await asyncio.sleep(0)


async def leader_refused_then_store_outage(world: World) -> None:
    """Cancel jobs while the store refuses one controller; 0.3 to 1.5 s later it is down for all controllers.

    The outage is longer than `cancel_s`. The sequence happens twice, with 6 s of contact in between.
    """
    lengthen_tasks(world, 1)
    for pause in (20.0, 6.0):
        await asyncio.sleep(pause)
        refused = target_controller(world)
        world.state.refused_clients = {refused}
        cancel_running_jobs(world, 3, world.random.choice(other_controllers(world, refused)))
        await asyncio.sleep(world.random.uniform(0.3, 1.5))
        world.state.outage(True)
        world.loop.call_later(14, world.state.refused_clients.clear)
        await asyncio.sleep(world.cancel_s + 6)
        world.state.outage(False)


async def backlog_over_slow_links(world: World) -> None:
    """Delay every message by up to 0.4 s while the submitted jobs exceed the capacity."""
    world.faults.max_link_delay_s = 0.4
    await asyncio.sleep(60)
    world.faults.max_link_delay_s = 0.0


async def machines_send_nothing(world: World) -> None:
    """Partition the outbound side of two machines; direct commands still reach them."""
    lengthen_tasks(world)
    await asyncio.sleep(18)
    world.faults.sends_nothing.update(m.id for m in busy_machines(world)[:2])
    await asyncio.sleep(35)
    world.faults.sends_nothing.clear()


async def store_slow_then_refusing_then_down(world: World) -> None:
    """Delay the store's requests, then let it refuse one controller, then take it down for all controllers."""
    lengthen_tasks(world, 1)
    await asyncio.sleep(14)
    world.faults.max_store_delay_s = 1.5
    cancel_running_jobs(world, 2)
    await asyncio.sleep(8)
    refused = target_controller(world)
    world.state.refused_clients = {refused}
    for _ in range(4):
        cancel_running_jobs(world, 1, world.random.choice(other_controllers(world, refused)))
        await asyncio.sleep(1.2)
    world.state.outage(True)
    await asyncio.sleep(world.cancel_s + 6)
    world.state.outage(False)
    world.state.refused_clients = set()
    world.faults.max_store_delay_s = 0.0


async def delayed_commands(world: World) -> None:
    """Delay commands by 1 to 8 s or lose their responses, while machines hang and jobs are cancelled."""
    await asyncio.sleep(6)
    world.faults.delayed_command_fraction = 0.3
    for length in (4.0, 7.0, 7.5):
        await asyncio.sleep(7)
        hang_machines(world, busy_machines(world)[:4], length)
        cancel_running_jobs(world, 2)
    await asyncio.sleep(10)
    world.faults.delayed_command_fraction = 0.0


async def delayed_heartbeats(world: World) -> None:
    """Delay heartbeats until there is a new leader; they arrive at any controller."""
    await asyncio.sleep(10)
    world.faults.delayed_heartbeat_fraction = 0.25
    for _ in range(3):
        await asyncio.sleep(9)
        world.spawn(world.restart(target_controller(world), 0.4))
    await asyncio.sleep(6)
    world.faults.delayed_heartbeat_fraction = 0.0


async def ten_failovers_in_two_minutes(world: World) -> None:
    """Crash the target controller ten times, twice during an outage of the key-value store."""
    await asyncio.sleep(8)
    for number in range(10):
        if number in (3, 7):
            world.state.outage(True)
            world.loop.call_later(9, world.state.outage, False)
        world.spawn(world.restart(target_controller(world), world.random.choice([0.1, 3.0, 6.0])))
        await asyncio.sleep(11)


async def zone_bound_jobs_lose_machines(world: World) -> None:
    """Fail up to three machines at a time, four times, while every job is bound to one zone."""
    for number, (job, spec) in enumerate(world.jobs.items()):
        spec["yard"] = world.zones[number % len(world.zones)]
        spec["apart"] = False
        world.durations[job] = 25.0
    for _ in range(4):
        await asyncio.sleep(9)
        for machine in busy_machines(world)[:3]:
            machine.die()


async def repeated_failovers_after_full_restart(world: World) -> None:
    """Crash all controllers twice and restart them at different times, then crash the target four times."""
    await asyncio.sleep(16)
    for after in ((0.5, 8.0, 9.0), (6.0, 0.3, 7.0)):
        for label, pause in zip(world.labels, after, strict=True):
            world.spawn(world.restart(label, pause))
        await asyncio.sleep(14)
    for _ in range(4):
        world.spawn(world.restart(target_controller(world), world.random.choice([0.2, 0.9])))
        await asyncio.sleep(3)


async def zone_partitioned(world: World) -> None:
    """Partition a zone with its workers and controllers for longer than a worker lease; cancel jobs outside."""
    lengthen_tasks(world)
    await asyncio.sleep(20)
    world.cut_zone(world.zones[-1])
    for _ in range(3):
        await asyncio.sleep(3)
        cancel_running_jobs(world, 1, "c-0")
    await asyncio.sleep(world.lease_s + 12)
    world.heal()


async def burst_of_cancellations_with_hung_machines(world: World) -> None:
    """Cancel up to six jobs at once while up to four machines hang."""
    lengthen_tasks(world, 1)
    for length in (7.0, 11.0):
        await asyncio.sleep(16)
        hang_machines(world, busy_machines(world)[:4], length)
        cancel_running_jobs(world, 6)


def _invalid_job(world: World, number: int) -> tuple[dict, int]:
    """Create a job that lacks a field or fits no machine, zone or quota; return it with the expected status."""
    spec = world.job(number)
    if number % 2:
        del spec[world.random.choice(["crew", "pieces", "vcpus", "rank", "apart", "marker_s"])]
        return spec, 400
    spec |= world.random.choice(
        [
            {"vcpus": 17.0},
            {"gpus": 1.0},
            {"builds": ["other"]},
            {"crew": "none"},
            {"yard": "nowhere"},
            {"shape": "service", "pieces": 60, "vcpus": 2.0},
        ]
    )
    return spec, 422


async def _submission_status(world: World, spec: dict) -> int:
    """Submit a job, up to 20 times until a controller accepts or refuses it; return the last status."""
    status = 0
    for _ in range(20):
        status, _ = await world.ask("POST", "/api/jobs", spec)
        if status in (200, 201, 400, 422):
            break
        await asyncio.sleep(0.5)
    return status


async def invalid_and_repeated_requests(world: World) -> None:
    """Repeat submissions, cancel completed jobs, and submit jobs that fit nowhere or lack a field."""
    for number in range(501, 531):
        await asyncio.sleep(1.5)
        for job in world.random.sample(sorted(world.rules.accepted), min(3, len(world.rules.accepted))):
            world.spawn(world.submit(world.jobs[job]))
            if world.rules.final_states.get(job) == "done":
                world.spawn(world.cancel_job(job))
        spec, expected = _invalid_job(world, number)
        status = await _submission_status(world, spec)
        if status not in (0, 503, expected):  # 0 and 503: no controller was available to decide
            world.rules.record_violation("accepted_what_cannot_run", f"{spec}: status {status}, expected {expected}")
        del world.jobs[spec["id"]]


OVERLAPPING_FAULTS: list[Scenario] = [
    all_controllers_down_longer_than_a_lease,
    controller_reaches_only_workers_and_users,
    task_exits_span_failovers,
    late_heartbeats_of_former_incarnations,
    commits_applied_late,
    team_at_its_quota,
    machines_unreachable_during_failover,
    cancelled_as_last_task_ends,
    leader_refused_then_store_outage,
    backlog_over_slow_links,
    machines_send_nothing,
    store_slow_then_refusing_then_down,
    delayed_commands,
    delayed_heartbeats,
    ten_failovers_in_two_minutes,
    zone_bound_jobs_lose_machines,
    repeated_failovers_after_full_restart,
    zone_partitioned,
    burst_of_cancellations_with_hung_machines,
    invalid_and_repeated_requests,
]

# Scenarios that target one controller, either the leader or a shard owner.
FAULTS_OF_ONE_CONTROLLER: list[Scenario] = [
    controller_reaches_only_workers_and_users,
    task_exits_span_failovers,
    commits_applied_late,
    team_at_its_quota,
    machines_unreachable_during_failover,
    leader_refused_then_store_outage,
    store_slow_then_refusing_then_down,
    delayed_heartbeats,
    ten_failovers_in_two_minutes,
    repeated_failovers_after_full_restart,
]


def play_overlapping_faults(scenario: Scenario, seed: int, zones: int, *, targets_shard_owner: bool = False) -> World:
    """Simulate a day with a scenario that targets the leader or, with `targets_shard_owner`, a shard owner."""

    async def work() -> World:
        # With few cores, the leader and the shard owner are different controllers.
        world = World(seed=seed, zones=zones, cpu=SMALL_CPU_CORES / 2 if targets_shard_owner else 1.0)
        world.targets_shard_owner = targets_shard_owner
        seconds = 140 if scenario is ten_failovers_in_two_minutes else 110
        jobs = 26 if scenario in (backlog_over_slow_links, team_at_its_quota) else 14
        await day(world, scenario, seconds=seconds, jobs=jobs)
        return world

    return run(work())
