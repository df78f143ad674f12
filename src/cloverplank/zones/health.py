"""The state machine of a zone's health: pure functions from evidence to the next committed record.

The transitions are listed in `docs/zones.md`.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from msgspec import Struct

from cloverplank.basic_types import WallTimeMs
from cloverplank.records.zones import ALL_MACHINES_PER_CENT, ZoneHealth, ZoneRecord

# Percentages of a zone's machines that take new tasks, in the order in which a recovering zone reaches them.
ADMISSION_STEPS = (10, 25, 50, ALL_MACHINES_PER_CENT)

# Fractions of a zone's machines that are silent or, in the case of a returned zone, send heartbeats.
IMPAIRED_SILENT_FRACTION = 0.3
LOST_SILENT_FRACTION = 0.8
RETURNED_ACTIVE_FRACTION = 0.3
RELAPSE_SILENT_FRACTION = 0.3

MIN_MACHINES = 3  # a smaller number of machines may all be silent by chance
LOST_CONFIRM_MS = 2_000
IMPAIRED_CONFIRM_MS = 5_000
FLAP_WINDOW_MS = 300_000
MAX_STABILIZATION_MS = 60_000
MAX_STABILIZATION_DOUBLINGS = 5


class ZoneEvidence(Struct, frozen=True):
    """The observed state of a zone at one moment.

    `machines` counts the machines that have been up, and `silent` those of them that no controller receives heartbeats
    from. `controllers` counts the controllers configured in the zone, and `live_controllers` those of them that hold a
    lease. `other_zones_silent` says that most machines of every other zone are silent, too, so that the fault is
    probably in this controller's own network link.
    """

    machines: int
    silent: int
    controllers: int
    live_controllers: int
    other_zones_silent: bool

    @property
    def silent_fraction(self) -> float:
        """Return the fraction of machines that are silent, 0 for a zone without machines."""
        return self.silent / self.machines if self.machines else 0.0

    def text(self) -> str:
        """Return the evidence as one line for operators."""
        return (
            f"{self.silent} of {self.machines} machines silent, "
            f"{self.live_controllers} of {self.controllers} controllers there"
        )


class RecoveryTiming(Struct, frozen=True):
    """The durations that determine how fast a zone recovers.

    `stabilization_ms` is the time for which machines of a zone must send heartbeats before it recovers; it doubles
    with each flap. `step_interval_ms` is the time between two admission steps.
    """

    stabilization_ms: int
    step_interval_ms: int


class ZoneObservation(Struct, frozen=True):
    """The evidence on a zone, and for how many ms it has indicated each state; -1 for a state not indicated."""

    evidence: ZoneEvidence
    lost_for_ms: int
    impaired_for_ms: int
    returned_for_ms: int


def indicates_lost(evidence: ZoneEvidence) -> bool:
    """Return whether nearly all of the zone is silent while other zones are not."""
    return (
        evidence.machines >= MIN_MACHINES
        and evidence.silent_fraction >= LOST_SILENT_FRACTION
        and not evidence.other_zones_silent
    )


def indicates_impaired(evidence: ZoneEvidence) -> bool:
    """Return whether many machines are silent or no controller of the zone holds a lease.

    Nothing is indicated while the other zones are silent, too.
    """
    machines_missing = evidence.machines >= MIN_MACHINES and evidence.silent_fraction >= IMPAIRED_SILENT_FRACTION
    controllers_missing = evidence.controllers > 0 and evidence.live_controllers == 0
    return (machines_missing or controllers_missing) and not evidence.other_zones_silent


def indicates_returned(evidence: ZoneEvidence) -> bool:
    """Return whether enough machines of the zone send heartbeats."""
    return 1 - evidence.silent_fraction >= RETURNED_ACTIVE_FRACTION


def required_stabilization_ms(record: ZoneRecord, timing: RecoveryTiming) -> int:
    """Return for how long machines of a lost zone must send heartbeats before it recovers.

    The time doubles with each flap after the first, up to MAX_STABILIZATION_MS.
    """
    doublings = min(MAX_STABILIZATION_DOUBLINGS, max(0, record.flaps - 1))
    return min(MAX_STABILIZATION_MS, timing.stabilization_ms * (1 << doublings))


def next_record(
    record: ZoneRecord, observation: ZoneObservation, timing: RecoveryTiming, now: WallTimeMs
) -> ZoneRecord | None:
    """Return the record to commit, or None if the committed record stays valid."""
    return _TRANSITIONS[record.health](record, observation, timing, now)


def _lost(record: ZoneRecord, observation: ZoneObservation, now: WallTimeMs) -> ZoneRecord:
    is_flap = record.lost_at > 0 and now - record.lost_at <= FLAP_WINDOW_MS
    return ZoneRecord(
        record.zone,
        ZoneHealth.LOST,
        now,
        admitted=0,
        step_at=now,
        flaps=record.flaps + 1 if is_flap else 1,
        lost_at=now,
        evidence=observation.evidence.text(),
    )


def _with_health(
    record: ZoneRecord, health: ZoneHealth, admitted: int, observation: ZoneObservation, now: WallTimeMs
) -> ZoneRecord:
    return msgspec.structs.replace(
        record, health=health, since=now, admitted=admitted, step_at=now, evidence=observation.evidence.text()
    )


def _with_admitted(record: ZoneRecord, per_cent: int, observation: ZoneObservation, now: WallTimeMs) -> ZoneRecord:
    return msgspec.structs.replace(record, admitted=per_cent, step_at=now, evidence=observation.evidence.text())


def _from_healthy(
    record: ZoneRecord, observation: ZoneObservation, timing: RecoveryTiming, now: WallTimeMs
) -> ZoneRecord | None:
    if observation.lost_for_ms >= LOST_CONFIRM_MS:
        return _lost(record, observation, now)
    if observation.impaired_for_ms >= IMPAIRED_CONFIRM_MS:
        return _with_health(record, ZoneHealth.IMPAIRED, ALL_MACHINES_PER_CENT, observation, now)
    return None


def _from_impaired(
    record: ZoneRecord, observation: ZoneObservation, timing: RecoveryTiming, now: WallTimeMs
) -> ZoneRecord | None:
    if observation.lost_for_ms >= LOST_CONFIRM_MS:
        return _lost(record, observation, now)
    if not indicates_impaired(observation.evidence) and observation.returned_for_ms >= timing.stabilization_ms:
        return _with_health(record, ZoneHealth.HEALTHY, ALL_MACHINES_PER_CENT, observation, now)
    return None


def _from_lost(
    record: ZoneRecord, observation: ZoneObservation, timing: RecoveryTiming, now: WallTimeMs
) -> ZoneRecord | None:
    if observation.returned_for_ms >= required_stabilization_ms(record, timing):
        return _with_health(record, ZoneHealth.RECOVERING, ADMISSION_STEPS[0], observation, now)
    return None


def _from_recovering(
    record: ZoneRecord, observation: ZoneObservation, timing: RecoveryTiming, now: WallTimeMs
) -> ZoneRecord | None:
    if observation.lost_for_ms >= LOST_CONFIRM_MS:
        return _lost(record, observation, now)
    if now - record.step_at < timing.step_interval_ms:
        return None
    step = ADMISSION_STEPS.index(record.admitted) if record.admitted in ADMISSION_STEPS else 0
    if observation.evidence.silent_fraction >= RELAPSE_SILENT_FRACTION:
        return None if step == 0 else _with_admitted(record, ADMISSION_STEPS[step - 1], observation, now)
    if step + 1 < len(ADMISSION_STEPS):
        return _with_admitted(record, ADMISSION_STEPS[step + 1], observation, now)
    return _with_health(record, ZoneHealth.HEALTHY, ALL_MACHINES_PER_CENT, observation, now)


_TRANSITIONS: dict[
    ZoneHealth, Callable[[ZoneRecord, ZoneObservation, RecoveryTiming, WallTimeMs], ZoneRecord | None]
] = {
    ZoneHealth.HEALTHY: _from_healthy,
    ZoneHealth.IMPAIRED: _from_impaired,
    ZoneHealth.LOST: _from_lost,
    ZoneHealth.RECOVERING: _from_recovering,
}
