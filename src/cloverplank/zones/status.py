"""The status of all zones for operators, derived from committed keys alone."""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct, field

from cloverplank.kvstore import keys
from cloverplank.kvstore.snapshot import read_key_values
from cloverplank.records.cluster import NodeRecord, ShardRecord
from cloverplank.records.zones import ZoneHealth, ZoneRecord, initial_zone_record
from cloverplank.settings.platform import PlatformSettings
from cloverplank.wire.codec import MessageDecodeError, decode
from cloverplank.wire.kvstore import KeyValue
from cloverplank.wire.status import Status


class ZoneStatus(Struct, frozen=True):
    """The status of one zone of the deployment.

    `since_ms` is the time of day of the transition to `health`. `admitted` is the percentage of machines that take new
    tasks. `flaps` counts consecutive losses. `live_controllers` are the zone's controllers that hold a lease.
    """

    zone: str
    health: ZoneHealth
    since_ms: int
    admitted: int
    flaps: int
    evidence: str
    shard_owner: str | None = field(name="holder")
    live_controllers: list[str] = field(name="controllers_there")
    readable: bool = True


class ZonesStatus(Status, frozen=True):
    """The status of all zones of the deployment."""

    zones: list[ZoneStatus]

    def as_text(self) -> str:
        """Return one line for each zone."""
        return "\n".join(_line(zone) for zone in self.zones)


def _line(zone: ZoneStatus) -> str:
    if not zone.readable:
        return f"{zone.zone}: its record can't be read, which counts as no verdict"
    parts = [f"{zone.zone}: {zone.health.value}"]
    if zone.health is ZoneHealth.RECOVERING:
        parts.append(f"{zone.admitted}% of its machines take new tasks")
    if zone.flaps:
        parts.append(f"lost {zone.flaps} times in a row")
    parts.append(f"holder {zone.shard_owner or 'nobody'}")
    parts.append(f"controllers there: {', '.join(zone.live_controllers) or 'none'}")
    if zone.evidence:
        parts.append(f"last judged on: {zone.evidence}")
    return "; ".join(parts)


class _CommittedZones:
    """The committed records from which the status is derived.

    Zone records are kept by key, shard owners and live controllers by zone. Keys whose values can't be decoded are in
    `unreadable`.
    """

    def __init__(self, key_values: Iterable[KeyValue]) -> None:
        self.records: dict[str, ZoneRecord] = {}
        self.shard_owners: dict[str, str] = {}
        self.live_controllers: dict[str, list[str]] = {}
        self.unreadable: set[str] = set()
        for key_value in key_values:
            try:
                self._add(key_value.key, bytes(key_value.value))
            except MessageDecodeError:
                self.unreadable.add(key_value.key)

    def _add(self, key: str, data: bytes) -> None:
        if key.startswith(keys.ZONES):
            self.records[key] = decode(data, ZoneRecord)
        elif key.startswith(keys.SHARDS):
            shard = decode(data, ShardRecord)
            self.shard_owners[shard.zone] = shard.node
        elif key.startswith(keys.NODES):
            node = decode(data, NodeRecord)
            if node.is_live():
                self.live_controllers.setdefault(node.zone, []).append(key.removeprefix(keys.NODES))

    def status(self, zone: str) -> ZoneStatus:
        """Return the status of one zone."""
        key = keys.zone(zone)
        record = self.records.get(key) or initial_zone_record(zone)
        return ZoneStatus(
            zone=zone,
            health=record.health,
            since_ms=record.since,
            admitted=record.admitted,
            flaps=record.flaps,
            evidence=record.evidence,
            shard_owner=self.shard_owners.get(zone),
            live_controllers=sorted(self.live_controllers.get(zone, [])),
            readable=key not in self.unreadable,
        )


def status_of(key_values: list[KeyValue], zones: list[str]) -> ZonesStatus:
    """Derive the status of the given zones from the committed keys."""
    committed = _CommittedZones(key_values)
    return ZonesStatus([committed.status(zone) for zone in zones])


def read_status(platform: PlatformSettings) -> ZonesStatus:
    """Read the status from the key-value store; raise StoreError if the store doesn't respond."""
    return status_of(read_key_values(platform, (keys.ZONES, keys.SHARDS, keys.NODES)), platform.facts.zones)
