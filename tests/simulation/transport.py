"""The transport of one controller in the simulated world, which replaces its HTTP client."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cloverplank.net.messages import Response

if TYPE_CHECKING:
    from tests.simulation.world import World


class SimulatedTransport:
    """Sends a controller's requests over the simulated network."""

    def __init__(self, world: World, label: str) -> None:
        self.world = world
        self.label = label

    async def request(
        self, addr: str, method: str, path: str, body: bytes | None = None, timeout: float = 2.0
    ) -> Response:
        """Send a request; raise `NoResponseError` if no response comes within `timeout` seconds."""
        return await self.world.send(self.label, addr, method, path, body, timeout)

    def close_idle(self) -> None:
        """Do nothing: the simulated network has no connections."""
