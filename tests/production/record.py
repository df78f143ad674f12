"""Writes `recorded.json`: examples of every record and peer message of the checked-out version, encoded as bytes.

Run once, on the commit that `deploy/service.toml` names as production:

    python3 -m tests.production.record

Types have the names that they have in production; the values are created with the present classes, which may have
other names. The recording is test data: it is not written again when the code changes.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any, NamedTuple

from cloverplank.jobs.records import Eviction, FinalRecord, JobRecord, Phase, Run
from cloverplank.records.cluster import LeaderRecord, NodeRecord, ShardRecord
from cloverplank.records.machines import DrainRecord, ProvisioningRecord
from cloverplank.wire.cloud import MachineType, MachineTypes
from cloverplank.wire.codec import decode, encode
from cloverplank.wire.gossip import GossipMessage, MachineGossip
from cloverplank.wire.users import JobSpec

RECORDED = Path(__file__).with_name("recorded.json")

SUBMISSION = {
    "id": "run-000412",
    "lane": "train",
    "crew": "vision",
    "shape": "batch",
    "rank": "urgent",
    "pieces": 16,
    "vcpus": 8.0,
    "gpus": 1.0,
    "ram_gb": 64.0,
    "bundle": "img-07",
    "image_gb": 6.2,
    "together": True,
    "apart": False,
    "loaners": True,
    "guess_s": 240.0,
    "marker_s": 30.0,
    "stow_s": 4.0,
}


class Example(NamedTuple):
    """A value and the name of its type in production."""

    type_name: str
    value: Any


def examples() -> dict[str, Example]:
    """Return the examples by name."""
    minimal_spec = decode(encode(SUBMISSION), JobSpec)
    full_spec = decode(encode(SUBMISSION | {"builds": ["g8"], "yard": "a", "due_s": 900.0}), JobSpec)
    runs = [Run("m-000231", "a", 3, [0, 3, 6, 6]), Run("m-000232", "a", 4, [7, 9])]
    running = JobRecord(
        full_spec,
        1_700_000_000_000,
        Phase.OPEN,
        5,
        [4, 5],
        runs,
        {"a": 9},
        [Eviction("m-000200", 2, 1_700_000_100_000, 3)],
    )
    machine = MachineGossip("m-000231", "10.1.0.232:9000", "g8", "a", True, "up", 0.5, 12.0, ["img-07"])
    return {
        "job, new": Example("JobRecord", JobRecord(minimal_spec, 1_700_000_000_000)),
        "job, running": Example("JobRecord", running),
        "job, cancelled": Example(
            "JobRecord", JobRecord(minimal_spec, 1_700_000_000_000, Phase.CANCELLED, 5, [], runs)
        ),
        "final, done": Example("FinalRecord", FinalRecord(Phase.DONE, 16)),
        "final, cancelled": Example("FinalRecord", FinalRecord(Phase.CANCELLED, 16)),
        "node": Example("NodeRecord", NodeRecord("a", 7)),
        "leader": Example("LeaderRecord", LeaderRecord("plank-1", 7)),
        "block": Example("BlockRecord", ShardRecord("a", "plank-1", 7)),
        "hire, asked": Example("HireRecord", ProvisioningRecord("g8", "a", True, 2, 1_700_000_000_000)),
        "hire, answered": Example(
            "HireRecord",
            ProvisioningRecord("g8", "a", True, 2, 1_700_000_000_000, ["m-000231", "m-000232"]),
        ),
        "return, empty": Example("ReturnRecord", DrainRecord(1_700_000_000_000)),
        "return": Example("ReturnRecord", DrainRecord(1_700_000_000_000, {"m-000231": "idle"}, ["m-000232"])),
        "types": Example(
            "MachineTypes",
            MachineTypes(
                [
                    MachineType("c1", 16.0, 64.0, 0.7),
                    MachineType("g8", 96.0, 768.0, 12.0, 8.0, 200.0, 2.0, 4.5, 45.0, ["a"]),
                ]
            ),
        ),
        "hint, short": Example("Hint", GossipMessage("plank-1", "a", True, {"a": 3})),
        "hint": Example(
            "Hint",
            GossipMessage("plank-1", "a", False, {"a": 3}, [machine], {"a": 41}, True, 3.5, ["run-000412"]),
        ),
    }


def main() -> None:
    rows = {
        name: {"type": example.type_name, "bytes": encode(example.value).hex()} for name, example in examples().items()
    }
    RECORDED.write_text(json.dumps(rows, indent=1) + "\n", "utf-8")


if __name__ == "__main__":
    main()
