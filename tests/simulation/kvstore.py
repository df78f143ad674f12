"""A stand-in for the key-value store with transactions, leases, lists and watches; one replica, no quorum.

Field names and paths are those of the store's protocol, which encodes a mod revision as `stamp`, a revision as `epoch`
and a lease as `hold`.
"""

from __future__ import annotations

import asyncio
import urllib.parse
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import msgspec

Answer = tuple[int, Any]

SHARDS = "cp/block/"  # prefix of the keys whose values are the assignments of shards

LEASE_SLACK_S = 0.05  # a lease expires this long after its end, never before it
WATCH_POLL_S = (0.05, 0.3)  # bounds of the interval at which an idle watch checks for outages and expired leases
MAX_TRANSACTION_BYTES = 64 * 1024
MAX_COMPARES_PER_CHANGE = 4
UNAVAILABLE: Answer = (503, {"error": "trouble"})


class KeyValueStore:
    """Serves requests of controllers, except during an outage or while it refuses a controller.

    Attributes:
        items: the value, mod revision and lease of each key.
        leases: the time at which each lease ends, and its duration, in seconds.
        log: all changes since the start; watches and checks read it.
        down: whether there is an outage: watches hang, all other requests are refused.
        refused_clients: labels of controllers whose requests alone are refused.
        refused_commits: descriptions of the limits that transactions exceeded.
        changed: set when a change is committed, to wake up waiting watches.
        value_bytes, txn_ops: the limits of the size of a value and of the number of changes in a transaction.

    """

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.revision = 0
        self.items: dict[str, tuple[Any, int, int | None]] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.log: list[dict] = []
        self.shard_history: dict[str, list[tuple[int, Any]]] = {}  # revisions and values of each shard's key
        self.down = False
        self.refused_clients: set[str] = set()
        self.changed = asyncio.Event()
        self.puts = 0
        self.value_bytes, self.txn_ops = 8 * 1024, 12
        self.refused_commits: list[str] = []

    async def handle(self, src: str, method: str, path: str, body: bytes) -> Answer:
        """Handle a request; return the status and the body of the response."""
        self.expire()
        path, _, query = path.partition("?")
        asked = dict(urllib.parse.parse_qsl(query))
        if path == "/watch":
            return await self._watch(src, asked)
        if self._is_unavailable(src):
            return UNAVAILABLE
        if path == "/keys":
            return 200, self._list(asked)
        if path.startswith("/keys/"):
            return self._get(path.removeprefix("/keys/"))
        if path == "/commit":
            return self._commit(msgspec.msgpack.decode(body))
        return self._leases(method, path, body)

    def outage(self, down: bool) -> None:
        """Start or end an outage; at its end every lease is renewed for its full duration."""
        self.down = down
        if not down:
            self.leases = {lease: (self.now() + life_s, life_s) for lease, (_, life_s) in self.leases.items()}

    def expire(self) -> None:
        """Expire the leases that are due; none expires while the store is down."""
        if self.down:
            return
        for lease, (ends_at, _) in list(self.leases.items()):
            if self.now() > ends_at + LEASE_SLACK_S:
                self.end(lease)

    def end(self, lease: int) -> None:
        """End a lease and delete the keys attached to it."""
        del self.leases[lease]
        attached = [key for key, (_, _, held) in self.items.items() if held == lease]
        if attached:
            self.revision += 1
            for key in attached:
                self._delete(key)

    def exceeded_limit(self, asked: dict) -> str:
        """Return the limit of the protocol that a transaction exceeds, or an empty text; sizes are those as JSON."""
        writes = asked.get("writes") or []
        if len(writes) > self.txn_ops:
            return f"{len(writes)} changes"
        if len(asked["when"]) > MAX_COMPARES_PER_CHANGE * self.txn_ops:
            return f"{len(asked['when'])} conditions"
        if len(msgspec.json.encode(asked)) > MAX_TRANSACTION_BYTES:
            return "size of the transaction"
        for write in writes:
            if "put" in write and len(msgspec.json.encode(write["value"])) > self.value_bytes:
                return f"size of {write['put']}"
        return ""

    def _is_unavailable(self, src: str) -> bool:
        return self.down or src in self.refused_clients

    def _mod_revision(self, key: str) -> int:
        return self.items[key][1] if key in self.items else 0

    def _get(self, key: str) -> Answer:
        found = self.items.get(key)
        if found is None:
            return 404, {"epoch": self.revision}
        return 200, {"path": key, "value": found[0], "stamp": found[1], "hold": found[2]}

    def _list(self, asked: dict[str, str]) -> dict:
        keys = sorted(key for key in self.items if key.startswith(asked["under"]) and key > asked.get("from", ""))
        limit = int(asked.get("limit", 1000))
        rows = [{"path": key, "value": self.items[key][0], "stamp": self.items[key][1]} for key in keys[:limit]]
        return {"rows": rows, "more": len(keys) > limit, "epoch": self.revision}

    def _leases(self, method: str, path: str, body: bytes) -> Answer:
        parts = path.strip("/").split("/")
        if len(parts) == 1:
            return self._create_lease(msgspec.msgpack.decode(body)["life_ms"] / 1000)
        lease = int(parts[1])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self.end(lease)
        else:
            life_s = self.leases[lease][1]
            self.leases[lease] = (self.now() + life_s, life_s)
        return 200, {}

    def _create_lease(self, life_s: float) -> Answer:
        lease = len(self.log) * 1000 + len(self.leases) + 7 + int(self.now() * 10)
        self.leases[lease] = (self.now() + life_s, life_s)
        return 200, {"hold": lease}

    def _commit(self, asked: dict) -> Answer:
        broken = self.exceeded_limit(asked)
        if broken:
            self.refused_commits.append(broken)
            return 400, {"error": broken}
        failed = [c["path"] for c in asked["when"] if self._mod_revision(c["path"]) != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "epoch": self.revision}
        writes = asked.get("writes") or []
        for write in writes:
            if write.get("hold") is not None and write["hold"] not in self.leases:
                return 400, {"error": "no such lease"}
        if writes:
            self.revision += 1
        for write in writes:
            if "put" in write:
                self._put(write["put"], write["value"], write.get("hold"))
            else:
                self._delete(write["delete"])
        return 200, {"epoch": self.revision}

    def _put(self, key: str, value: Any, lease: int | None) -> None:
        self.puts += 1
        self.items[key] = (value, self.revision, lease)
        self.log.append({"put": key, "value": value, "stamp": self.revision})
        self._record_shard(key, value)
        self.changed.set()

    def _delete(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.log.append({"delete": key, "stamp": self.revision})
            self._record_shard(key, None)
            self.changed.set()

    def _record_shard(self, key: str, value: Any) -> None:
        if key.startswith(SHARDS):
            self.shard_history.setdefault(key, []).append((self.revision, value))

    def shard_owner_at(self, zone: str, revision: int) -> str | None:
        """Return the controller that owned a zone's shard at a revision; None without one, or in the future."""
        if revision > self.revision:
            return None
        changes = self.shard_history.get(SHARDS + zone, [])
        value = next((value for changed_at, value in reversed(changes) if changed_at <= revision), None)
        return None if value is None else value["node"]

    async def _watch(self, src: str, asked: dict[str, str]) -> Answer:
        """Return the changes after a revision once there are any or `wait_ms` has passed; hang during an outage."""
        after = int(asked["from"])
        until = self.now() + int(asked.get("wait_ms", 0)) / 1000
        shortest_s, longest_s = WATCH_POLL_S
        while True:
            self.expire()
            if not self._is_unavailable(src):
                events = self._changes_after(after)
                if events or self.now() >= until:
                    return 200, {"epoch": self.revision, "log": events}
            self.changed.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(max(shortest_s, min(longest_s, until - self.now()))):
                    await self.changed.wait()

    def _changes_after(self, revision: int) -> list[dict]:
        changes = []
        for change in reversed(self.log):
            if change["stamp"] <= revision:
                break
            changes.append(change)
        return changes[::-1]
