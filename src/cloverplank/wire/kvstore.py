"""Messages between controllers and the key-value store."""

from __future__ import annotations

from typing import Any

from msgspec import Raw, Struct, field

MAX_COMPARES_PER_CHANGE = 4  # a transaction may have this many conditions for each change that it may make


class Compare(Struct, frozen=True):
    """A condition of a `Transaction`: the key has this mod revision, or does not exist where it is 0."""

    key: str = field(name="path")
    mod_revision: int = field(name="stamp")


class Put(Struct, omit_defaults=True):
    """A change of a `Transaction`: set a key, attached to a lease where one is given."""

    key: str = field(name="put")
    value: Any = None
    lease: int | None = field(name="hold", default=None)


class Delete(Struct):
    """A change of a `Transaction`: delete a key."""

    key: str = field(name="delete")


class Transaction(Struct):
    """A controller's request to the store: make all changes if every condition holds, else none."""

    conditions: list[Compare] = field(name="when")
    changes: list[Put | Delete] = field(name="writes", default_factory=list)


class TransactionResponse(Struct):
    """The store's response to a `Transaction`; `conflicts` names the keys whose conditions do not hold."""

    revision: int = field(name="epoch", default=0)
    conflicts: list[str] = field(name="failed", default_factory=list)


class KeyValue(Struct):
    """The store's response to a controller's read of one key, and part of `KeyValuePage`."""

    key: str = field(name="path")
    value: Raw
    mod_revision: int = field(name="stamp")


class KeyValuePage(Struct):
    """The store's response to a controller's read of a prefix: a page in key order, and whether `more` follow."""

    revision: int = field(name="epoch")
    items: list[KeyValue] = field(name="rows")
    more: bool = False


class WatchEvent(Struct):
    """One change of a key, either put or deleted; part of `WatchResponse`."""

    mod_revision: int = field(name="stamp")
    put: str | None = None
    delete: str | None = None
    value: Raw = Raw()


class WatchResponse(Struct):
    """The store's response to a controller's watch of a prefix: all changes since the requested revision."""

    revision: int = field(name="epoch")
    events: list[WatchEvent] = field(name="log", default_factory=list)


class LeaseRequest(Struct):
    """A controller's request to the store: grant a lease with this time to live, in milliseconds."""

    ttl_ms: int = field(name="life_ms")


class LeaseResponse(Struct):
    """The store's response to a `LeaseRequest`: the lease's id."""

    lease: int = field(name="hold")
