"""Tests of the state machine of a zone's health, with generated observations, and of the evidence for it."""

from __future__ import annotations

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from cloverplank.autoscaling.registry import MachineEntry, MachineRegistry
from cloverplank.basic_types import Clock, MachineId, WallTimeMs, Zone
from cloverplank.records.zones import ALL_MACHINES_PER_CENT, ZoneHealth, ZoneRecord, initial_zone_record
from cloverplank.zones import health
from cloverplank.zones.health import (
    ADMISSION_STEPS,
    MAX_STABILIZATION_MS,
    RecoveryTiming,
    ZoneEvidence,
    ZoneObservation,
)
from cloverplank.zones.observation import ZoneObserver

TIMING = RecoveryTiming(stabilization_ms=2_000, step_interval_ms=2_000)

OBSERVATIONS = st.builds(
    ZoneObservation,
    st.builds(
        ZoneEvidence, st.integers(0, 40), st.integers(0, 40), st.integers(0, 3), st.integers(0, 3), st.booleans()
    ).map(lambda evidence: msgspec.structs.replace(evidence, silent=min(evidence.silent, evidence.machines))),
    st.sampled_from([-1, 0, 2_000, 9_000]),
    st.sampled_from([-1, 0, 5_000]),
    st.sampled_from([-1, 0, 2_000, 9_000, 70_000]),
)


@given(st.lists(st.tuples(OBSERVATIONS, st.integers(100, 30_000)), max_size=60))
def test_lost_zone_is_healthy_only_after_recovering_in_steps(observations: list[tuple[ZoneObservation, int]]) -> None:
    record, now = initial_zone_record("zone-1"), 1_000_000
    for observation, elapsed_ms in observations:
        now += elapsed_ms
        after = health.next_record(record, observation, TIMING, WallTimeMs(now))
        if after is None:
            continue
        transition = (record.health, after.health)
        assert transition not in ((ZoneHealth.LOST, ZoneHealth.HEALTHY), (ZoneHealth.LOST, ZoneHealth.IMPAIRED))
        if transition == (ZoneHealth.RECOVERING, ZoneHealth.HEALTHY):
            assert record.admitted == ALL_MACHINES_PER_CENT
        if after.health is ZoneHealth.RECOVERING and record.health is ZoneHealth.RECOVERING:
            steps = [ADMISSION_STEPS.index(each.admitted) for each in (record, after)]
            assert abs(steps[1] - steps[0]) == 1
        if after.health is ZoneHealth.LOST:
            assert after.admitted == 0 and not observation.evidence.other_zones_silent or observation.lost_for_ms >= 0
        assert health.required_stabilization_ms(after, TIMING) <= MAX_STABILIZATION_MS
        record = after


@given(st.integers(1, 10))
def test_each_flap_doubles_the_stabilization_time_up_to_a_bound(flaps: int) -> None:
    record = ZoneRecord("zone-1", ZoneHealth.LOST, 0, flaps=flaps)
    fewer_flaps = msgspec.structs.replace(record, flaps=flaps - 1)
    before = health.required_stabilization_ms(fewer_flaps, TIMING) if flaps > 1 else TIMING.stabilization_ms
    assert health.required_stabilization_ms(record, TIMING) in (before, min(MAX_STABILIZATION_MS, 2 * before))
    assert health.required_stabilization_ms(msgspec.structs.replace(record, flaps=1000), TIMING) <= MAX_STABILIZATION_MS


def test_zone_is_not_judged_while_other_zones_are_silent() -> None:
    evidence = ZoneEvidence(20, 20, 1, 0, other_zones_silent=True)
    assert not health.indicates_lost(evidence)
    assert not health.indicates_impaired(evidence)
    assert health.indicates_lost(msgspec.structs.replace(evidence, other_zones_silent=False))


def test_zone_without_controllers_is_impaired_while_its_machines_are_heard() -> None:
    evidence = ZoneEvidence(20, 1, 1, 0, other_zones_silent=False)
    assert health.indicates_impaired(evidence)
    assert not health.indicates_lost(evidence)


def test_loss_of_thousands_of_machines_takes_one_commit_for_each_change_of_health() -> None:
    """`reset` stands for a failover of the leader: the new leader measures all durations from the start."""
    now = [1_000.0]
    clock = Clock(lambda: now[0], lambda: 1.7e9 + now[0])
    registry = MachineRegistry(clock)
    zones = [Zone(f"zone-{number}") for number in range(3)]
    for number in range(4_000):
        name = MachineId(f"m-{number:06d}")
        registry.entries[name] = MachineEntry(name, zones[number % 3], "", "t", False, "running", health="up")
    observer = ZoneObserver(zones, controller_zones={}, registry=registry, clock=clock, heartbeat_interval_s=2.0)
    records = {zone: initial_zone_record(zone) for zone in zones}
    committed: list[ZoneRecord] = []

    def observe_for(seconds: int, silent: Zone | None) -> None:
        for _ in range(seconds):
            now[0] += 1.0
            for entry in registry.entries.values():
                if entry.zone != silent:
                    entry.last_contact_at = clock.monotonic()
            for zone, observation in observer.observe([]).items():
                after = health.next_record(records[zone], observation, TIMING, clock.wall_ms())
                if after is not None:
                    records[zone] = after
                    committed.append(after)

    observe_for(10, None)
    observe_for(8, zones[2])
    assert [record.health for record in committed] == ["lost"]
    observer.reset()
    observe_for(20, None)
    assert [record.admitted for record in committed] == [0, *ADMISSION_STEPS, ALL_MACHINES_PER_CENT]
    assert {record.zone for record in committed} == {"zone-2"}
    assert committed[-1].health == "healthy"
