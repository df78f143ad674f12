"""Client of the key-value store."""

from __future__ import annotations

import logging
from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import Any, TypeVar

from cloverplank.basic_types import MS_PER_SECOND, NEVER, Clock, LeaseId, MonotonicTime
from cloverplank.kvstore.errors import (
    LeaseExpiredError,
    LogCompactedError,
    OutcomeUnknownError,
    StoreError,
    StoreUnavailableError,
    TransactionRejectedError,
)
from cloverplank.kvstore.token_bucket import TokenBucket
from cloverplank.net.messages import HttpClient, NoResponseError, RequestNotSentError, Response
from cloverplank.wire.codec import MessageDecodeError, decode, encode
from cloverplank.wire.kvstore import (
    KeyValue,
    KeyValuePage,
    LeaseRequest,
    LeaseResponse,
    Transaction,
    TransactionResponse,
    WatchResponse,
)

log = logging.getLogger(__name__)

REQUEST_TIMEOUT_S = 2.0
LIST_TIMEOUT_S = 4.0
RENEWAL_TIMEOUT_S = 1.0
WATCH_RESPONSE_MARGIN_S = 1.5  # added to the timeout of a watch, for its response to arrive
DOWN_AFTER_S = 0.5  # the store counts as down once all requests have failed for this long
PAGE_SIZE = 500  # key-values per page
UNKNOWN_KEY = "?"  # reported as the conflict of a transaction if the store does not name the failed compares

ResponseType = TypeVar("ResponseType")


class StoreClient:
    """Client with one method for each request type of the store.

    Every method raises StoreUnavailableError if the request was not executed, and OutcomeUnknownError if it is not
    known whether it was. `request_tokens` and `change_tokens` are the token buckets from which each request and each
    change of a transaction takes a token.
    """

    def __init__(
        self, http: HttpClient, addr: str, clock: Clock, request_tokens: TokenBucket, change_tokens: TokenBucket
    ) -> None:
        self._http = http
        self._addr = addr
        self._clock = clock
        self.request_tokens = request_tokens
        self.change_tokens = change_tokens
        self.executed_request_sent_at = NEVER  # send time of the newest request that the store has executed
        self.failing_since: MonotonicTime | None = None  # first failure after the last answered request

    async def _request(self, method: str, path: str, body: Any = None, timeout: float = REQUEST_TIMEOUT_S) -> Response:
        sent_at = self._clock.monotonic()
        request = f"{method} {path}"
        try:
            response = await self._http.request(
                self._addr, method, path, None if body is None else encode(body), timeout
            )
        except RequestNotSentError as err:
            self._note_failure()
            raise StoreUnavailableError(str(err), request=request) from err
        except NoResponseError as err:
            self._note_failure()
            raise OutcomeUnknownError(str(err), request=request) from err
        if response.status == HTTPStatus.TOO_MANY_REQUESTS:
            self.request_tokens.drain()
            self.change_tokens.drain()
            raise StoreUnavailableError(request=request, status=response.status)
        if response.status == HTTPStatus.SERVICE_UNAVAILABLE:
            self._note_failure()
            raise StoreUnavailableError(request=request, status=response.status)
        self.failing_since = None
        if response.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            self.executed_request_sent_at = max(self.executed_request_sent_at, sent_at)
        return response

    def _note_failure(self) -> None:
        if self.failing_since is None:
            self.failing_since = self._clock.monotonic()

    def is_down(self, after_s: float = DOWN_AFTER_S) -> bool:
        """Return whether all requests have failed for at least `after_s` seconds."""
        return self.failing_since is not None and self._clock.monotonic() - self.failing_since >= after_s

    async def get(self, key: str) -> KeyValue | None:
        """Read one key-value; return None if the key does not exist."""
        self.request_tokens.take_unconditionally()
        path = f"/keys/{key}"
        response = await self._request("GET", path)
        if response.status == HTTPStatus.NOT_FOUND:
            return None
        return _decode_ok(response, KeyValue, f"GET {path}")

    async def list_page(self, prefix: str, after: str = "", limit: int = PAGE_SIZE) -> KeyValuePage:
        """Read one page of at most `limit` key-values under a prefix, starting after the key `after`."""
        self.request_tokens.take_unconditionally()
        path = f"/keys?under={prefix}&limit={limit}" + (f"&from={after}" if after else "")
        response = await self._request("GET", path, timeout=LIST_TIMEOUT_S)
        return _decode_ok(response, KeyValuePage, f"GET {path}")

    async def pages(self, prefix: str, after: str = "") -> AsyncIterator[KeyValuePage]:
        """Read all key-values under a prefix, starting after the key `after`, page by page."""
        more = True
        while more:
            page = await self.list_page(prefix, after)
            yield page
            more = page.more and bool(page.items)
            if more:
                after = page.items[-1].key

    async def commit(
        self, transaction: Transaction, timeout: float = REQUEST_TIMEOUT_S, prepaid: float = 0.0
    ) -> TransactionResponse:
        """Execute a transaction; it has taken effect only if the response names no conflicts.

        `prepaid` is the number of its changes for which tokens were already taken. Raises TransactionRejectedError if
        the store rejects the transaction as malformed.
        """
        self.request_tokens.take_unconditionally()
        self.change_tokens.take_unconditionally(max(1, len(transaction.changes)) - prepaid)
        request = "POST /commit"
        response = await self._request("POST", "/commit", transaction, timeout)
        if response.status == HTTPStatus.CONFLICT:
            result = _decode(response, TransactionResponse, request)
            return result if result.conflicts else TransactionResponse(result.revision, [UNKNOWN_KEY])
        if response.status == HTTPStatus.OK:
            return _decode(response, TransactionResponse, request)
        if response.status == HTTPStatus.BAD_REQUEST:
            raise TransactionRejectedError("malformed, or no such lease", request=request, status=response.status)
        raise OutcomeUnknownError(request=request, status=response.status)

    async def compare(self, transaction: Transaction, timeout: float = REQUEST_TIMEOUT_S) -> TransactionResponse:
        """Execute a transaction without changes, to check that its keys still have the given mod revisions."""
        self.request_tokens.take_unconditionally()
        request = "POST /commit"
        response = await self._request("POST", "/commit", transaction, timeout)
        if response.status == HTTPStatus.CONFLICT:
            return _decode(response, TransactionResponse, request)
        return _decode_ok(response, TransactionResponse, request)

    async def grant_lease(self, ttl_s: float) -> LeaseId:
        """Create a lease that expires `ttl_s` seconds after its last renewal."""
        self.request_tokens.take_unconditionally()
        response = await self._request("POST", "/leases", LeaseRequest(int(ttl_s * MS_PER_SECOND)))
        return LeaseId(_decode_ok(response, LeaseResponse, "POST /leases").lease)

    async def renew_lease(self, lease: LeaseId, timeout: float = RENEWAL_TIMEOUT_S) -> None:
        """Renew a lease. Raises LeaseExpiredError if it no longer exists."""
        self.request_tokens.take_unconditionally()
        path = f"/leases/{lease}/touch"
        response = await self._request("POST", path, {}, timeout=timeout)
        if response.status == HTTPStatus.NOT_FOUND:
            raise LeaseExpiredError(request=f"POST {path}", status=response.status)
        _check_ok(response, f"POST {path}")

    async def revoke_lease(self, lease: LeaseId) -> None:
        """Revoke a lease, which also deletes the keys that are attached to it."""
        self.request_tokens.take_unconditionally()
        await self._request("DELETE", f"/leases/{lease}")

    async def watch(self, prefix: str, after: int, watch_timeout_s: float) -> WatchResponse:
        """Wait up to `watch_timeout_s` seconds for changes under a prefix after the revision `after`.

        Raises LogCompactedError if the store has compacted those changes away.
        """
        self.request_tokens.take_unconditionally()
        path = f"/watch?under={prefix}&from={after}&wait_ms={int(watch_timeout_s * MS_PER_SECOND)}"
        response = await self._request("GET", path, timeout=watch_timeout_s + WATCH_RESPONSE_MARGIN_S)
        if response.status == HTTPStatus.GONE:
            raise LogCompactedError(request=f"GET {path}", status=response.status)
        return _decode_ok(response, WatchResponse, f"GET {path}")


def _check_ok(response: Response, request: str) -> None:
    if response.status != HTTPStatus.OK:
        raise StoreUnavailableError(request=request, status=response.status)


def _decode_ok(response: Response, response_type: type[ResponseType], request: str) -> ResponseType:
    _check_ok(response, request)
    return _decode(response, response_type, request)


def _decode(response: Response, response_type: type[ResponseType], request: str) -> ResponseType:
    try:
        return decode(response.body, response_type)
    except MessageDecodeError as err:
        raise _undecodable_response(request, err) from err


def _undecodable_response(request: str, err: MessageDecodeError) -> StoreError:
    log.error("store: response to %s can't be decoded: %s", request, err)
    return OutcomeUnknownError("the response can't be decoded", request=request)
