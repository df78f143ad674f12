"""A stand-in for production's version of a controller, for simulated worlds with two versions.

The controller behind the transport is of the current version. The transport converts its writes to those of
production's version, and reduces what it reads to what production's version understands.
"""

from __future__ import annotations

from typing import Any

import msgspec

from cloverplank.net.messages import Response
from tests.production import messages
from tests.simulation.transport import SimulatedTransport

STORE_ADDRESS = "10.2.0.1:2379"
UNOWNED_LEASE = 1
UNKNOWN_PREFIXES = (
    "cp/wait/",
    "cp/format",
    "cp/rollout",
    "cp/headroom",
)  # keys that production neither reads nor writes
RECORD_TYPES = {"cp/job/": messages.JobRecord, "cp/node/": messages.NodeRecord}


def convert_for_production(key: str, value: Any) -> Any:
    """Return the value without the fields that production does not know; None if production can't read it."""
    for prefix, record_type in RECORD_TYPES.items():
        if key.startswith(prefix):
            try:
                return msgspec.to_builtins(msgspec.convert(value, record_type))
            except msgspec.ValidationError:
                return None
    return value


class ProductionTransport(SimulatedTransport):
    """Hides the newer version from a controller, and drops the fields that the newer version has added."""

    async def request(
        self, addr: str, method: str, path: str, body: bytes | None = None, timeout: float = 2.0
    ) -> Response:
        """Send a request; requests to the key-value store and their responses are converted for production."""
        if addr != STORE_ADDRESS:
            return await super().request(addr, method, path, body, timeout)
        if any(f"/keys/{prefix}" in path for prefix in UNKNOWN_PREFIXES):
            return Response(404, msgspec.msgpack.encode({"epoch": 1}))
        if path == "/commit":
            body = self._transaction(body or b"")
        response = await super().request(addr, method, path, body, timeout)
        if response.status != 200 or not response.body:
            return response
        return Response(200, self._answer(response.body))

    @staticmethod
    def _transaction(body: bytes) -> bytes:
        asked = msgspec.msgpack.decode(body)
        asked["when"] = [compare for compare in asked["when"] if not compare["path"].startswith(UNKNOWN_PREFIXES)]
        for write in asked["writes"]:
            if "put" in write:
                assert not write["put"].startswith(UNKNOWN_PREFIXES), f"production never writes {write['put']}"
                write["value"] = convert_for_production(write["put"], write["value"])
        return msgspec.msgpack.encode(asked)

    def _answer(self, body: bytes) -> bytes:
        found = msgspec.msgpack.decode(body)
        if "path" in found:
            self._own_lease(found["path"], found["value"])
        if "rows" in found:
            found["rows"] = [row for row in found["rows"] if self._is_readable(row, "path")]
        if "log" in found:
            found["log"] = [event for event in found["log"] if "delete" in event or self._is_readable(event, "put")]
        return msgspec.msgpack.encode(found)

    @staticmethod
    def _own_lease(key: str, value: Any) -> None:
        """Give a node record a lease: production attributes any to a former process, and revokes the lease in it."""
        if key.startswith("cp/node/") and value["lease"] == 0:
            value["lease"] = UNOWNED_LEASE

    def _is_readable(self, row: dict, key: str) -> bool:
        """Convert the value for production; return whether production reads it, and record unreadable keys."""
        if row[key].startswith(UNKNOWN_PREFIXES):
            return False
        row["value"] = convert_for_production(row[key], row["value"])
        if row["value"] is None:
            self.world.unreadable_keys.append(row[key])
        else:
            self._own_lease(row[key], row["value"])
        return row["value"] is not None
