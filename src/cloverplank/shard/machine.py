"""State of a machine in a shard, as known to the shard's owner."""

from __future__ import annotations

import logging
from enum import Enum

from msgspec import Struct, field

from cloverplank.basic_types import (
    MAX_CLOCK_DRIFT,
    NEVER,
    FencingToken,
    MachineId,
    MonotonicTime,
    TaskRef,
    Zone,
    parse_task_name,
)
from cloverplank.wire.workers import Heartbeat, TaskStatus

log = logging.getLogger(__name__)

MAX_IMAGES = 80
MAX_CACHE_FRACTION = 0.9  # share of a machine's image cache that the remembered images may fill
EXPIRY_MARGIN_S = 0.2  # added to a worker's lease to allow for delays inside the worker


class Health(Enum):
    """Health of a machine, which decides whether it accepts new tasks. The values are encoded in gossip."""

    AWAITING_HEARTBEAT = "unheard"  # no heartbeat with this owner's token has arrived yet
    UP = "up"
    UNCONFIRMED = "doubted"  # heartbeats arrive, but two-way contact is not confirmed: no new tasks
    SUSPECT = "quiet"  # heartbeats are missing: no new tasks
    TAINTED = "tainted"  # silent past the threshold, and its lease has expired: its tasks are evicted


class UnresolvedStart(Struct, frozen=True):
    """A start command without a response, which the worker may still execute."""

    token: FencingToken
    sent_at: MonotonicTime


class Machine(Struct, eq=False):
    """State of one machine. All times are taken from the owner's monotonic clock."""

    id: MachineId
    zone: Zone
    added_at: MonotonicTime
    addr: str = ""
    type: str = ""
    spot: bool = False
    health: Health = Health.AWAITING_HEARTBEAT
    up_since: MonotonicTime | None = None  # when its health last became UP
    fenced: bool = False  # the worker has this owner's token, and ignores other owners' responses and commands
    incarnation: int = 0
    sequence: int = 0
    last_heartbeat: tuple[int, int] = (0, 0)  # incarnation and sequence of the newest one, excluding command responses
    token: int | None = None  # the highest token carried by its heartbeats
    sent_token: FencingToken = FencingToken(0)  # the highest token that this owner has raised it to, 0 if it has not
    response_token: FencingToken = FencingToken(0)  # the token in the last response to a heartbeat
    last_start_token: FencingToken = FencingToken(0)  # the highest token of a request that held start commands
    contact_confirmed: bool = False  # a response or command has reached this incarnation since it was last silent
    unacknowledged_responses: int = 0  # heartbeats answered since one showed the token of the last response
    last_contact_at: MonotonicTime = NEVER  # arrival of the newest heartbeat or command response
    last_heartbeat_at: MonotonicTime = NEVER  # newest heartbeat; command responses are excluded, as they renew no lease
    last_response_at: MonotonicTime = NEVER  # the owner's last response that may have renewed its lease
    terminates_at: MonotonicTime | None = None  # when the cloud provider terminates it, if announced
    tasks: dict[TaskRef, TaskStatus] = field(default_factory=dict)
    reported_tasks: list[TaskStatus] = field(default_factory=list)  # the same tasks, as listed in the newest heartbeat
    reconciled_at_change: int | None = None  # the store's change count when it was last found fully reconciled
    first_seen: dict[TaskRef, MonotonicTime] = field(default_factory=dict)
    seen_running: set[TaskRef] = field(default_factory=set)
    started_in_response: set[TaskRef] = field(default_factory=set)  # started by the last response, outcome unknown
    started_in_commands: set[TaskRef] = field(default_factory=set)  # started by command requests in flight
    unresolved: dict[TaskRef, UnresolvedStart] = field(default_factory=dict)
    images: dict[str, float] = field(default_factory=dict)  # sizes in GB by name, the most recently used last
    known_images: frozenset[str] = frozenset()  # the names in `images`
    probing: bool = False
    lost_since: MonotonicTime | None = None  # when it was last marked as lost: silent, and no probe response
    sending: bool = False  # a command request is in flight
    resend_wanted: bool = False
    send_failed_at: MonotonicTime = NEVER

    def transition(self, health: Health, reason: str) -> None:
        """Change the health, and log the change with its reason."""
        if health is not self.health:
            level = logging.INFO if Health.TAINTED in (health, self.health) else logging.DEBUG
            log.log(level, "machine %s: %s -> %s: %s", self.id, self.health.value, health.value, reason)
            self.health = health
            self.reconciled_at_change = None

    def is_newer(self, heartbeat: Heartbeat) -> bool:
        """Return whether the heartbeat is newer than the known state of the worker, including command responses."""
        return (heartbeat.incarnation, heartbeat.sequence) > (self.incarnation, self.sequence)

    def is_duplicate(self, heartbeat: Heartbeat) -> bool:
        """Return whether this heartbeat or a later one was received before.

        A worker has one heartbeat in flight at a time, so it does not wait for the response to a duplicate.
        """
        return (heartbeat.incarnation, heartbeat.sequence) <= self.last_heartbeat

    def is_unchanged(self, heartbeat: Heartbeat, change_count: int) -> bool:
        """Return whether neither the machine's state nor its jobs have changed since it was fully reconciled.

        This holds for most heartbeats, so their cost must not grow with the number of tasks or jobs. `change_count`:
        the store's current count of changes for this machine.
        """
        return (
            self.reconciled_at_change == change_count
            and self.health is Health.UP
            and self.contact_confirmed
            and self.fenced
            and heartbeat.token == self.token
            and heartbeat.incarnation == self.incarnation
            and heartbeat.sequence > self.sequence
            and heartbeat.notice_s is None
            and self.terminates_at is None
            and not self.started_in_response
            and not self.started_in_commands
            and not self.unresolved
            and heartbeat.tasks == self.reported_tasks
        )

    def apply_unchanged(self, heartbeat: Heartbeat, now: MonotonicTime) -> None:
        """Record a heartbeat for which `is_unchanged` holds."""
        self.sequence = heartbeat.sequence
        self.last_heartbeat = (heartbeat.incarnation, heartbeat.sequence)
        self.last_contact_at = self.last_heartbeat_at = self.last_response_at = now
        self.unacknowledged_responses = 0

    def apply(self, heartbeat: Heartbeat, now: MonotonicTime, *, is_heartbeat: bool) -> None:
        """Record a newer status that carries one of this owner's tokens.

        `is_heartbeat`: the worker sent the status as a heartbeat, otherwise in the response to a command request.
        """
        if heartbeat.incarnation != self.incarnation:
            # Commands for a former incarnation are no longer executed.
            self.unresolved.clear()
            self.started_in_response.clear()
            self.contact_confirmed = False
        elif is_heartbeat:
            # One heartbeat is in flight at a time, so the response to the previous one was handled or dropped.
            self.started_in_response.clear()
        for ref, start in list(self.unresolved.items()):
            if start.token < heartbeat.token:
                del self.unresolved[ref]
        self.incarnation, self.sequence = heartbeat.incarnation, heartbeat.sequence
        self.reconciled_at_change = None
        self.reported_tasks = heartbeat.tasks
        self.tasks = {}
        for status in heartbeat.tasks:
            parsed = parse_task_name(status.task, status.attempt)
            if parsed is not None:
                self.tasks[parsed] = status
        self.first_seen = {ref: self.first_seen.get(ref, now) for ref in self.tasks}
        self.seen_running &= self.tasks.keys()
        self.last_contact_at = now

    def confirm_contact(self) -> None:
        """Record two-way contact.

        A heartbeat alone does not prove it: it may be a late duplicate, or the machine may be in a one-way partition.
        """
        self.contact_confirmed = True
        self.lost_since = None

    def has_inbound_partition(self) -> bool:
        """Return whether heartbeats arrive but a probe got no response, which indicates an inbound partition."""
        return self.health is Health.UNCONFIRMED and self.lost_since is not None

    def may_start_late(self, ref: TaskRef) -> bool:
        """Return whether a start command for the task may still be executed although no heartbeat shows the task."""
        return ref in self.started_in_response or ref in self.started_in_commands or ref in self.unresolved

    def forget_tasks(self) -> None:
        """Drop all tasks and start commands, because the tasks are proven to have ended."""
        self.started_in_response.clear()
        self.started_in_commands.clear()
        self.unresolved.clear()
        self.tasks.clear()

    def tasks_expire_at(self, lease_s: float, unfenced_expiry_at: MonotonicTime) -> MonotonicTime:
        """Return when the machine's tasks have certainly ended if it stays silent.

        That is when the lease expires, counted from the owner's last response. While the worker has not shown the
        owner's token, it is no earlier than the expiry of a lease that a former owner's last possible response renewed
        (`unfenced_expiry_at`).
        """
        expiry_at = MonotonicTime(self.last_response_at + lease_s * (1 + 2 * MAX_CLOCK_DRIFT) + EXPIRY_MARGIN_S)
        return expiry_at if self.fenced else max(expiry_at, unfenced_expiry_at)

    def remember_image(self, image: str, size_gb: float, cache_gb: float) -> None:
        """Record the use of an image.

        The worker keeps the most recently used images that fit in its cache. If fewer were remembered here, tasks that
        should start at once would be sent to machines that have to pull the image first.
        """
        is_new = self.images.pop(image, None) is None
        self.images[image] = size_gb
        while len(self.images) > 1 and (
            len(self.images) > MAX_IMAGES or sum(self.images.values()) > MAX_CACHE_FRACTION * cache_gb
        ):
            self.images.pop(next(iter(self.images)))
        if is_new:
            self.known_images = frozenset(self.images)
