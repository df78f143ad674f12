"""Fencing tokens of an owner's messages to workers, raised so that no copy of a start command is executed again."""

from __future__ import annotations

import logging
from collections.abc import Callable

from cloverplank.basic_types import FencingToken, Zone
from cloverplank.shard.machine import Machine
from cloverplank.shard.ownership import ShardOwnership

log = logging.getLogger(__name__)


class WorkerTokens:
    """Chooses the token of each message that one shard's owner sends to a worker.

    A copy of a command request may arrive at any time after the request was answered, and is executed while its token
    is the worker's highest and its incarnation has not ended. A start in it has no effect as long as the worker knows
    the attempt. The worker forgets an attempt when it executes the acknowledgement, so that is sent only under a token
    above those of all starts that were sent to the worker directly: it refuses their copies from then on.

    Any revision of the key-value store at which the shard was still assigned to this owner is such a token, and needs
    no commit: a later owner's token is the revision of a later assignment, so it is higher.

    `newest_token`: returns the newest known revision at which the zone's shard was assigned under the given token.
    """

    def __init__(self, ownership: ShardOwnership, newest_token: Callable[[Zone, FencingToken], FencingToken]) -> None:
        self._ownership = ownership
        self._newest_token = newest_token
        self.raised = 0  # how often a worker's token was raised

    def current(self, machine: Machine) -> FencingToken:
        """Return the token of the next message to the worker."""
        return max(self._ownership.token, machine.sent_token)

    def newest(self) -> FencingToken:
        """Return the newest known revision of the store at which the shard was assigned to this owner."""
        return self._newest_token(self._ownership.zone, self._ownership.token)

    def raise_above_starts(self, machine: Machine) -> bool:
        """Raise the worker's token above those of all starts that were sent to it directly.

        Return False if no such token is known yet; the watch delivers one with the next change in the store.
        """
        if machine.last_start_token < self.current(machine):
            return True
        token = self.newest()
        if token <= machine.last_start_token:
            return False
        log.debug("machine %s: token raised to %d, to acknowledge task exits", machine.id, token)
        machine.sent_token = token
        self._ownership.highest_token = max(self._ownership.highest_token, token)
        self.raised += 1
        return True
