"""Status of the controllers: their roles and latest verdicts, derived from committed keys alone."""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct, field

from cloverplank.kvstore import keys
from cloverplank.kvstore.snapshot import read_key_values
from cloverplank.records.cluster import LeaderRecord, NodeRecord, ShardRecord
from cloverplank.records.verdicts import VerdictRecord
from cloverplank.settings.platform import PlatformSettings
from cloverplank.wire.codec import MessageDecodeError, decode
from cloverplank.wire.kvstore import KeyValue
from cloverplank.wire.status import Status


class ControllerStatus(Struct, frozen=True):
    """The status of a controller that is configured or has a node record.

    `present` says whether it holds a lease. `verdict` is the latest verdict on it, if there was one.
    """

    name: str
    present: bool
    zone: str | None
    is_leader: bool = field(name="leads")
    owned_shards: list[str] = field(name="holds")
    verdict: VerdictRecord | None


class ControllersStatus(Status, frozen=True):
    """The status of all controllers; `unreadable` lists the keys whose values can't be decoded."""

    controllers: list[ControllerStatus]
    unreadable: list[str]

    def as_text(self) -> str:
        """Return one line for each controller and each unreadable key."""
        lines = [_line(controller) for controller in self.controllers]
        return "\n".join([*lines, *(f"can't be read: {key}" for key in self.unreadable)])


def _line(controller: ControllerStatus) -> str:
    parts = [f"{controller.name}: {'there' if controller.present else 'not there'}"]
    if controller.is_leader:
        parts.append("leads")
    if controller.owned_shards:
        parts.append(f"holds {', '.join(controller.owned_shards)}")
    verdict = controller.verdict
    if verdict is not None:
        parts.append(
            f"block {verdict.zone} went to {verdict.new_owner} ({verdict.consecutive} in a row): {verdict.reason}"
        )
    return "; ".join(parts)


class _ClusterRecords(Struct):
    """The decoded records, from which the status is derived."""

    nodes: dict[str, NodeRecord] = field(default_factory=dict)
    owned_shards: dict[str, list[str]] = field(default_factory=dict)  # by controller
    verdicts: dict[str, VerdictRecord] = field(default_factory=dict)
    leader: str = ""
    unreadable: list[str] = field(default_factory=list)

    def add(self, key_value: KeyValue) -> None:
        """Decode a key's value into its record; raise MessageDecodeError if the value is invalid."""
        data = bytes(key_value.value)
        if key_value.key.startswith(keys.NODES):
            self.nodes[key_value.key.removeprefix(keys.NODES)] = decode(data, NodeRecord)
        elif key_value.key.startswith(keys.SHARDS):
            shard = decode(data, ShardRecord)
            self.owned_shards.setdefault(shard.node, []).append(shard.zone)
        elif key_value.key.startswith(keys.VERDICTS):
            self.verdicts[key_value.key.removeprefix(keys.VERDICTS)] = decode(data, VerdictRecord)
        elif key_value.key == keys.LEADER:
            self.leader = decode(data, LeaderRecord).node


def status_of(key_values: Iterable[KeyValue], configured: frozenset[str]) -> ControllersStatus:
    """Derive the status of the configured controllers, and of others with a node record, from the committed keys."""
    records = _ClusterRecords()
    for key_value in key_values:
        try:
            records.add(key_value)
        except MessageDecodeError:
            records.unreadable.append(key_value.key)
    controllers = [
        ControllerStatus(
            name,
            present=name in records.nodes and records.nodes[name].is_live(),
            zone=records.nodes[name].zone if name in records.nodes else None,
            is_leader=name == records.leader,
            owned_shards=sorted(records.owned_shards.get(name, [])),
            verdict=records.verdicts.get(name),
        )
        for name in sorted(configured | records.nodes.keys())
    ]
    return ControllersStatus(controllers, records.unreadable)


def read_status(platform: PlatformSettings) -> ControllersStatus:
    """Read the status from the key-value store; raise StoreError if the store doesn't respond."""
    key_values = read_key_values(platform, (keys.NODES, keys.SHARDS, keys.VERDICTS, keys.LEADER))
    return status_of(key_values, platform.controllers())
