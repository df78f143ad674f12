"""Staged rollouts, retreats and absent controllers in the simulated world; its invariants are checked continuously."""

from __future__ import annotations

import asyncio
import logging

import pytest

from cloverplank.kvstore import keys
from cloverplank.records.cluster import NO_LEASE
from cloverplank.records.rollout import RolloutPhase
from tests.rollout.scenarios import (
    ONE_TASK_MACHINES,
    committed,
    operator,
    play,
    roll_back,
    set_goal,
    stored_compact,
    upgrade,
    wait_for_phase,
    wide_job,
)
from tests.simulation.world import World


async def forward(world: World) -> None:
    await asyncio.sleep(8)
    await upgrade(world)
    await wait_for_phase(world, 1, RolloutPhase.FINALIZED)
    assert world.state.items[keys.FORMAT][0] == {"version": 1}


def test_rollout_from_production_reaches_finalized() -> None:
    play(forward, 51)


async def roll_back_before_active(world: World) -> None:
    """Roll a controller back to the program in production in `prepared` and in the soak, then complete the rollout."""
    await asyncio.sleep(5)
    for phase in (RolloutPhase.PREPARED, RolloutPhase.SOAK):
        world.operator = operator(hold_at=phase.value)
        await upgrade(world, every_s=3.0)
        await wait_for_phase(world, 0, phase)
        roll_back(world, "c-1")
        await asyncio.sleep(6)
        assert committed(world) == (0, "prepared")
        await upgrade(world, ("c-1",))
    world.operator = operator()
    await upgrade(world, every_s=3.0)
    await wait_for_phase(world, 1, RolloutPhase.FINALIZED)


def test_controller_can_be_rolled_back_before_active() -> None:
    play(roll_back_before_active, 52)


async def retreat_and_forward_again(world: World) -> None:
    """Retreat from `active` during the migration, run a controller with the program in production, then roll out again."""
    await asyncio.sleep(5)
    await upgrade(world, every_s=3.0)
    await wait_for_phase(world, 1, RolloutPhase.ACTIVE)
    while not stored_compact(world):
        await asyncio.sleep(0.1)
    await set_goal(world, 0)
    await wait_for_phase(world, 0, RolloutPhase.FINALIZED)
    assert not stored_compact(world)
    assert keys.FORMAT not in world.state.items
    roll_back(world, "c-1")
    await asyncio.sleep(6)
    await set_goal(world, 1)
    await wait_for_phase(world, 1, RolloutPhase.FINALIZED)


@pytest.mark.parametrize("late_writes", [0.0, 0.05], ids=["no late writes", "late writes"])
def test_retreat_from_active_and_forward_again(late_writes: float) -> None:
    play(retreat_and_forward_again, 53, late_writes=late_writes)


def test_retreat_waits_for_a_record_that_fits_in_the_compact_shape_only() -> None:
    """The plain record of a service on many machines exceeds the size limit of a value.

    The retreat must wait until the service is cancelled, since the record can't be converted back.
    """

    async def scenario(world: World) -> None:
        await wait_for_phase(world, 1, RolloutPhase.FINALIZED)
        spec = wide_job(world, 60, shape="service", rank="prod", pieces=ONE_TASK_MACHINES)
        world.spawn(world.follow(spec, cancel_after=60.0))
        while keys.job(spec["id"]) not in stored_compact(world):
            await asyncio.sleep(0.2)
        while (
            sum(bool(world.rules.running_on.get(f"{spec['id']}/{n}")) for n in range(ONE_TASK_MACHINES))
            < ONE_TASK_MACHINES
        ):
            await asyncio.sleep(0.2)
        await set_goal(world, 0)
        await wait_for_phase(world, 1, RolloutPhase.RETREATING)
        await asyncio.sleep(8)
        assert committed(world) == (1, "retreating")
        assert stored_compact(world) == [keys.job(spec["id"])]
        await wait_for_phase(world, 0, RolloutPhase.FINALIZED, 120.0)

    play(scenario, 54, old=())


def test_check_detects_an_activation_that_waits_for_nobody(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without the blocking reasons, the version is raised while controllers run the program in production."""
    monkeypatch.setattr("cloverplank.rollout.state_machine.blocking_reasons", lambda facts, directives, versions: ())
    monkeypatch.setattr("cloverplank.rollout.state_machine._goal_conflicts", lambda facts, is_acceptable, required: ())

    async def scenario(world: World) -> None:
        await upgrade(world, ("c-0",))
        await wait_for_phase(world, 1, RolloutPhase.ACTIVE)
        while not stored_compact(world):
            await asyncio.sleep(0.1)

    with pytest.raises(AssertionError):
        play(scenario, 59)


async def excuse_during_activation(world: World) -> None:
    """An excused controller gets no lease with the program in production, and joins with the current one."""
    world.operator = operator(excused=frozenset({"c-2"}))
    world.crash("c-2")
    await asyncio.sleep(5)
    await upgrade(world, ("c-0", "c-1"))
    await wait_for_phase(world, 1, RolloutPhase.ACTIVE)
    world.start("c-2")  # with the program in production
    await asyncio.sleep(10)
    assert world.controllers["c-2"][0].controller_lease.lease is None
    assert world.state.items[keys.node("c-2")][0]["lease"] == NO_LEASE
    world.unreadable_keys.clear()  # the barring key prevents the process from joining, not from reading
    world.crash("c-2")
    await upgrade(world, ("c-2",), every_s=6.0)
    assert world.controllers["c-2"][0].controller_lease.lease is not None


def test_excused_controller_joins_again_only_with_a_program_that_reads_the_version() -> None:
    play(excuse_during_activation, 55)


def test_rollout_waits_for_an_absent_controller_and_logs_its_name(caplog: pytest.LogCaptureFixture) -> None:
    async def scenario(world: World) -> None:
        world.crash("c-2")
        await asyncio.sleep(5)
        await upgrade(world, ("c-0", "c-1"))
        await asyncio.sleep(15)
        assert committed(world) == (0, "finalized")
        world.old.discard("c-2")
        world.start("c-2")
        await wait_for_phase(world, 1, RolloutPhase.FINALIZED)

    with caplog.at_level(logging.INFO, "cloverplank.rollout"):
        play(scenario, 56)
    assert "waiting: c-2 is not there" in caplog.text


def test_excuse_of_a_controller_that_is_up_is_refused(caplog: pytest.LogCaptureFixture) -> None:
    """The rollout must wait for an excused controller that is up and runs the program in production."""

    async def scenario(world: World) -> None:
        await asyncio.sleep(3)
        await upgrade(world, ("c-0", "c-1"))
        await asyncio.sleep(10)
        assert committed(world) == (0, "finalized")
        await upgrade(world, ("c-2",))
        await wait_for_phase(world, 1, RolloutPhase.FINALIZED)

    with caplog.at_level(logging.INFO, "cloverplank.rollout"):
        play(scenario, 57, excused=frozenset({"c-2"}))
    assert "c-2 is excused although it is up" in caplog.text
