"""Tests of the schemas of stored and sent types: schema files, compatible changes, and values stored in a rollout."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import jsonschema
import msgspec
import pytest

from cloverplank.feature_gates import FEATURES, Stage
from cloverplank.schemas import TYPES, as_text, file_of, incompatible_changes, schema_of
from tests.production import messages
from tests.production.record import RECORDED
from tests.rollout.scenarios import operator, wide_job
from tests.simulation.loop import run
from tests.simulation.world import World

SCHEMA_FOLDER = Path(__file__).resolve().parents[2] / "schemas"
PRODUCTION_NAMES = {
    "ProvisioningRecord": "HireRecord",
    "DrainRecord": "ReturnRecord",
    "ShardRecord": "BlockRecord",
    "GossipMessage": "Hint",
}
TYPE_NAMES_BY_KEY = {
    "cp/job/": ("JobRecord", "CompactRecord"),
    "cp/fin/": ("FinalRecord",),
    "cp/wait/": ("BlockedJobRecord",),
    "cp/node/": ("NodeRecord",),
    "cp/block/": ("ShardRecord",),
    "cp/leader": ("LeaderRecord",),
    "cp/hire/": ("ProvisioningRecord",),
    "cp/ret/": ("DrainRecord",),
    "cp/format": ("FormatRecord",),
    "cp/rollout": ("RolloutRecord",),
    "cp/types": ("MachineTypes",),
}


def stored_schema(name: str) -> dict:
    return json.loads((SCHEMA_FOLDER / f"{name}.json").read_text("utf-8"))


@pytest.mark.parametrize("stored_type", TYPES, ids=lambda stored_type: stored_type.__name__)
def test_schema_file_is_that_of_the_type(stored_type: type) -> None:
    """Guards against unintended changes; after an intended one run `python3 -m cloverplank.schemas schemas`."""
    assert file_of(stored_type, SCHEMA_FOLDER).read_text("utf-8") == as_text(schema_of(stored_type))


@pytest.mark.parametrize("stored_type", TYPES, ids=lambda stored_type: stored_type.__name__)
def test_change_since_production_is_compatible_or_gated(stored_type: type) -> None:
    old = getattr(messages, PRODUCTION_NAMES.get(stored_type.__name__, stored_type.__name__), None)
    covering = [feature for feature in FEATURES if stored_type.__name__ in feature.schemas]
    if old is None:
        assert covering, f"{stored_type.__name__} is not in production and no feature names it in its schemas"
    else:
        gated = any(feature.stage is Stage.GATED for feature in covering)
        assert gated or not incompatible_changes(schema_of(old), schema_of(stored_type))


class Part(msgspec.Struct):
    size: int


class Before(msgspec.Struct):
    zone: str
    part: Part
    lease: int = 0


Added = msgspec.defstruct("Added", [("zone", str), ("part", Part), ("lease", int, 0), ("more", str, "")])
Required = msgspec.defstruct("Required", [("zone", str), ("part", Part), ("more", str), ("lease", int, 0)])
Missing = msgspec.defstruct("Missing", [("part", Part), ("lease", int, 0)])
Retyped = msgspec.defstruct("Retyped", [("zone", int), ("part", Part), ("lease", int, 0)])
Optional = msgspec.defstruct("Optional", [("part", Part), ("zone", str, ""), ("lease", int, 0)])
LargerPart = msgspec.defstruct("Part", [("size", int), ("weight", int)])
Inside = msgspec.defstruct("Inside", [("zone", str), ("part", LargerPart), ("lease", int, 0)])


@pytest.mark.parametrize(
    ("after", "named"),
    [(Required, "more"), (Missing, "zone"), (Retyped, "zone"), (Optional, "zone"), (Inside, "weight")],
    ids=["added without default", "removed", "other type", "made optional", "added inside without default"],
)
def test_incompatible_change_names_the_field(after: type, named: str) -> None:
    changes = incompatible_changes(schema_of(Before), schema_of(after))
    assert any(named in change for change in changes), changes


def test_added_field_with_a_default_is_compatible() -> None:
    assert not incompatible_changes(schema_of(Before), schema_of(Added))


@pytest.mark.parametrize("name", json.loads(RECORDED.read_text("utf-8")))
def test_what_production_wrote_matches_the_schema(name: str) -> None:
    recorded = json.loads(RECORDED.read_text("utf-8"))[name]
    current_names = {old: new for new, old in PRODUCTION_NAMES.items()}
    schema = stored_schema(current_names.get(recorded["type"], recorded["type"]))
    jsonschema.validate(msgspec.msgpack.decode(bytes.fromhex(recorded["bytes"])), schema)


def test_everything_stored_during_a_rollout_matches_the_schema_of_its_key() -> None:
    async def work() -> World:
        world = World(71, capacity=60, scale=12.0, coming_limits=True, operator=operator())
        first = world.job(1)
        world.spawn(world.follow(wide_job(world, 2)))
        world.spawn(world.follow(world.job(3, waits_on=[first["id"]]) if await world.submit(first) else first))
        await asyncio.sleep(150)
        return world

    world = run(work())
    type_names = [stored_type.__name__ for stored_type in TYPES]
    validators = {name: jsonschema.Draft202012Validator(stored_schema(name)) for name in type_names}
    seen = set()
    for event in world.state.log:
        if "put" not in event:
            continue
        names = next(names for prefix, names in TYPE_NAMES_BY_KEY.items() if event["put"].startswith(prefix))
        valid = [name for name in names if validators[name].is_valid(event["value"])]
        assert valid, (event["put"], event["value"])
        seen.update(valid)
    assert seen == {name for names in TYPE_NAMES_BY_KEY.values() for name in names}
