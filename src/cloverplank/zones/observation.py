"""Evidence on each zone, gathered by the leader from its machine registry and the leases of controllers."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from msgspec import Struct

from cloverplank.autoscaling.registry import (
    HEALTH_LOST,
    HEALTH_SUSPECT,
    HEALTH_TAINTED,
    MachineEntry,
    MachineRegistry,
)
from cloverplank.basic_types import MS_PER_SECOND, Clock, MonotonicTime, NodeId, Zone
from cloverplank.zones.health import (
    ZoneEvidence,
    ZoneObservation,
    indicates_impaired,
    indicates_lost,
    indicates_returned,
)

# A machine is silent after this many heartbeat intervals without a heartbeat, and after MIN_SILENCE_S at the earliest.
MISSED_HEARTBEAT_INTERVALS = 2.5
MIN_SILENCE_S = 4.0

# Values of a machine's health, as reported by its shard owner, that count as silence.
SILENT_HEALTH = frozenset({HEALTH_SUSPECT, HEALTH_TAINTED, HEALTH_LOST})


class _MachineCount(Struct):
    """The number of machines of one zone that have been up, and of those that are silent."""

    machines: int = 0
    silent: int = 0

    def is_mostly_silent(self) -> bool:
        """Return whether more than half of the machines are silent."""
        return 2 * self.silent > self.machines


class _IndicatedSince(Struct):
    """The time since which the evidence has indicated each state, None if it does not indicate it."""

    lost: MonotonicTime | None = None
    impaired: MonotonicTime | None = None
    returned: MonotonicTime | None = None


class ZoneObserver:
    """Gathers the evidence on each zone and tracks for how long it has indicated each state."""

    def __init__(
        self,
        zones: Iterable[Zone],
        *,
        controller_zones: Mapping[NodeId, Zone],
        registry: MachineRegistry,
        clock: Clock,
        heartbeat_interval_s: float,
    ) -> None:
        self._controller_zones = controller_zones
        self._registry = registry
        self._clock = clock
        self._max_silence_s = max(MIN_SILENCE_S, MISSED_HEARTBEAT_INTERVALS * heartbeat_interval_s)
        self._since: dict[Zone, _IndicatedSince] = {zone: _IndicatedSince() for zone in zones}

    def reset(self) -> None:
        """Restart all durations: those measured before a period without leadership are out of date."""
        self._since = {zone: _IndicatedSince() for zone in self._since}

    def observe(self, live_controllers: Iterable[NodeId]) -> dict[Zone, ZoneObservation]:
        """Return the current observation of each zone, given the controllers that hold a lease."""
        now = self._clock.monotonic()
        counts = self._count_machines(now)
        live_zones = [self._controller_zones.get(controller) for controller in live_controllers]
        return {zone: self._observe_zone(zone, counts, live_zones, now) for zone in self._since}

    def _count_machines(self, now: MonotonicTime) -> dict[Zone, _MachineCount]:
        counts = {zone: _MachineCount() for zone in self._since}
        for entry in self._registry.entries.values():
            if entry.last_contact_at is None or entry.zone not in counts:
                continue  # a machine that may never have been up is no evidence
            count = counts[entry.zone]
            count.machines += 1
            count.silent += self._is_silent(entry, now)
        return counts

    def _is_silent(self, entry: MachineEntry, now: MonotonicTime) -> bool:
        last_contact_at = entry.last_contact_at
        return entry.health in SILENT_HEALTH or last_contact_at is None or now - last_contact_at > self._max_silence_s

    def _observe_zone(
        self, zone: Zone, counts: dict[Zone, _MachineCount], live_zones: Sequence[Zone | None], now: MonotonicTime
    ) -> ZoneObservation:
        others = [count for other, count in counts.items() if other != zone and count.machines]
        evidence = ZoneEvidence(
            machines=counts[zone].machines,
            silent=counts[zone].silent,
            controllers=sum(controller_zone == zone for controller_zone in self._controller_zones.values()),
            live_controllers=live_zones.count(zone),
            other_zones_silent=bool(others) and all(count.is_mostly_silent() for count in others),
        )
        since = self._since[zone]
        since.lost = _first_indicated(since.lost, now) if indicates_lost(evidence) else None
        since.impaired = _first_indicated(since.impaired, now) if indicates_impaired(evidence) else None
        since.returned = _first_indicated(since.returned, now) if indicates_returned(evidence) else None
        return ZoneObservation(
            evidence,
            lost_for_ms=_elapsed_ms(since.lost, now),
            impaired_for_ms=_elapsed_ms(since.impaired, now),
            returned_for_ms=_elapsed_ms(since.returned, now),
        )


def _first_indicated(began_at: MonotonicTime | None, now: MonotonicTime) -> MonotonicTime:
    return now if began_at is None else began_at


def _elapsed_ms(began_at: MonotonicTime | None, now: MonotonicTime) -> int:
    return -1 if began_at is None else int((now - began_at) * MS_PER_SECOND)
