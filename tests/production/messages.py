"""A frozen copy of the definitions with which production reads what is stored and sent.

Test data: it changes only when another version is recorded as production. Field names, order and defaults are
production's; methods are left out.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated, Literal

from msgspec import Meta, Struct, field

Amount = Annotated[float, Meta(ge=0, le=1e12)]
Name = Annotated[str, Meta(min_length=1, max_length=200)]


class Phase(StrEnum):
    OPEN = "open"
    CANCELLED = "cancelled"
    DONE = "done"


class JobSpec(Struct, frozen=True):
    id: str
    job_class: Name = field(name="lane")
    team: Name = field(name="crew")
    shape: Literal["batch", "service", "ensemble"]
    rank: Literal["prod", "urgent", "standard", "idle"]
    tasks: Annotated[int, Meta(ge=1, le=100_000)] = field(name="pieces")
    cpus: Amount = field(name="vcpus")
    gpus: Amount
    memory_gb: Amount = field(name="ram_gb")
    image: Name = field(name="bundle")
    image_gb: Amount
    one_zone: bool = field(name="together")
    spread: bool = field(name="apart")
    spot: bool = field(name="loaners")
    estimate_s: Amount = field(name="guess_s")
    checkpoint_s: Amount = field(name="marker_s")
    save_s: Amount = field(name="stow_s")
    types: list[Name] | None = field(name="builds", default=None)
    zone: Name | None = field(name="yard", default=None)
    deadline_s: Amount | None = field(name="due_s", default=None)


class Run(Struct, array_like=True, frozen=True):
    machine: str
    zone: str
    attempt: int
    tasks: list[int]


class Eviction(Struct, array_like=True, frozen=True):
    machine: str
    count: int
    at: int
    since_attempt: int


class JobRecord(Struct, frozen=True, omit_defaults=True):
    spec: JobSpec
    at: int
    phase: Phase = Phase.OPEN
    next: int = 1
    done: list[int] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    allot: dict[str, int] = field(default_factory=dict)
    evictions: list[Eviction] = field(default_factory=list, name="ev")


class FinalRecord(Struct, frozen=True):
    phase: Phase
    tasks: int


class NodeRecord(Struct, frozen=True):
    zone: str
    lease: int


class LeaderRecord(Struct, frozen=True):
    node: str
    lease: int


class BlockRecord(Struct, frozen=True):
    zone: str
    node: str
    lease: int


class HireRecord(Struct, frozen=True):
    type: str
    zone: str
    spot: bool
    count: int
    at: int
    machines: list[str] = field(default_factory=list)


class ReturnRecord(Struct, frozen=True):
    at: int
    draining: dict[str, str] = field(default_factory=dict)
    gone: list[str] = field(default_factory=list)


class MachineType(Struct, frozen=True):
    name: str = field(name="sku")
    cpus: float = field(name="vcpus")
    memory_gb: float = field(name="ram_gb")
    price: float = field(name="rate")
    gpus: float = 0.0
    cache_gb: float = field(name="local_gb", default=0.0)
    fetch_gb_per_s: float = field(name="pull_gb_per_s", default=1.0)
    spot_price: float | None = None
    boot_s: float = field(name="ready_s", default=30.0)
    zones: list[str] = field(name="yards", default_factory=list)


class MachineTypes(Struct):
    types: list[MachineType] = field(name="builds")


class MachineHint(Struct, array_like=True):
    id: str
    addr: str
    type: str
    zone: str
    spot: bool
    state: str
    silent_s: float
    notice_s: float | None = None
    images: list[str] = field(default_factory=list)


class Hint(Struct):
    node: str
    zone: str
    state_ok: bool
    heard: dict[str, int]
    machines: list[MachineHint] = field(default_factory=list)
    holds: dict[str, int] = field(default_factory=dict)
    shy: bool = False
    changes: Annotated[float, Meta(ge=0, le=1e6)] = 0.0
    cancelled: list[str] = field(default_factory=list)
