"""Tests that production and this version read what the other writes, without losing fields that are needed."""

from __future__ import annotations

import json

import msgspec
import pytest

from cloverplank.jobs.records import FinalRecord, JobRecord
from cloverplank.records.cluster import LeaderRecord, NodeRecord, ShardRecord
from cloverplank.records.machines import DrainRecord, ProvisioningRecord
from cloverplank.wire.cloud import MachineTypes
from cloverplank.wire.codec import decode, encode
from cloverplank.wire.gossip import GossipMessage
from tests.production import messages
from tests.production.record import RECORDED, examples

RECORDING = json.loads(RECORDED.read_text("utf-8"))
# The current class for the name of each type in production.
CURRENT_TYPES = {
    "JobRecord": JobRecord,
    "FinalRecord": FinalRecord,
    "NodeRecord": NodeRecord,
    "LeaderRecord": LeaderRecord,
    "BlockRecord": ShardRecord,
    "ReturnRecord": DrainRecord,
    "HireRecord": ProvisioningRecord,
    "MachineTypes": MachineTypes,
    "Hint": GossipMessage,
}


@pytest.mark.parametrize("name", RECORDING)
def test_this_version_reads_what_production_wrote(name: str) -> None:
    row = RECORDING[name]
    assert decode(bytes.fromhex(row["bytes"]), CURRENT_TYPES[row["type"]]) == examples()[name].value


@pytest.mark.parametrize("name", RECORDING)
def test_production_reads_and_rewrites_what_this_version_wrote(name: str) -> None:
    """Production drops fields that it does not know; the record that it writes back must keep its meaning."""
    type_name, value = examples()[name]
    production_type = getattr(messages, type_name)
    old = msgspec.msgpack.decode(encode(value), type=production_type)
    assert old == msgspec.msgpack.decode(bytes.fromhex(RECORDING[name]["bytes"]), type=production_type)
    assert decode(msgspec.msgpack.encode(old), CURRENT_TYPES[type_name]) == value
