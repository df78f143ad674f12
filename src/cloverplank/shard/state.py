"""State of one shard that its parts share, and what all shards of a controller are built from."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cloverplank.autoscaling.draining import DrainingMachines
from cloverplank.basic_types import Clock, FencingToken, MachineId, MonotonicTime, TaskRef, WallTimeMs, Zone
from cloverplank.jobs.store import JobStore
from cloverplank.kvstore.transaction_queue import TransactionQueue
from cloverplank.load_meter import LoadMeter
from cloverplank.net.messages import Http
from cloverplank.shard.machine import Machine
from cloverplank.shard.ownership import ShardOwnership
from cloverplank.shard.shard_types import ShardLimits, Stop, TaskState
from cloverplank.wire.cloud import MachineType
from cloverplank.zones.recovery_plan import ClassOrder, RecoveryLimits, RecoveryPlan, StartRateLimiter

MAX_MACHINES = 20_000  # in one zone: a bound on memory
OWNER_SEARCH_S = 4.0  # workers find a new owner within this time: a time limit of theirs
UNDISTURBED_PLAN = RecoveryPlan({}, RecoveryLimits(0, 0.0, 0), ClassOrder(), WallTimeMs(0), lambda record, now: None)


@dataclass(frozen=True, kw_only=True)
class ShardServices:
    """What all shards of a controller share.

    `machine_types`: returns the machine types by name. `request_cycle`: asks for a scheduling cycle soon.
    """

    clock: Clock
    store: JobStore
    queue: TransactionQueue
    http: Http
    limits: ShardLimits
    machine_types: Callable[[], dict[str, MachineType]]
    draining: DrainingMachines
    request_cycle: Callable[[], None]
    meter: LoadMeter


class ShardState:
    """Machines, stop requests and ownership of one shard.

    `may_start`: returns whether this controller's lease lets it start tasks and commit changes.
    """

    def __init__(self, zone: Zone, token: FencingToken, services: ShardServices, may_start: Callable[[], bool]) -> None:
        self.zone = zone
        self.clock = services.clock
        self.store = services.store
        self.limits = services.limits
        self.machine_types = services.machine_types
        self.draining = services.draining
        self.request_cycle = services.request_cycle
        self.may_start = may_start
        self.ownership = ShardOwnership(zone, token, services.clock, services.limits)
        self.machines: dict[MachineId, Machine] = {}
        self.stops: dict[TaskRef, Stop] = {}
        self.emptying: dict[
            MachineId, MonotonicTime
        ] = {}  # machines that consolidation empties, with the time of the last move
        self.last_heartbeat_at = self.ownership.since  # the newest one of any machine
        self.running_arrays = 0  # job arrays with tasks here, as of the last scheduling cycle that counted them
        self.plan = UNDISTURBED_PLAN
        self.start_pace = StartRateLimiter(self.ownership.since)

    def get_or_add_machine(self, name: str) -> Machine:
        """Return the machine of that name, which is added if it is not known yet."""
        machine = self.machines.get(MachineId(name))
        if machine is None:
            now = self.clock.monotonic()
            machine = self.machines[MachineId(name)] = Machine(MachineId(name), self.zone, now)
            machine.last_contact_at = now
        return machine

    def tasks_expire_at(self, machine: Machine) -> MonotonicTime:
        """Return when the machine's tasks have certainly ended if it stays silent."""
        return machine.tasks_expire_at(self.limits.lease_s, self.ownership.unfenced_expiry_at)

    def heartbeat_age_s(self, machine: Machine, now: MonotonicTime) -> float:
        """Return for how long no heartbeat has come, beyond the time that workers have to find a new owner."""
        return now - max(
            machine.last_heartbeat_at, machine.added_at, MonotonicTime(self.ownership.since + OWNER_SEARCH_S)
        )

    def is_running(self, ref: TaskRef, name: str) -> bool:
        """Return whether the task runs on the machine, by the machine's newest heartbeat."""
        machine = self.machines.get(MachineId(name))
        return machine is not None and ref in machine.tasks and machine.tasks[ref].state == TaskState.RUNNING
