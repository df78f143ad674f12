"""The machine registry: every machine that the cloud, a peer or a shard of this controller has named."""

from __future__ import annotations

from msgspec import Struct, field

from cloverplank.autoscaling.machine_pools import MachinePool
from cloverplank.basic_types import NEVER, Clock, MachineId, MonotonicTime, Zone
from cloverplank.wire.cloud import ListedMachine
from cloverplank.wire.gossip import MachineGossip

UNLISTED_TTL_S = 30.0  # a machine is removed if the list omits it for this time plus UNLISTED_TTL_LIST_LAGS list lags
UNLISTED_TTL_LIST_LAGS = 3
TERMINATED_TTL_S = 600.0  # late machine lists and gossip may still name a terminated machine for this long

# The health of a machine in its shard owner's gossip; empty until the first gossip about the machine.
HEALTH_UNKNOWN = ""
HEALTH_UP = "up"
HEALTH_AWAITING_HEARTBEAT = "unheard"
HEALTH_SUSPECT = "quiet"
HEALTH_TAINTED = "tainted"
HEALTH_LOST = "lost"
HEALTH_FAULTY = "faulty"
ASSIGNABLE_HEALTH = frozenset({HEALTH_UNKNOWN, HEALTH_UP, HEALTH_AWAITING_HEARTBEAT, HEALTH_SUSPECT})

# The state of a machine in the cloud's machine list; a requested machine is "hired" until listed.
STATE_REQUESTED = "hired"
STATE_BOOTING = "booting"
STATE_RUNNING = "running"
STATE_FAILED = "failed"


class MachineEntry(Struct, eq=False):
    """The known state of one machine; times are readings of this controller's monotonic clock."""

    id: MachineId
    zone: Zone
    addr: str
    type: str
    spot: bool
    state: str = STATE_BOOTING
    provisioned_at: MonotonicTime = MonotonicTime(0.0)  # as far as known
    last_contact_at: MonotonicTime | None = None  # newest heartbeat or command response at its shard owner
    health: str = HEALTH_UNKNOWN
    termination_announced: bool = False  # the cloud has sent a termination notice
    listed_at: MonotonicTime | None = None
    images: frozenset[str] = frozenset()
    gossiped_images: list[str] = field(default_factory=list)
    idle_since: MonotonicTime | None = None
    up_since: MonotonicTime | None = None  # since when its shard owner has reported it as up

    def is_up(self) -> bool:
        """Return whether the machine is up, according to its shard owner or, without gossip, to the machine list."""
        if self.last_contact_at is not None:
            return self.health in (HEALTH_UP, HEALTH_AWAITING_HEARTBEAT)
        return self.state == STATE_RUNNING


class MachineRegistry:
    """All machines by id.

    `terminated`: the terminated machines that late machine lists and gossip may still name, with the time at which each
    was terminated.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.entries: dict[MachineId, MachineEntry] = {}
        self.terminated: dict[MachineId, MonotonicTime] = {}

    def add_requested(self, name: str, pool: MachinePool) -> None:
        """Add a machine that the cloud has provisioned, unless it is known or terminated already."""
        machine = MachineId(name)
        if machine in self.terminated or machine in self.entries:
            return
        self.entries[machine] = MachineEntry(
            id=machine,
            zone=pool.zone,
            addr="",
            type=pool.type,
            spot=pool.spot,
            state=STATE_REQUESTED,
            provisioned_at=self._clock.monotonic(),
        )

    def apply_list(self, machines: dict[str, ListedMachine], lag_s: float) -> None:
        """Apply the cloud's machine list, which lags by at most `lag_s` seconds."""
        now = self._clock.monotonic()
        for machine in machines.values():
            name = MachineId(machine.id)
            if name in self.terminated:
                continue
            entry = self.entries.get(name)
            if entry is None:
                entry = MachineEntry(name, Zone(machine.zone), machine.addr, machine.type, machine.spot)
                entry.provisioned_at = MonotonicTime(now - machine.age_s - lag_s)
                self.entries[name] = entry
            entry.addr = machine.addr or entry.addr
            entry.state = machine.state
            entry.listed_at = now
        self._remove_unlisted(machines, now, lag_s)
        for name, terminated_at in list(self.terminated.items()):
            if now - terminated_at > TERMINATED_TTL_S:
                del self.terminated[name]

    def _remove_unlisted(self, machines: dict[str, ListedMachine], now: MonotonicTime, lag_s: float) -> None:
        for name, entry in list(self.entries.items()):
            if name in machines:
                continue
            # Lists lag, and one may be older than the one before it, so only a long absence removes a machine.
            last_seen_at = max(entry.listed_at or entry.provisioned_at, entry.last_contact_at or NEVER)
            if now - last_seen_at > lag_s * UNLISTED_TTL_LIST_LAGS + UNLISTED_TTL_S:
                del self.entries[name]

    def apply_gossip(self, message: MachineGossip) -> None:
        """Apply the state of a machine that its shard owner gossips."""
        name = MachineId(message.id)
        if name in self.terminated:
            return
        now = self._clock.monotonic()
        entry = self.entries.get(name)
        if entry is None:
            entry = MachineEntry(name, Zone(message.zone), message.addr, message.type, message.spot)
            entry.provisioned_at = MonotonicTime(now - max(0.0, message.silent_s))
            self.entries[name] = entry
        entry.addr = message.addr or entry.addr
        entry.type, entry.spot = message.type or entry.type, message.spot
        entry.last_contact_at = MonotonicTime(now - message.silent_s)
        if message.state != HEALTH_UP:
            entry.up_since = None
        elif entry.up_since is None:
            entry.up_since = now
        entry.health = message.state
        entry.termination_announced = message.notice_s is not None
        if message.images != entry.gossiped_images:
            entry.images, entry.gossiped_images = frozenset(message.images), message.images

    def remove_terminated(self, name: str) -> None:
        """Remove a terminated machine, and ignore late lists and gossip that name it for TERMINATED_TTL_S."""
        self.entries.pop(MachineId(name), None)
        self.terminated[MachineId(name)] = self._clock.monotonic()
