"""Errors raised by the client of the key-value store and by the transaction queue."""

from __future__ import annotations

from cloverplank.errors import CloverplankError


class StoreError(CloverplankError):
    """Base class of the failures of requests to the key-value store.

    `request` is the method and path of the request, empty if the failure does not belong to a single request. `status`
    is the HTTP status of the response, None if there was no response.
    """

    def __init__(self, reason: str = "", *, request: str = "", status: int | None = None) -> None:
        self.reason = reason
        self.request = request
        self.status = status
        status_text = "" if status is None else f"status {status}"
        super().__init__(": ".join(filter(None, (request, status_text, reason))))


class StoreUnavailableError(StoreError):
    """The request was not executed: rate limit exceeded, outage, or no connection."""


class OutcomeUnknownError(StoreError):
    """There was no usable response: the request may have been executed, or may still be executed later."""


class LeaseExpiredError(StoreError):
    """The lease no longer exists."""


class LogCompactedError(StoreError):
    """The change log no longer contains the revision that a watch starts from."""


class TransactionRejectedError(StoreError):
    """The store rejected the transaction: malformed, too large, or attached to a lease that has expired."""


class QueueFullError(StoreError):
    """The transaction queue is full; nothing was sent."""
