"""Routes HTTP requests to the handlers of users, workers, health checks and peers."""

from __future__ import annotations

from cloverplank.api.users import JobRequestHandler
from cloverplank.controller.machine_types import MachineTypeCatalog
from cloverplank.kvstore.client import StoreClient
from cloverplank.kvstore.controller_lease import ControllerLease
from cloverplank.kvstore.watch_cache import WatchCache
from cloverplank.load_meter import LoadMeter, Part
from cloverplank.membership.gossip import PeerGossip
from cloverplank.net.messages import Request, Response, make_response, method_not_allowed, not_found
from cloverplank.shard.heartbeat_handler import HeartbeatHandler
from cloverplank.wire.users import JOBS_PATH, ErrorResponse
from cloverplank.wire.workers import HEARTBEAT_PATH

READY_PATH = "/ready"
STORE_OUTAGE_S = 2.5  # if the store has not responded for this long, readiness depends on whether peers reach it


class Router:
    """Serves the front listener, for users, workers and health checks, and the peer listener."""

    def __init__(
        self,
        *,
        meter: LoadMeter,
        controller_lease: ControllerLease,
        client: StoreClient,
        watch_cache: WatchCache,
        machine_types: MachineTypeCatalog,
        heartbeat_handler: HeartbeatHandler,
        users: JobRequestHandler,
        gossip: PeerGossip,
    ) -> None:
        self._meter = meter
        self._controller_lease = controller_lease
        self._client = client
        self._watch_cache = watch_cache
        self._machine_types = machine_types
        self._heartbeat_handler = heartbeat_handler
        self._users = users
        self._gossip = gossip

    async def handle_front(self, request: Request) -> Response:
        """Handle a request of a user, a worker or a health check."""
        path = request.path
        if path == HEARTBEAT_PATH:
            return self._heartbeat(request)
        if self._controller_lease.fence.refusal() is not None:
            return make_response(503, ErrorResponse("this program can't read what is stored"), Retry_After="1")
        if path == JOBS_PATH or path.startswith(JOBS_PATH + "/"):
            return await self._meter.metered(Part.USERS, self._users.handle(request))
        if path == READY_PATH:
            return self._readiness(request)
        return not_found()

    async def handle_peer(self, request: Request) -> Response:
        """Handle a request of another controller."""
        return await self._meter.metered(Part.GOSSIP, self._gossip.handle(request))

    def ready(self) -> bool:
        """Return whether this controller can serve requests.

        While the store does not respond, the controller is ready only if it has messages of peers and none of them
        reaches the store: no other controller could serve the requests either.
        """
        if not self._machine_types.current() or not self._watch_cache.loaded:
            return False
        if self._controller_lease.fence.refusal() is not None:
            return False
        if not self._client.is_down(STORE_OUTAGE_S):
            return True
        messages = self._gossip.all_latest()
        return bool(messages) and not any(message.store_available for message in messages.values())

    def _heartbeat(self, request: Request) -> Response:
        if request.method != "POST":
            return method_not_allowed("POST")
        with self._meter.section(Part.HEARTBEATS):
            return self._heartbeat_handler.handle(request.body)

    def _readiness(self, request: Request) -> Response:
        if request.method not in ("GET", "HEAD"):
            return method_not_allowed("GET")
        if self.ready():
            return make_response(200)
        return make_response(503, ErrorResponse("not ready"), Retry_After="1")
