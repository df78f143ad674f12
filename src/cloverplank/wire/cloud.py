"""Messages between controllers and the cloud. Prices are per hour, amounts of memory in GB, times in seconds."""

from __future__ import annotations

from msgspec import Struct, field

TYPES_PATH = "/machine_types"
MACHINES_PATH = "/machines"
TERMINATE_PATH = "/machines/release"
MAX_PROVISION = 50  # machines in one request
MAX_TERMINATE = 100  # machines in one request


class MachineType(Struct, frozen=True):
    """One machine type that the cloud offers, with its current prices; part of `MachineTypes`."""

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
    """The cloud's response to a controller's GET of TYPES_PATH: all machine types on offer."""

    types: list[MachineType] = field(name="builds")


class ProvisionRequest(Struct):
    """A controller's POST to MACHINES_PATH: provision `count` machines of one type in one zone.

    `request` identifies the request for retries and must never be used for another one.
    """

    request: str = field(name="hire")
    type: str = field(name="build")
    zone: str = field(name="yard")
    spot: bool = field(name="loaners")
    count: int = field(name="number")


class ProvisionResponse(Struct):
    """The cloud's response to a `ProvisionRequest`: the names of the machines, possibly fewer than requested."""

    machines: list[str] = field(name="planks")


class TerminateRequest(Struct):
    """A controller's POST to TERMINATE_PATH: the machines to terminate, by name."""

    machines: list[str] = field(name="planks")


class ListedMachine(Struct):
    """One machine as the cloud lists it; part of `MachineList`. `age_s` counts from the provision request."""

    id: str
    addr: str = field(name="endpoint", default="")
    type: str = field(name="build", default="")
    zone: str = field(name="yard", default="")
    spot: bool = field(name="loaners", default=False)
    state: str = field(name="status", default="booting")
    age_s: float = field(name="held_s", default=0.0)


class MachineList(Struct):
    """The cloud's response to a controller's GET of MACHINES_PATH: a page of machines, and whether `more` follow."""

    machines: list[ListedMachine] = field(name="planks")
    more: bool = False
