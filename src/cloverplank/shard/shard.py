"""A shard: the machines of one zone under one assignment to this controller."""

from __future__ import annotations

from collections.abc import Callable

from cloverplank.basic_types import FencingToken, MachineId, Zone
from cloverplank.scheduling.committed_headroom import CommittedHeadroom
from cloverplank.scheduling.queue import QueuedJob
from cloverplank.shard.capacity import ShardCapacity
from cloverplank.shard.command_planner import CommandPlanner
from cloverplank.shard.consolidation import Consolidation
from cloverplank.shard.evictions import Evictions
from cloverplank.shard.heartbeat_processor import HeartbeatProcessor
from cloverplank.shard.liveness import LivenessTracker
from cloverplank.shard.lost_machines import LostMachines
from cloverplank.shard.machine import Machine
from cloverplank.shard.placement import PlacementCycle
from cloverplank.shard.preemption import TurnoverRate
from cloverplank.shard.probing import Prober
from cloverplank.shard.record_changes import RecordChanges
from cloverplank.shard.state import MAX_MACHINES, ShardServices, ShardState
from cloverplank.shard.task_outcomes import TaskOutcomes
from cloverplank.shard.task_reconciler import TaskReconciler
from cloverplank.shard.task_stops import TaskStops
from cloverplank.wire.workers import Heartbeat
from cloverplank.zones.recovery_plan import RecoveryPlan


class Shard:
    """Manages the machines of one zone until the assignment ends; a new assignment creates a new `Shard`.

    `may_start`: returns whether this controller's lease lets it start tasks and commit changes.
    """

    def __init__(self, zone: Zone, token: FencingToken, services: ShardServices, may_start: Callable[[], bool]) -> None:
        state = self.state = ShardState(zone, token, services, may_start)
        self.zone = zone
        self.ownership = state.ownership
        self.machines = state.machines
        planner = CommandPlanner(state)
        self.task_reconciler = TaskReconciler(
            state, planner, http=services.http, meter=services.meter, apply_response=self._apply_command_response
        )
        changes = RecordChanges(state, services.queue)
        self._evictions = Evictions(state, changes)
        stops = TaskStops(state, self.task_reconciler.send_due_commands)
        turnover = TurnoverRate(state.clock)
        capacity = ShardCapacity(state)
        self._lost_machines = LostMachines(state)
        self._prober = Prober(state, self.task_reconciler.send, self._lost_machines)
        self._liveness = LivenessTracker(
            state,
            prober=self._prober,
            lost_machines=self._lost_machines,
            stops=stops,
            evict=self._evictions.evict,
        )
        self._placement = PlacementCycle(state, changes=changes, capacity=capacity, stops=stops, turnover=turnover)
        self._consolidation = Consolidation(state, capacity=capacity, stops=stops)
        self.heartbeat_processor = HeartbeatProcessor(
            state,
            planner=planner,
            outcomes=TaskOutcomes(state, changes, turnover.record_freed),
            start_probe=self._prober.start_probe,
        )
        self.on_heartbeat = self.heartbeat_processor.on_heartbeat  # bound here to save each heartbeat another call

    def add_known_machine(self, name: str, addr: str, type_name: str, *, spot: bool) -> None:
        """Add a machine known from a peer or the cloud, so that it can be sent requests before its first heartbeat."""
        if MachineId(name) not in self.machines and len(self.machines) >= MAX_MACHINES:
            return
        machine = self.state.get_or_add_machine(name)
        if not machine.addr:
            machine.addr, machine.type, machine.spot = addr, type_name, spot

    def machine_terminated(self, name: str) -> None:
        """Evict and remove a machine whose termination the cloud has confirmed, which proves that its tasks ended."""
        self._evictions.evict(MachineId(name), "terminated")
        self.machines.pop(MachineId(name), None)

    def check_machines(self) -> None:
        """Update the health of the machines, and evict those that are down."""
        self._liveness.check()

    def place(self, queued_jobs: list[QueuedJob], headroom: CommittedHeadroom, plan: RecoveryPlan) -> None:
        """Place the tasks allocated to this zone, in order, at the rate that the plan allows."""
        self.state.plan = plan
        if self.state.may_start() and not self.ownership.superseded:
            self._placement.run(queued_jobs, headroom)

    def consolidate(self, headroom: CommittedHeadroom) -> None:
        """Move replicas off machines, so that these can be scaled in."""
        if self.state.may_start() and not self.ownership.superseded:
            capacity_lacking = self._placement.replicas_lack_capacity
            self._consolidation.run(headroom, replicas_lack_capacity=capacity_lacking)

    def remove_completed_evictions(self) -> None:
        """Remove the entries of completed evictions."""
        self._evictions.remove_completed_entries()

    def take_newly_lost(self) -> bool:
        """Return whether a machine was marked as lost since the last call."""
        return self._lost_machines.take_changed()

    def close(self) -> None:
        """Cancel all requests to workers."""
        self.task_reconciler.close()
        self._prober.close()

    def _apply_command_response(self, machine: Machine, heartbeat: Heartbeat) -> None:
        self.heartbeat_processor.apply_status(machine, heartbeat, is_heartbeat=False)
