"""JSON Schemas of all types that processes of several versions read: stored records and messages between peers.

`python3 -m cloverplank.schemas schemas` writes a file for each type to `schemas/`. A change of a type changes its file;
`tests/production/test_schemas.py` checks which changes older and newer processes accept. A serving process does not
import this module.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import click
import msgspec

from cloverplank.jobs.layout import CompactRecord
from cloverplank.jobs.records import BlockedJobRecord, FinalRecord, JobRecord
from cloverplank.records.cluster import LeaderRecord, NodeRecord, ShardRecord
from cloverplank.records.headroom import HeadroomRecord
from cloverplank.records.machines import DrainRecord, ProvisioningRecord
from cloverplank.records.rollout import FormatRecord, RolloutRecord
from cloverplank.records.verdicts import VerdictRecord
from cloverplank.records.zones import ZoneRecord
from cloverplank.wire.cloud import MachineTypes
from cloverplank.wire.gossip import GossipMessage

TYPES: tuple[type, ...] = (
    ShardRecord,
    CompactRecord,
    FinalRecord,
    FormatRecord,
    GossipMessage,
    HeadroomRecord,
    JobRecord,
    LeaderRecord,
    MachineTypes,
    NodeRecord,
    ProvisioningRecord,
    DrainRecord,
    RolloutRecord,
    VerdictRecord,
    BlockedJobRecord,
    ZoneRecord,
)


def schema_of(stored_type: type) -> dict[str, Any]:
    """Return the schema of a type without descriptions, as it is kept under version control."""
    return _without_descriptions(msgspec.json.schema(stored_type))


def _without_descriptions(schema: dict[str, Any]) -> dict[str, Any]:
    return {
        name: _item_without_descriptions(value)
        for name, value in schema.items()
        if name != "description" or not isinstance(value, str)
    }


def _item_without_descriptions(item: Any) -> Any:
    if isinstance(item, dict):
        return _without_descriptions(item)
    return [_item_without_descriptions(each) for each in item] if isinstance(item, list) else item


def as_text(schema: dict[str, Any]) -> str:
    """Return the text of a schema file."""
    return msgspec.json.format(msgspec.json.encode(schema, order="sorted"), indent=1).decode() + "\n"


def file_of(stored_type: type, folder: Path) -> Path:
    """Return the path of a type's schema file."""
    return folder / f"{stored_type.__name__}.json"


def incompatible_changes(before: dict[str, Any], after: dict[str, Any]) -> list[str]:
    """Return a line for each difference that makes a value unreadable to processes of either version.

    An added property that has a default is compatible, and so is an item with a default at the end of an array.
    """
    return list(_Comparison(before, after).differences(before, after, ""))


class _Comparison:
    """Compares two schemas of one type, with the definitions that they refer to."""

    def __init__(self, before: dict[str, Any], after: dict[str, Any]) -> None:
        self._before = before
        self._after = after
        self._compared: set[tuple[str, str]] = set()  # pairs of references in both schemas

    def differences(self, before: Any, after: Any, path: str) -> Iterator[str]:
        """Yield a line for each incompatible change between two parts of the schemas at the same path."""
        if not isinstance(before, dict) or not isinstance(after, dict):
            if before != after:
                yield f"{path}: {before!r} became {after!r}"
            return
        if "$ref" in before and "$ref" in after:
            yield from self._reference_differences(before["$ref"], after["$ref"], path)
            return
        for name in sorted((before.keys() | after.keys()) - {"$defs", "title", "properties", "required"}):
            yield from self._keyword_differences(name, before.get(name), after.get(name), path)
        yield from self._property_differences(before, after, path)

    def _reference_differences(self, before: str, after: str, path: str) -> Iterator[str]:
        # Types may be renamed: stored values don't contain type names.
        if (before, after) not in self._compared:
            self._compared.add((before, after))
            definitions = _definition(self._before, before), _definition(self._after, after)
            yield from self.differences(*definitions, path or after)

    def _keyword_differences(self, name: str, before: Any, after: Any, path: str) -> Iterator[str]:
        inside = f"{path}.{name}"
        if isinstance(before, list) and isinstance(after, list) and name in ("prefixItems", "anyOf"):
            if len(before) > len(after) or (name == "anyOf" and len(before) != len(after)):
                yield f"{inside}: {len(before)} became {len(after)}"
            for old, new in zip(before, after, strict=False):
                yield from self.differences(old, new, inside)
        elif name in ("minimum", "maximum") and before is None:
            return  # an added bound on values that are read; values that correct processes write are within it
        else:
            yield from self.differences(before, after, inside)

    def _property_differences(self, before: dict[str, Any], after: dict[str, Any], path: str) -> Iterator[str]:
        old, new = before.get("properties", {}), after.get("properties", {})
        old_required, new_required = set(before.get("required", ())), set(after.get("required", ()))
        for name in sorted(old.keys() - new.keys()):
            yield f"{path}.{name}: was removed"
        for name in sorted(new_required - old_required):
            yield f"{path}.{name}: has no default"
        for name in sorted(old_required - new_required):
            yield f"{path}.{name}: may be left out, which older processes can't read"
        for name in sorted(old.keys() & new.keys()):
            yield from self.differences(old[name], new[name], f"{path}.{name}")


def _definition(schema: dict[str, Any], reference: str) -> Any:
    return schema["$defs"][reference.rsplit("/", 1)[1]]


@click.command()
@click.argument("folder", type=click.Path(path_type=Path, file_okay=False))
def main(folder: Path) -> None:
    """Write every schema to FOLDER."""
    folder.mkdir(exist_ok=True)
    for stored_type in TYPES:
        file_of(stored_type, folder).write_text(as_text(schema_of(stored_type)), "utf-8")


if __name__ == "__main__":
    main()
