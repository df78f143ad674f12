"""Ownership of a shard: its fencing token, and the known state of former and later owners."""

from __future__ import annotations

import logging
from typing import NoReturn

from cloverplank.basic_types import Clock, FencingToken, MachineId, MonotonicTime, Zone
from cloverplank.kvstore import keys
from cloverplank.shard.errors import FencedError
from cloverplank.shard.shard_types import ShardLimits
from cloverplank.wire.kvstore import Compare
from cloverplank.wire.workers import Heartbeat

log = logging.getLogger(__name__)

LEASE_DRIFT_FACTOR = 1.002  # allows for a worker's lease being measured by another clock
GRACE_MARGIN_S = 1.0  # added to the sum of a former owner's grace period and the lease of its workers
FORMER_OWNER_LEASE_MARGIN_S = 0.5  # added to the lease of workers once all former owners have ended
MAX_UNTRUSTED_WORKERS = 20_000  # bounds memory use


class ShardOwnership:
    """One assignment of a shard to this controller, with its renewals. All times are of the monotonic clock."""

    def __init__(self, zone: Zone, token: FencingToken, clock: Clock, limits: ShardLimits) -> None:
        self._clock = clock
        self._lease_s = limits.lease_s
        self.zone = zone
        self.token = token
        self.first_token = token
        self.highest_token = token  # the highest one sent to any worker
        self.since = clock.monotonic()
        self._token_since = self.since
        # A former owner may respond to workers until the end of its grace period; a lease that it renewed ends later.
        self.unfenced_expiry_at = MonotonicTime(
            self.since + limits.grace_s + limits.lease_s * LEASE_DRIFT_FACTOR + GRACE_MARGIN_S
        )
        self.former_owners_ended = False
        self.token_renewal_wanted = False
        self.superseded = False
        self.superseded_by: MachineId | None = None
        self.superseded_at = self.since
        self.untrusted_workers: set[str] = set()  # machines that have shown a token that was never assigned

    def conditions(self) -> list[Compare]:
        """Return the comparisons that make a transaction fail once the shard has another owner."""
        return [Compare(keys.shard(self.zone), self.token)]

    def has_issued(self, token: int) -> bool:
        """Return whether this owner may have sent the token to a worker; no other owner has or will."""
        return self.first_token <= token <= self.highest_token

    def supersede(self, heartbeat: Heartbeat) -> NoReturn:
        """Stop acting as the owner because a worker has shown a higher token.

        Raises:
            FencedError: always.
        """
        if not self.superseded:
            log.info(
                "shard %s: machine %s has token %d, higher than own token %d: superseded",
                self.zone,
                heartbeat.machine,
                heartbeat.token,
                self.highest_token,
            )
            self.superseded_by, self.superseded_at = MachineId(heartbeat.machine), self._clock.monotonic()
        self.superseded = True
        raise FencedError(MachineId(heartbeat.machine), FencingToken(heartbeat.token))

    def reinstate(self) -> None:
        """Act as the owner again.

        Everything that was committed before a worker superseded this owner is known, and the shard is still assigned
        to this owner, so the token that the worker showed was never assigned.
        """
        log.info("shard %s: the token of machine %s was never assigned: not superseded", self.zone, self.superseded_by)
        self.superseded = False
        if self.superseded_by is not None and len(self.untrusted_workers) < MAX_UNTRUSTED_WORKERS:
            self.untrusted_workers.add(self.superseded_by)

    def renew_token(self, token: FencingToken) -> None:
        """Continue under a new token of this owner's own assignment; no other owner has responded in between."""
        now = self._clock.monotonic()
        held_s = now - self._token_since
        log.info("shard %s: token renewed: %d -> %d, after %.1f s", self.zone, self.token, token, held_s)
        self.token = token
        self._token_since = now
        self.highest_token = max(self.highest_token, token)
        self.token_renewal_wanted = False

    def mark_former_owners_ended(self) -> None:
        """Record that no former owner responds to workers any longer; only the first call has an effect.

        Their last responses were sent before this moment, so the leases that these renewed expire no later than one
        lease duration from now.
        """
        if self.former_owners_ended:
            return
        self.former_owners_ended = True
        expiry_at = MonotonicTime(
            self._clock.monotonic() + self._lease_s * LEASE_DRIFT_FACTOR + FORMER_OWNER_LEASE_MARGIN_S
        )
        if expiry_at < self.unfenced_expiry_at:
            log.info("shard %s: former owners have ended", self.zone)
            self.unfenced_expiry_at = expiry_at
