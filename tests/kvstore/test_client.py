"""Requests to the store: the errors that responses and failures raise, and the tokens that requests take."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from cloverplank.basic_types import Clock, LeaseId
from cloverplank.kvstore.client import DOWN_AFTER_S, UNKNOWN_KEY, StoreClient
from cloverplank.kvstore.errors import (
    LeaseExpiredError,
    LogCompactedError,
    OutcomeUnknownError,
    StoreError,
    StoreUnavailableError,
    TransactionRejectedError,
)
from cloverplank.kvstore.token_bucket import TokenBucket
from cloverplank.net.messages import NoResponseError, RequestNotSentError, Response, make_response
from cloverplank.wire.kvstore import Put, Transaction, TransactionResponse
from tests.kvstore.conftest import ManualClock

TRANSACTION = Transaction([], [Put("cp/x", 1), Put("cp/y", 2)])
Request = Callable[[StoreClient], Awaitable[object]]


def get(client: StoreClient) -> Awaitable[object]:
    return client.get("cp/x")


def commit(client: StoreClient) -> Awaitable[object]:
    return client.commit(TRANSACTION)


def compare(client: StoreClient) -> Awaitable[object]:
    return client.compare(Transaction([]))


def renew(client: StoreClient) -> Awaitable[object]:
    return client.renew_lease(LeaseId(7))


def watch(client: StoreClient) -> Awaitable[object]:
    return client.watch("cp/", 1, 1.5)


class FakeHttp:
    """Returns the same response to every request, or raises the same error."""

    def __init__(self) -> None:
        self.result: Response | Exception = make_response(200)

    async def request(
        self, addr: str, method: str, path: str, body: bytes | None = None, timeout: float = 2.0
    ) -> Response:
        if isinstance(self.result, Exception):
            raise self.result
        return self.result


@pytest.fixture
def http() -> FakeHttp:
    return FakeHttp()


@pytest.fixture
def client(http: FakeHttp, time: ManualClock) -> StoreClient:
    clock = Clock(time)
    return StoreClient(http, "store:1", clock, TokenBucket(100.0, clock), TokenBucket(20.0, clock))


@pytest.mark.parametrize(
    ("request_store", "status", "error_type", "message"),
    [
        pytest.param(get, 429, StoreUnavailableError, "GET /keys/cp/x: status 429", id="rate limit"),
        pytest.param(get, 503, StoreUnavailableError, "GET /keys/cp/x: status 503", id="outage"),
        pytest.param(get, 500, StoreUnavailableError, "GET /keys/cp/x: status 500", id="read fails"),
        pytest.param(commit, 500, OutcomeUnknownError, "POST /commit: status 500", id="transaction fails"),
        pytest.param(
            commit,
            400,
            TransactionRejectedError,
            "POST /commit: status 400: malformed, or no such lease",
            id="malformed transaction",
        ),
        pytest.param(compare, 500, StoreUnavailableError, "POST /commit: status 500", id="compare fails"),
        pytest.param(renew, 404, LeaseExpiredError, "POST /leases/7/touch: status 404", id="lease expired"),
        pytest.param(
            watch, 410, LogCompactedError, "GET /watch?under=cp/&from=1&wait_ms=1500: status 410", id="log compacted"
        ),
    ],
)
def test_error_names_the_request_and_the_status(
    client: StoreClient,
    http: FakeHttp,
    request_store: Request,
    status: int,
    error_type: type[StoreError],
    message: str,
) -> None:
    http.result = make_response(status)
    with pytest.raises(error_type) as raised:
        asyncio.run(request_store(client))
    assert str(raised.value) == message
    assert raised.value.status == status


@pytest.mark.parametrize(
    ("failure", "error_type"),
    [
        pytest.param(RequestNotSentError("refused"), StoreUnavailableError, id="not sent"),
        pytest.param(NoResponseError("timeout"), OutcomeUnknownError, id="no response"),
    ],
)
def test_request_without_a_response_says_whether_it_may_have_been_executed(
    client: StoreClient, http: FakeHttp, failure: Exception, error_type: type[StoreError]
) -> None:
    http.result = failure
    with pytest.raises(error_type) as raised:
        asyncio.run(get(client))
    assert (raised.value.request, raised.value.status) == ("GET /keys/cp/x", None)


def test_store_is_down_after_failures_for_some_time(client: StoreClient, http: FakeHttp, time: ManualClock) -> None:
    http.result = make_response(503)
    for _ in range(2):
        with pytest.raises(StoreUnavailableError):
            asyncio.run(get(client))
        time.now += DOWN_AFTER_S
    assert client.is_down()


def test_response_ends_an_outage(client: StoreClient, http: FakeHttp, time: ManualClock) -> None:
    http.result = make_response(503)
    with pytest.raises(StoreUnavailableError):
        asyncio.run(get(client))
    time.now += DOWN_AFTER_S
    http.result = make_response(404)
    assert asyncio.run(get(client)) is None
    assert not client.is_down()


def test_rate_limit_of_the_store_drains_the_token_buckets(client: StoreClient, http: FakeHttp) -> None:
    http.result = make_response(429)
    with pytest.raises(StoreUnavailableError):
        asyncio.run(get(client))
    assert not client.request_tokens.take(0.1)
    assert not client.change_tokens.take(0.1)


def test_transaction_takes_a_token_for_each_change_that_is_not_prepaid(client: StoreClient, http: FakeHttp) -> None:
    http.result = make_response(200, TransactionResponse(5))
    asyncio.run(client.commit(TRANSACTION, prepaid=1.0))
    assert client.request_tokens.taken == 1.0
    assert client.change_tokens.taken == 1.0


@pytest.mark.parametrize(
    ("conflicts", "expected"),
    [
        pytest.param(["cp/x"], ["cp/x"], id="named"),
        pytest.param([], [UNKNOWN_KEY], id="not named"),
    ],
)
def test_conflict_is_never_taken_for_an_execution(
    client: StoreClient, http: FakeHttp, conflicts: list[str], expected: list[str]
) -> None:
    http.result = make_response(409, TransactionResponse(5, conflicts))
    assert asyncio.run(client.commit(TRANSACTION)).conflicts == expected
