"""State shared by the modules of one shard, and the dependencies shared by all shards of a controller."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cloverplank.autoscaling.draining import DrainingMachines
from cloverplank.basic_types import Clock, FencingToken, MachineId, MonotonicTime, TaskRef, WallTimeMs, Zone
from cloverplank.jobs.store import JobStore
from cloverplank.kvstore.transaction_queue import TransactionQueue
from cloverplank.load_meter import LoadMeter
from cloverplank.net.messages import HttpClient
from cloverplank.scheduling.failure_history import FailureHistory
from cloverplank.shard.command_history import CommandHistory
from cloverplank.shard.machine import Machine
from cloverplank.shard.ownership import ShardOwnership
from cloverplank.shard.shard_types import ShardLimits, StopRequest, TaskState
from cloverplank.shard.worker_tokens import WorkerTokens
from cloverplank.wire.cloud import MachineType
from cloverplank.wire.users import JobSpec
from cloverplank.zones.recovery_plan import ClassOrder, RecoveryLimits, RecoveryPlan, StartRateLimiter

MAX_MACHINES = 20_000  # per zone; bounds memory use
OWNER_DISCOVERY_S = 4.0  # time limit within which workers find a new owner
# Treats all zones as healthy; replaced by the first call of `Shard.place`.
INITIAL_PLAN = RecoveryPlan({}, RecoveryLimits(0, 0.0, 0), ClassOrder(), WallTimeMs(0), lambda record, now: None)


@dataclass(frozen=True, kw_only=True)
class ShardServices:
    """Dependencies shared by all shards of a controller.

    `machine_types`: returns the machine types by name. `request_cycle`: requests a scheduling cycle soon.
    `starts_at_once`: returns whether a job is of a class that should not wait for capacity that ending tasks free.
    `newest_token`: returns the newest known revision of the store at which a shard was assigned under a token.
    """

    clock: Clock
    store: JobStore
    queue: TransactionQueue
    http: HttpClient
    limits: ShardLimits
    machine_types: Callable[[], dict[str, MachineType]]
    draining: DrainingMachines
    request_cycle: Callable[[], None]
    meter: LoadMeter
    failures: FailureHistory
    starts_at_once: Callable[[JobSpec], bool]
    newest_token: Callable[[Zone, FencingToken], FencingToken]


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
        self.failures = services.failures
        self.starts_at_once = services.starts_at_once
        self.may_start = may_start
        self.ownership = ShardOwnership(zone, token, services.clock, services.limits)
        self.tokens = WorkerTokens(self.ownership, services.newest_token)
        self.command_history = CommandHistory(services.clock)
        self.machines: dict[MachineId, Machine] = {}
        self.stops: dict[TaskRef, StopRequest] = {}
        # Machines that consolidation is emptying, with the time of the last move.
        self.emptying: dict[MachineId, MonotonicTime] = {}
        self.last_heartbeat_at = self.ownership.since  # newest heartbeat of any machine
        self.running_arrays = 0  # job arrays with tasks in this zone, as of the last scheduling cycle that counted them
        self.plan = INITIAL_PLAN
        self.start_rate_limiter = StartRateLimiter(self.ownership.since)

    def get_or_add_machine(self, name: str) -> Machine:
        """Return the machine of that name, which is added if it is unknown."""
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
        """Return the seconds since the last heartbeat, excluding the time that workers have to find a new owner."""
        return now - max(
            machine.last_heartbeat_at, machine.added_at, MonotonicTime(self.ownership.since + OWNER_DISCOVERY_S)
        )

    def is_running(self, ref: TaskRef, name: str) -> bool:
        """Return whether the task runs on the machine, by the machine's newest heartbeat."""
        machine = self.machines.get(MachineId(name))
        return machine is not None and ref in machine.tasks and machine.tasks[ref].state == TaskState.RUNNING
