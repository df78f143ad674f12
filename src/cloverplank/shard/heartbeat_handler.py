"""HTTP handler for heartbeats: an owned shard responds, other heartbeats are redirected to the shard's owner."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

from cloverplank.autoscaling.registry import MachineRegistry
from cloverplank.basic_types import Zone
from cloverplank.kvstore import keys
from cloverplank.kvstore.controller_lease import ControllerLease, LeaseState
from cloverplank.kvstore.watch_cache import WatchCache
from cloverplank.membership.gossip import PeerGossip
from cloverplank.net.messages import Response, bad_request, make_response
from cloverplank.shard.errors import FencedError, HeartbeatRefusedError
from cloverplank.shard.owned_shards import OwnedShards
from cloverplank.wire.codec import MessageDecodeError, decode
from cloverplank.wire.users import ErrorResponse
from cloverplank.wire.workers import Heartbeat, Redirect

TERMINATED_RETRY_AFTER_S = 30
REFUSED_RETRY_AFTER_S = 1


class HeartbeatHandler:
    """Responds to the heartbeats of all zones."""

    def __init__(
        self,
        *,
        controller_lease: ControllerLease,
        watch_cache: WatchCache,
        registry: MachineRegistry,
        gossip: PeerGossip,
        owned: OwnedShards,
        request_cycle: Callable[[], None],
    ) -> None:
        self._controller_lease = controller_lease
        self._watch_cache = watch_cache
        self._registry = registry
        self._gossip = gossip
        self._owned = owned
        self._request_cycle = request_cycle

    def handle(self, body: bytes) -> Response:
        """Return the response to an encoded heartbeat."""
        try:
            heartbeat = decode(body, Heartbeat)
        except MessageDecodeError as err:
            return bad_request(err)
        if not self._gossip.record_worker_heartbeat(heartbeat.zone, heartbeat.machine):
            return make_response(HTTPStatus.MISDIRECTED_REQUEST, Redirect())
        if heartbeat.machine in self._registry.terminated:
            # A late duplicate, which must not add the terminated machine again.
            return _unavailable("released", TERMINATED_RETRY_AFTER_S)
        return self._respond_from_owned_shard(heartbeat) or self._redirect(Zone(heartbeat.zone))

    def _respond_from_owned_shard(self, heartbeat: Heartbeat) -> Response | None:
        """Return the shard's response, or None if this controller does not own the shard."""
        zone = Zone(heartbeat.zone)
        shard = self._owned.shards.get(zone)
        if shard is None or shard.ownership.superseded:
            return None
        if self._controller_lease.refresh_state() is LeaseState.EXPIRED:
            return _unavailable("out of touch", REFUSED_RETRY_AFTER_S)
        # None means that the lease has certainly expired, and the assignment with it.
        assigned_token = self._controller_lease.assigned_token(zone)
        if assigned_token is None or assigned_token not in (
            shard.ownership.token,
            self._owned.renewed_tokens.get(zone),
        ):
            return None
        try:
            return make_response(HTTPStatus.OK, shard.on_heartbeat(heartbeat))
        except HeartbeatRefusedError as err:
            return _unavailable(str(err), REFUSED_RETRY_AFTER_S)
        except FencedError:
            self._request_cycle()
            return make_response(HTTPStatus.MISDIRECTED_REQUEST, Redirect())

    def _redirect(self, zone: Zone) -> Response:
        """Return a redirect, which names the shard's owner if one is known that receives heartbeats."""
        known_revision = self._watch_cache.mod_revision(keys.shard(zone))
        owner = self._gossip.later_owner(zone, known_revision) or self._controller_lease.shard_owner(zone)
        if owner is None or owner == self._controller_lease.node_id or self._gossip.declines_workers(owner):
            return make_response(HTTPStatus.MISDIRECTED_REQUEST, Redirect())
        return make_response(HTTPStatus.MISDIRECTED_REQUEST, Redirect(owner))


def _unavailable(reason: str, retry_after_s: int) -> Response:
    return make_response(HTTPStatus.SERVICE_UNAVAILABLE, ErrorResponse(reason), Retry_After=str(retry_after_s))
