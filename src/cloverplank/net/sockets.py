"""Limits that divide a controller's sockets between its interfaces."""

from __future__ import annotations

from collections.abc import Callable

RESERVED_SOCKETS = 12  # for listeners, and connections that are being closed
PEER_SOCKETS_DIVISOR = 32
MIN_PEER_SOCKETS = 4
MIN_FRONT_SOCKETS = 8
MIN_CLIENT_SOCKETS = 8
MIN_FREE_FRONT_SOCKETS = 2

# Fractions of all sockets that this controller's outgoing requests may use: while no other interface needs them, and
# always.
CLIENT_MAX_FRACTION = 0.2
CLIENT_MIN_FRACTION = 1 / 16

# Fraction of the front's sockets that is kept free for new connections of users and health checks.
FREE_FRONT_FRACTION = 1 / 16


class Sockets:
    """Divides sockets between the front, peers, and this controller's outgoing requests.

    A shard owner has a connection for each worker of its shard, and users need further ones. So the front may use
    all sockets but those reserved for peers and for the minimum of outgoing requests; these may use more while the
    front does not.
    """

    def __init__(self, total: int) -> None:
        self.peers = total // PEER_SOCKETS_DIVISOR + MIN_PEER_SOCKETS
        self.client_min = max(MIN_CLIENT_SOCKETS, int(total * CLIENT_MIN_FRACTION))
        self._client_max = max(self.client_min, int(total * CLIENT_MAX_FRACTION))
        self.front = max(MIN_FRONT_SOCKETS, total - self.peers - self.client_min - RESERVED_SOCKETS)
        self.front_free_min = max(MIN_FREE_FRONT_SOCKETS, int(self.front * FREE_FRONT_FRACTION))
        self.front_open = 0
        self.client_open = 0

    def client_limit(self) -> int:
        """Return the number of connections that outgoing requests may have open now."""
        return max(self.client_min, min(self._client_max, self.front + self.client_min - self.front_open))

    def crowded(self) -> bool:
        """Return whether the front must close connections after each response, to keep sockets free for new ones.

        A controller full of idle connections would refuse health checks and be considered dead.
        """
        return self.front_open > self.front - self.front_free_min


class FrontSockets:
    """Counts the front's connections.

    `trim_client` closes idle connections of outgoing requests that are over their limit.
    """

    def __init__(self, sockets: Sockets, trim_client: Callable[[], None]) -> None:
        self._sockets = sockets
        self._trim_client = trim_client

    def crowded(self) -> bool:
        """Return whether sockets are scarce, see `Sockets.crowded`."""
        return self._sockets.crowded()

    def opened(self) -> None:
        """Count a new connection; close idle ones of outgoing requests where these are now over their limit."""
        self._sockets.front_open += 1
        if self._sockets.client_open > self._sockets.client_limit():
            self._trim_client()

    def closed(self) -> None:
        """Count the end of a connection."""
        self._sockets.front_open -= 1
