"""Client of the cloud's API."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence
from http import HTTPStatus
from typing import Any, TypeVar

from cloverplank.basic_types import Clock, MonotonicTime
from cloverplank.errors import CloverplankError
from cloverplank.kvstore.token_bucket import TokenBucket
from cloverplank.net.messages import HttpClient, NoResponseError, Response
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
LIST_PAGE_RATE_FRACTION = 0.4  # the fraction of the request rate that pages of the machine list may use
TOKEN_BUCKET_BURST_S = 1.5
TOKEN_WAIT_MARGIN_S = 0.01


class CloudUnavailableError(CloverplankError):
    """The cloud gave no response or an unusable one. `status`: the HTTP status of the response, if there was one."""

    def __init__(self, reason: str, status: int | None = None) -> None:
        super().__init__(reason)
        self.status = status


class InsufficientCapacityError(CloverplankError):
    """The cloud has no machine in the requested pool, or rejects the request as malformed."""

    def __init__(self, request: ProvisionRequest) -> None:
        super().__init__(f"no capacity for {request.count} {request.type} in {request.zone}")
        self.request = request


class _RateLimiter:
    """Spaces calls evenly at `rate` calls per second."""

    def __init__(self, clock: Clock, rate: float) -> None:
        self._clock = clock
        self._interval_s = 1 / rate
        self._next_at = clock.monotonic()

    async def acquire(self) -> None:
        """Wait until the caller may make its call."""
        now = self._clock.monotonic()
        slot_at = max(now, self._next_at)
        self._next_at = MonotonicTime(slot_at + self._interval_s)
        if slot_at > now:
            await asyncio.sleep(slot_at - now)


class CloudClient:
    """Sends at most `rps` requests per second to the cloud. All methods raise CloudUnavailableError."""

    def __init__(self, http: HttpClient, addr: str, clock: Clock, rps: float) -> None:
        self._http = http
        self._addr = addr
        self._token_bucket = TokenBucket(rps, clock, burst_s=TOKEN_BUCKET_BURST_S)
        self._page_limiter = _RateLimiter(clock, rps * LIST_PAGE_RATE_FRACTION)

    async def types(self) -> MachineTypes:
        """Read the machine types."""
        return self._decode(await self._request("GET", TYPES_PATH), MachineTypes)

    async def provision(self, request: ProvisionRequest) -> list[str]:
        """Provision machines and return their names.

        Raises InsufficientCapacityError if the cloud has no capacity or rejects the request as malformed.
        """
        response = await self._request("POST", MACHINES_PATH, request)
        if response.status == HTTPStatus.SERVICE_UNAVAILABLE and b"capacity" in response.body:
            raise InsufficientCapacityError(request)
        if response.status == HTTPStatus.BAD_REQUEST:
            log.error(
                "cloud rejected provisioning request %s as malformed: %d %s in %s",
                request.request,
                request.count,
                request.type,
                request.zone,
            )
            raise InsufficientCapacityError(request)
        return self._decode(response, ProvisionResponse).machines

    async def terminate(self, machines: Sequence[str]) -> None:
        """Terminate the machines; those beyond the first MAX_TERMINATE are ignored."""
        response = await self._request("POST", TERMINATE_PATH, TerminateRequest(list(machines[:MAX_TERMINATE])))
        if response.status != HTTPStatus.OK:
            raise CloudUnavailableError(f"HTTP status {response.status}", response.status)

    async def machines(self) -> dict[str, ListedMachine]:
        """Read the whole machine list and return its machines by name.

        Pages use only a fraction of the request rate, so that other requests never wait for a long list.
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
            raise CloudUnavailableError(f"HTTP status {response.status}", response.status)
        try:
            return decode(response.body, message_type)
        except MessageDecodeError as err:
            raise CloudUnavailableError(str(err)) from err
