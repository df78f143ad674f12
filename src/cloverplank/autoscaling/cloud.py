"""Client of the cloud's interface."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence
from http import HTTPStatus
from typing import Any, TypeVar

from cloverplank.basic_types import Clock, MonotonicTime
from cloverplank.errors import CloverplankError
from cloverplank.kvstore.token_bucket import TokenBucket
from cloverplank.net.messages import Http, NoResponseError, Response
from cloverplank.wire.cloud import (
    MACHINES_PATH,
    MAX_TERMINATE,
    TERMINATE_PATH,
    TYPES_PATH,
    ListedMachine,
    MachineList,
    MachineTypes,
    ProvisionRequest,
    ProvisionResponse,
    TerminateRequest,
)
from cloverplank.wire.codec import MessageDecodeError, decode, encode

log = logging.getLogger(__name__)

T = TypeVar("T")

PAGE_SIZE = 500
TIMEOUT_S = 4.0
PAGES_FRACTION = 0.4  # of the requests a second that pages of the list may take
TOKEN_BUCKET_BURST_S = 1.5
TOKEN_WAIT_MARGIN_S = 0.01


class CloudUnavailableError(CloverplankError):
    """The cloud gave no response, or none that can be used. `status`: that of the response, if there was one."""

    def __init__(self, reason: str, status: int | None = None) -> None:
        super().__init__(reason)
        self.status = status


class InsufficientCapacityError(CloverplankError):
    """The cloud has no machine of the requested pool."""

    def __init__(self, request: ProvisionRequest) -> None:
        super().__init__(f"no capacity for {request.type} in {request.zone}")
        self.request = request


class _RateLimiter:
    """Spaces calls evenly at `rate` a second."""

    def __init__(self, clock: Clock, rate: float) -> None:
        self._clock = clock
        self._interval_s = 1 / rate
        self._next_at = clock.monotonic()

    async def acquire(self) -> None:
        """Return when the caller may go on."""
        now = self._clock.monotonic()
        slot_at = max(now, self._next_at)
        self._next_at = MonotonicTime(slot_at + self._interval_s)
        if slot_at > now:
            await asyncio.sleep(slot_at - now)


class CloudClient:
    """Sends requests to the cloud at `rps` a second at most. Methods raise CloudUnavailableError."""

    def __init__(self, http: Http, addr: str, clock: Clock, rps: float) -> None:
        self._http = http
        self._addr = addr
        self._token_bucket = TokenBucket(rps, clock, burst_s=TOKEN_BUCKET_BURST_S)
        self._page_limiter = _RateLimiter(clock, rps * PAGES_FRACTION)

    async def types(self) -> MachineTypes:
        """Read the machine types."""
        return self._decode(await self._request("GET", TYPES_PATH), MachineTypes)

    async def provision(self, request: ProvisionRequest) -> list[str]:
        """Provision machines and return their names; raise InsufficientCapacityError if there are none."""
        response = await self._request("POST", MACHINES_PATH, request)
        if response.status == HTTPStatus.SERVICE_UNAVAILABLE and b"capacity" in response.body:
            raise InsufficientCapacityError(request)
        if response.status == HTTPStatus.BAD_REQUEST:
            log.error("cloud: request %s called malformed", request.request)
            raise InsufficientCapacityError(request)
        return self._decode(response, ProvisionResponse).machines

    async def terminate(self, machines: Sequence[str]) -> None:
        """Terminate machines, MAX_TERMINATE at most."""
        response = await self._request("POST", TERMINATE_PATH, TerminateRequest(list(machines[:MAX_TERMINATE])))
        if response.status != HTTPStatus.OK:
            raise CloudUnavailableError(str(response.status), response.status)

    async def machines(self) -> dict[str, ListedMachine]:
        """Read the whole machine list, by name.

        Its pages take a fraction of the requests, so that other requests never wait for a long list.
        """
        machines: dict[str, ListedMachine] = {}
        after = ""
        while True:
            await self._page_limiter.acquire()
            path = f"{MACHINES_PATH}?limit={PAGE_SIZE}" + (f"&from={after}" if after else "")
            page: MachineList = self._decode(await self._request("GET", path), MachineList)
            for machine in page.machines:
                machines[machine.id] = machine
            if not page.more or not page.machines:
                return machines
            after = page.machines[-1].id

    async def _request(self, method: str, path: str, body: Any = None) -> Response:
        while not self._token_bucket.take():  # noqa: ASYNC110 - tokens come with time, nothing sets an event
            await asyncio.sleep(self._token_bucket.seconds_until_available() + TOKEN_WAIT_MARGIN_S)
        encoded = None if body is None else encode(body)
        try:
            response = await self._http.request(self._addr, method, path, encoded, TIMEOUT_S)
        except NoResponseError as err:
            raise CloudUnavailableError(str(err)) from err
        if response.status == HTTPStatus.TOO_MANY_REQUESTS:
            self._token_bucket.drain()
        return response

    @staticmethod
    def _decode(response: Response, message_type: type[T]) -> T:
        if response.status != HTTPStatus.OK:
            raise CloudUnavailableError(str(response.status), response.status)
        try:
            return decode(response.body, message_type)
        except MessageDecodeError as err:
            raise CloudUnavailableError(str(err)) from err
