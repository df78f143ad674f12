"""Sites: the settings of a small deployment, in the form that the users' pages give."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

HEAD = """label = "{label}"
location = "{zone}"
front = "{front}"
peer_listen = "{peer}"

{peers}
[outside]
cloud = "{cloud}"
state = "{state}"

[facts]
count = {count}
zones = [{zones}]
time_bound_ms = 5.0

{teams}
{objectives}
[facts.workers]
report_s = {report_s}
lease_s = {lease_s}
gang_wait_s = 40.0
gang_peer_s = 4.0
cancel_s = {cancel_s}

[facts.state]
rps = {rps}
write_rps = {write_rps}
value_kb = {value_kb}
txn_ops = {txn_ops}
{coming}
[facts.cloud]
rps = {cloud_rps}
list_lag_s = {list_lag_s}

[facts.machine_limits]
cpu = 0.72
mem_mb = {mem_mb}
sockets = {sockets}
"""
TEAM = '[[facts.teams]]\nname = "{name}"\ncpus = {cpus}\ncpus_max = {most}\ngpus = 0.0\ngpus_max = 0.0\n'


@dataclass(frozen=True, kw_only=True)
class Site:
    """A deployment: its zones, machine types, capacity by type, zone and kind, teams, and limits."""

    zones: list[str]
    types: list[dict[str, Any]]
    capacity: dict[tuple[str, str, bool], int]
    teams: dict[str, tuple[float, float]]  # CPUs guaranteed, CPUs at most
    objectives: list[dict[str, Any]] = field(default_factory=list)
    report_s: float = 2.0
    lease_s: float = 12.0
    cancel_s: float = 42.0
    list_lag_s: float = 4.0
    rps: float = 250.0
    write_rps: float = 30.0
    value_kb: float = 16.0
    txn_ops: int = 12
    coming: dict[str, float] = field(default_factory=dict)  # `state.next`: limits that the state service will have
    cloud_rps: float = 2.0
    mem_mb: float = 186.0
    sockets: int = 900

    def settings(self, **addresses: str) -> str:
        """Return the settings file of one controller."""
        teams = "".join(TEAM.format(name=name, cpus=cpus, most=most) for name, (cpus, most) in self.teams.items())
        return HEAD.format(
            **addresses,
            count=3,
            zones=", ".join(f'"{zone}"' for zone in self.zones),
            teams=teams,
            objectives="".join(_objective(one) for one in self.objectives),
            report_s=self.report_s,
            lease_s=self.lease_s,
            cancel_s=self.cancel_s,
            rps=self.rps,
            write_rps=self.write_rps,
            value_kb=self.value_kb,
            txn_ops=self.txn_ops,
            coming=_coming(self.coming),
            cloud_rps=self.cloud_rps,
            list_lag_s=self.list_lag_s,
            mem_mb=self.mem_mb,
            sockets=self.sockets,
        )


def _coming(limits: dict[str, float]) -> str:
    return "".join(["\n[facts.state.next]\n", *(f"{name} = {value}\n" for name, value in limits.items())]) if limits else ""


def _objective(fields: dict[str, Any]) -> str:
    lines = [f'{name} = "{value}"' if isinstance(value, str) else f"{name} = {value}" for name, value in fields.items()]
    return "[[facts.objectives]]\n" + "\n".join(lines) + "\n"


def machine_type(name: str, vcpus: float, ram_gb: float, rate: float, ready_s: float, zones: list[str]) -> dict[str, Any]:
    """Return a machine type as the cloud describes it."""
    return {
        "sku": name,
        "vcpus": vcpus,
        "gpus": 0.0,
        "ram_gb": ram_gb,
        "local_gb": 60.0,
        "pull_gb_per_s": 1.0,
        "rate": rate,
        "spot_price": round(rate * 0.31, 2),
        "ready_s": ready_s,
        "yards": zones,
    }


BOOKING_ZONE = "tuul-hall"
BOOKING_TYPES = [
    machine_type("steppe-16", 16.0, 64.0, 0.71, 20, [BOOKING_ZONE]),
    machine_type("khangai-32", 32.0, 256.0, 1.75, 30, [BOOKING_ZONE]),
]
BOOKING_TEAMS = {
    "booking-core": (88.0, 216.0),
    "reminders": (216.0, 304.0),
    "migration": (80.0, 216.0),
    "ward-liaison": (128.0, 264.0),
    "registry-link": (88.0, 216.0),
}
BOOKING_OBJECTIVES = [
    {"kind": "deadline", "class": "reminder-sweep", "share": 0.92, "times": 1.0},
    {"kind": "wait", "class": "slot-desk", "within_s": 1.0, "share": 0.88},
    {"kind": "guarantee", "within_s": 5.0, "share": 0.93},
]


def booking(capacity: dict[tuple[str, bool], int], **more: Any) -> Site:
    """Return the Ulaanbaatar booking office; `capacity` by machine type and whether spot."""
    return Site(
        **{
            "zones": [BOOKING_ZONE],
            "types": BOOKING_TYPES,
            "capacity": {(name, BOOKING_ZONE, spot): count for (name, spot), count in capacity.items()},
            "teams": BOOKING_TEAMS,
            "objectives": BOOKING_OBJECTIVES,
        }
        | more
    )


LEDGER_ZONES = ["guro-room", "pangyo-room"]
LEDGER_TYPES = [machine_type("hangang-16", 16.0, 64.0, 0.69, 25, LEDGER_ZONES)]
LEDGER_TEAMS = {f"ledger-ops-{number:02d}": (32.0, 88.0) for number in range(10)}
LEDGER_OBJECTIVES = [
    {"kind": "finished", "class": "balance-report", "within_s": 100.0, "share": 0.9},
    {"kind": "finished", "class": "balance-report", "within_s": 200.0, "share": 0.95},
    {"kind": "wait", "class": "card-issue", "within_s": 1.0, "share": 0.9},
    {"kind": "deadline", "class": "holiday-settle", "share": 0.95, "times": 1.0},
    {"kind": "wait", "class": "holiday-settle", "within_s": 1.0, "share": 0.85},
    {"kind": "guarantee", "within_s": 5.0, "share": 0.94},
]


def ledger(capacity: dict[tuple[str, bool], int], **more: Any) -> Site:
    """Return the Seoul gift card ledger; `capacity` by zone and whether spot."""
    return Site(
        **{
            "zones": LEDGER_ZONES,
            "types": LEDGER_TYPES,
            "capacity": {("hangang-16", zone, spot): count for (zone, spot), count in capacity.items()},
            "teams": LEDGER_TEAMS,
            "objectives": LEDGER_OBJECTIVES,
            "report_s": 2.5,
            "cancel_s": 37.0,
            "list_lag_s": 8.0,
            "rps": 150.0,
            "write_rps": 50.0,
            "value_kb": 8.0,
            "txn_ops": 40,
            "mem_mb": 266.0,
            "sockets": 1200,
        }
        | more
    )
