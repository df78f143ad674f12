"""The platform's settings file (TOML)."""

from __future__ import annotations

import ipaddress
import tomllib
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta, Struct, field

from cloverplank.basic_types import MAX_CLOCK_DRIFT
from cloverplank.settings import InvalidSettingsError

MIN_MARGIN_S = 1.0  # covers a worker's own delay, and rounding
MIN_CONTACT_S = 1.0  # a shard owner can't do its work with a shorter bound
MIN_VALUE_KB = 1.0  # no job record fits in a smaller value
MIN_CPU = 0.01  # cores; with less, a lease with the shortest time to live is not renewed in time
MIN_MEM_MB = 40.0  # the interpreter and the imported modules take about half of it
MIN_SOCKETS = 16
MAX_PORT = 65535
BYTES_PER_KB = 1024

Positive = Annotated[float, Meta(gt=0, le=1e9)]
Amount = Annotated[float, Meta(ge=0, le=1e12)]
Name = Annotated[str, Meta(min_length=1, max_length=100)]


class Addr(Struct, frozen=True):
    """An IPv4 address with a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Peer(Struct):
    """Another controller: its name, zone and address for peers."""

    label: Name
    location: Name
    peer_addr: str


class Outside(Struct):
    """The addresses of the cloud and of the key-value store."""

    cloud: str
    state: str


class Team(Struct):
    """A team with its guaranteed quota and its limit, in cores and GPUs."""

    name: Name
    cpus: Amount
    cpus_max: Amount
    gpus: Amount = 0.0
    gpus_max: Amount = 0.0


class Objective(Struct):
    """A service-level objective of a class of jobs: the fraction `share` of them is within `within_s`."""

    kind: str
    job_class: str = field(name="class", default="")
    within_s: float = 0.0
    share: float = 0.0


class Workers(Struct):
    """Times of workers, in seconds: between heartbeats, of their leases, and until cancelled tasks have ended."""

    heartbeat_interval_s: Positive = field(name="report_s")
    lease_s: Positive
    cancel_s: Positive


class ComingStateLimits(Struct):
    """Limits that the key-value store will have from an unknown later time on; absent ones stay as they are."""

    rps: Positive | None = None
    write_rps: Positive | None = None
    value_kb: Positive | None = None
    txn_ops: Annotated[int, Meta(ge=2)] | None = None


class StateLimits(Struct):
    """Limits of the key-value store: requests and changes per second, size of a value, changes in a transaction."""

    rps: Positive
    write_rps: Positive
    value_kb: Positive
    txn_ops: Annotated[int, Meta(ge=2)]
    next: ComingStateLimits | None = None

    def value_bytes(self) -> int:
        """Return the size limit of a value in bytes."""
        return int(self.value_kb * BYTES_PER_KB)

    def lowest(self) -> StateLimits:
        """Return the limits that hold both now and after the coming change, which takes effect without notice."""
        coming = self.next or ComingStateLimits()
        return StateLimits(
            min(self.rps, coming.rps or self.rps),
            min(self.write_rps, coming.write_rps or self.write_rps),
            min(self.value_kb, coming.value_kb or self.value_kb),
            min(self.txn_ops, coming.txn_ops or self.txn_ops),
        )


class CloudLimits(Struct):
    """Limits of the cloud: requests per second, and how late its list of machines is."""

    rps: Positive
    list_lag_s: Amount


class MachineLimits(Struct):
    """Resources that a controller has on its own machine: the fraction of a core, memory in MB, sockets."""

    cpu: Positive = 1.0
    mem_mb: Positive = 256.0
    sockets: Annotated[int, Meta(ge=MIN_SOCKETS)] = 1024


class Facts(Struct):
    """The deployment, and the limits of everything that a controller uses."""

    zones: Annotated[list[Name], Meta(min_length=1)]
    workers: Workers
    state: StateLimits
    cloud: CloudLimits
    teams: list[Team] = field(default_factory=list)
    objectives: list[Objective] = field(default_factory=list)
    machine_limits: MachineLimits = field(default_factory=MachineLimits)
    time_bound_ms: Amount = 0.0


class PlatformSettings(Struct):
    """The settings of one controller: its name, zone and addresses, its peers, and the deployment."""

    label: Name
    location: Name
    front: str
    peer_listen: str
    outside: Outside
    facts: Facts
    peers: list[Peer] = field(default_factory=list)

    def controllers(self) -> frozenset[str]:
        """Return the names of all controllers of the deployment."""
        return frozenset({self.label, *(peer.label for peer in self.peers)})


def parse_addr(text: str, field_name: str) -> Addr:
    """Return the address in the text. Raises InvalidSettingsError, which names the field `field_name`."""
    host, colon, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        port_number = int(port)
    except ValueError:
        port_number = 0
    if not colon or not 0 < port_number <= MAX_PORT:
        raise InvalidSettingsError(f"not an IPv4 address with a port: {text!r}", field=field_name)
    return Addr(host, port_number)


def contact_bound(cancel_s: float, lease_s: float, margin_s: float, controller_lease_s: float) -> float:
    """Return for how many seconds after its last contact with the key-value store a shard owner may answer workers.

    A response may let a cancelled task continue for the whole lease of its worker, and the owner may not know of a
    cancellation that was committed after the last contact. Where the operators' margin leaves less than a controller's
    lease, the margin is shortened, but not below MIN_MARGIN_S: cancelled tasks always end within `cancel_s`.
    """
    max_contact_s = cancel_s - lease_s * (1 + 2 * MAX_CLOCK_DRIFT)
    return max(max_contact_s - margin_s, min(controller_lease_s, max_contact_s - MIN_MARGIN_S))


def _check(settings: PlatformSettings) -> None:
    """Raise InvalidSettingsError where fields are inconsistent with each other, or an address is invalid."""
    parse_addr(settings.front, "front")
    parse_addr(settings.peer_listen, "peer_listen")
    parse_addr(settings.outside.cloud, "outside.cloud")
    parse_addr(settings.outside.state, "outside.state")
    for number, peer in enumerate(settings.peers):
        parse_addr(peer.peer_addr, f"peers[{number}].peer_addr")
    facts = settings.facts
    _check_unique([settings.label, *(peer.label for peer in settings.peers)], "peers", "a label")
    _check_unique(facts.zones, "facts.zones", "a zone")
    _check_unique([team.name for team in facts.teams], "facts.teams", "a name")
    for team in facts.teams:
        if team.cpus > team.cpus_max or team.gpus > team.gpus_max:
            raise InvalidSettingsError(f"{team.name}: guaranteed more than its limit", field="facts.teams")
    _check_state_limits(facts.state)
    _check_machine_limits(facts.machine_limits)
    _check_workers(facts.workers)


def _check_unique(names: list[str], field_name: str, what: str) -> None:
    if len(set(names)) != len(names):
        raise InvalidSettingsError(f"{what} is given twice", field=field_name)


def _check_state_limits(limits: StateLimits) -> None:
    field_name = "facts.state" if limits.value_kb < MIN_VALUE_KB else "facts.state.next"
    if limits.lowest().value_kb < MIN_VALUE_KB:
        raise InvalidSettingsError(f"under {MIN_VALUE_KB:g} no job record fits", field=f"{field_name}.value_kb")


def _check_machine_limits(limits: MachineLimits) -> None:
    for name, value, minimum in (("cpu", limits.cpu, MIN_CPU), ("mem_mb", limits.mem_mb, MIN_MEM_MB)):
        if not value >= minimum:  # also refuses NaN
            raise InvalidSettingsError(
                f"{value:g} is too small to serve with; at least {minimum:g}", field=f"facts.machine_limits.{name}"
            )


def _check_workers(workers: Workers) -> None:
    min_cancel_s = workers.lease_s * (1 + 2 * MAX_CLOCK_DRIFT) + MIN_MARGIN_S + MIN_CONTACT_S
    if workers.cancel_s < min_cancel_s:
        raise InvalidSettingsError(
            f"{workers.cancel_s:g} is too short for lease_s {workers.lease_s:g}: "
            f"a cancelled task can't be gone in time under {min_cancel_s:.2f}",
            field="facts.workers.cancel_s",
        )


def parse_platform(text: str) -> PlatformSettings:
    """Return the settings in a file's text (TOML). Raises InvalidSettingsError."""
    try:
        settings = msgspec.convert(tomllib.loads(text), PlatformSettings, strict=False)
    except tomllib.TOMLDecodeError as err:
        raise InvalidSettingsError(f"not TOML: {err}") from err
    except msgspec.ValidationError as err:
        raise InvalidSettingsError(str(err).replace("\n", " ")) from err
    _check(settings)
    return settings


def read_platform(path: Path) -> PlatformSettings:
    """Return the settings in a file. Raises InvalidSettingsError."""
    try:
        return parse_platform(path.read_text("utf-8"))
    except (OSError, UnicodeDecodeError) as err:
        raise InvalidSettingsError(str(err), file=path) from err
    except InvalidSettingsError as err:
        raise err.in_file(path) from err
