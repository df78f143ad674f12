"""Errors raised when a shard owner refuses a heartbeat or has been fenced."""

from __future__ import annotations

from enum import Enum

from cloverplank.basic_types import FencingToken, MachineId
from cloverplank.errors import CloverplankError


class HeartbeatRefusal(Enum):
    """Reason why a heartbeat is refused and renews no lease. The value is the text sent to the worker."""

    UNASSIGNED_TOKEN = "a token that nobody was granted"
    TOO_MANY_MACHINES = "too many machines"
    DUPLICATE = "a late copy"
    RESPONSES_LOST = "our answers don't reach it"


class FencedError(CloverplankError):
    """A worker has seen a higher fencing token than this owner's."""

    def __init__(self, machine: MachineId, token: FencingToken) -> None:
        super().__init__(f"machine {machine} has fencing token {token}, higher than this owner's")
        self.machine = machine
        self.token = token


class HeartbeatRefusedError(CloverplankError):
    """A heartbeat was refused, so the worker's lease is not renewed."""

    def __init__(self, machine: MachineId, refusal: HeartbeatRefusal) -> None:
        super().__init__(refusal.value)
        self.machine = machine
        self.refusal = refusal
