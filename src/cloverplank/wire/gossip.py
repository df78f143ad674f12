"""Messages between controllers. They are hints: no decision depends on them for its correctness."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct, field

GOSSIP_PATH = "/peer/hint"


class MachineGossip(Struct, array_like=True):
    """One machine as a shard owner knows it; part of `GossipMessage`. Times are in seconds."""

    id: str
    addr: str
    type: str
    zone: str
    spot: bool
    state: str
    silent_s: float
    notice_s: float | None = None
    images: list[str] = field(default_factory=list)


class FailureGossip(Struct, array_like=True):
    """The failures of one job on one machine as the machine's shard owner knows them; part of `GossipMessage`.

    `count` is the number of consecutive failures of the job on the machine, `job_count` that on all machines, and
    `job_machines` the number of machines on which it failed, which may be gone by now.
    """

    job: str
    machine: str
    count: Annotated[int, Meta(ge=0)]
    job_count: Annotated[int, Meta(ge=0)]
    job_machines: Annotated[int, Meta(ge=0)]
    failed_s_ago: float


class SuspectedPeer(Struct, array_like=True):
    """The sender suspects this incarnation of a controller; part of `GossipMessage`."""

    node: str
    incarnation: Annotated[int, Meta(ge=0)] = 0


class GossipMessage(Struct):
    """A controller's message to every other controller: its own state, and the state of workers that it knows.

    `worker_counts` counts, by zone, the workers that recently sent a heartbeat to this controller. `shard_tokens` has
    the fencing token of each shard that it owns, by zone. `declines_assignments` says that it accepts no shard, since
    it receives no heartbeats. `demand` is the number of changes per second that it would make in the key-value store.
    `cancelled` names jobs whose cancellation it has recently committed. `incarnation` rises when the controller learns
    that it is suspected. `failures` has the failures of tasks on the machines of its shards.
    """

    node: str
    zone: str
    store_available: bool = field(name="state_ok")
    worker_counts: dict[str, int] = field(name="heard")
    machines: list[MachineGossip] = field(default_factory=list)
    shard_tokens: dict[str, int] = field(name="holds", default_factory=dict)
    declines_assignments: bool = field(name="shy", default=False)
    demand: Annotated[float, Meta(ge=0, le=1e6)] = field(name="changes", default=0.0)
    cancelled: list[str] = field(default_factory=list)
    incarnation: Annotated[int, Meta(ge=0)] = 0
    suspects: list[SuspectedPeer] = field(default_factory=list)
    failures: list[FailureGossip] = field(default_factory=list)
