"""The state of a rollout as operators see it, made from committed keys alone."""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

from cloverplank.feature_gates import FEATURES, NEWEST_VERSION, OLDEST_VERSION
from cloverplank.jobs.layout import decode_stored, layout_kind_of
from cloverplank.jobs.layout_kind import LayoutKind
from cloverplank.kvstore import keys
from cloverplank.kvstore.snapshot import read_key_values
from cloverplank.records.cluster import NodeRecord
from cloverplank.records.rollout import FormatRecord, RolloutPhase, RolloutRecord, initial_rollout_record
from cloverplank.rollout.committed import compact_use
from cloverplank.settings.platform import PlatformSettings
from cloverplank.wire.codec import MessageDecodeError, decode
from cloverplank.wire.kvstore import KeyValue
from cloverplank.wire.status import Status


class ControllerStatus(Struct, frozen=True):
    """What one configured or joined controller has committed.

    `lowest` is None for a program that does not follow rollouts, `goal` where staged rollouts are switched off.
    """

    name: str
    present: bool
    excused: bool = False
    lowest: int | None = None
    newest: int | None = None
    goal: int | None = None


class RolloutStatus(Status, frozen=True):
    """The whole status; `unreadable` names keys whose values are no records."""

    version: int
    target: int
    phase: RolloutPhase
    since_ms: int
    announced: int
    compact: str
    controllers: list[ControllerStatus]
    waiting_for: list[str]
    records_plain: int
    records_compact: int
    unreadable: list[str]

    def as_text(self) -> str:
        """Return the status in lines: rollout, controllers, reasons, unreadable keys and features."""
        lines = [
            f"phase: {self.phase.value}",
            f"version: {self.version}, target {self.target}, announced {self.announced}; "
            f"this program reads {OLDEST_VERSION} to {NEWEST_VERSION}",
            f"compact records: {self.compact}; stored: {self.records_compact} compact, {self.records_plain} plain",
        ]
        lines += [f"controller {_controller_line(controller)}" for controller in self.controllers]
        lines += [f"waiting for: {reason}" for reason in self.waiting_for]
        lines += [f"can't be read: {key}" for key in self.unreadable]
        lines += [f"feature {feature.name}: version {feature.version}, {feature.stage.value}" for feature in FEATURES]
        return "\n".join(lines)


def _controller_line(controller: ControllerStatus) -> str:
    if not controller.present:
        return f"{controller.name}: not there" + (", excused" if controller.excused else "")
    if controller.lowest is None:
        return f"{controller.name}: reads up to version {controller.newest or 0}, does not follow rollouts"
    goal = "rollout switched off" if controller.goal is None else f"goal {controller.goal}"
    return f"{controller.name}: reads versions {controller.lowest} to {controller.newest}, {goal}"


class _CommittedKeys:
    """The records that the status is made from; keys that can't be read are noted."""

    def __init__(self, key_values: Iterable[KeyValue]) -> None:
        self.unreadable: list[str] = []
        self.rollout: RolloutRecord | None = None
        self.announced = 0
        self.nodes: dict[str, NodeRecord] = {}
        self.job_counts = dict.fromkeys(LayoutKind, 0)
        for key_value in key_values:
            try:
                self._add(key_value.key, bytes(key_value.value))
            except MessageDecodeError:
                self.unreadable.append(key_value.key)

    def _add(self, key: str, data: bytes) -> None:
        if key == keys.ROLLOUT:
            self.rollout = decode(data, RolloutRecord)
        elif key == keys.FORMAT:
            self.announced = decode(data, FormatRecord).version
        elif key.startswith(keys.NODES):
            self.nodes[key.removeprefix(keys.NODES)] = decode(data, NodeRecord)
        elif key.startswith(keys.JOBS):
            self.job_counts[layout_kind_of(decode_stored(data))] += 1


def status_of(key_values: list[KeyValue], configured: frozenset[str]) -> RolloutStatus:
    """Return the status that the committed keys show; `configured` names the deployment's controllers."""
    committed = _CommittedKeys(key_values)
    current = committed.rollout or initial_rollout_record(committed.announced)
    controllers = [
        _controller_status(name, committed.nodes.get(name), excused=name in current.excused)
        for name in sorted(configured | committed.nodes.keys())
    ]
    return RolloutStatus(
        version=current.version,
        target=current.target,
        phase=current.phase,
        since_ms=current.since,
        announced=committed.announced,
        compact=compact_use(current).value,
        controllers=controllers,
        waiting_for=_waiting_for(current, controllers),
        records_plain=committed.job_counts[LayoutKind.PLAIN],
        records_compact=committed.job_counts[LayoutKind.COMPACT],
        unreadable=committed.unreadable,
    )


def _controller_status(name: str, record: NodeRecord | None, *, excused: bool) -> ControllerStatus:
    if record is None or not record.is_live():
        return ControllerStatus(name, present=False, excused=excused or record is not None)
    return ControllerStatus(
        name,
        present=True,
        excused=excused,
        lowest=record.oldest_version,
        newest=record.newest_version,
        goal=record.goal,
    )


def _waiting_for(current: RolloutRecord, controllers: list[ControllerStatus]) -> list[str]:
    """Return what keeps the phase from ending, as far as committed keys show."""
    target = current.target
    if current.phase is RolloutPhase.FINALIZED:
        target = min(current.version + 1, NEWEST_VERSION)
        if target == current.version:
            return []
    reasons = (_obstacle(controller, target) for controller in controllers)
    return [reason for reason in reasons if reason is not None]


def _obstacle(controller: ControllerStatus, target: int) -> str | None:
    """Return why the controller keeps the rollout from its target, or None where it does not."""
    if not controller.present:
        return None if controller.excused else f"{controller.name}: not there"
    if controller.lowest is None:
        return f"{controller.name}: its program does not follow rollouts"
    if not controller.lowest <= target <= (controller.newest or 0):
        return f"{controller.name}: does not read version {target}"
    if controller.goal is None:
        return f"{controller.name}: has staged rollouts switched off"
    return None


def read_status(platform: PlatformSettings) -> RolloutStatus:
    """Read the status from the key-value store. Raises StoreError where it doesn't respond."""
    # All keys but the final records, which hold no gated shape.
    prefixes = (keys.FORMAT, keys.ROLLOUT, keys.NODES, keys.JOBS)
    return status_of(read_key_values(platform, prefixes), platform.controllers())
