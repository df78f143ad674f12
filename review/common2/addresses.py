"""Free loopback addresses for one cluster: a host of its own in 127.0.0.0/8, and ports on it that are unused."""

from __future__ import annotations

import random
import socket
from itertools import count

FIRST_PORT = 20_000  # below the ports that outgoing connections get


class FreeAddresses:
    """The addresses of a cluster, each chosen when it is first asked for."""

    def __init__(self, labels: list[str]) -> None:
        self._labels = labels
        choice = random.SystemRandom()
        self._host = ".".join(["127", *(str(choice.randint(1, 254)) for _ in range(3))])
        self._ports = count(FIRST_PORT)
        self._taken: dict[tuple[str, ...], str] = {}
        self.cloud = self._address("cloud")

    def _address(self, *name: str) -> str:
        if name not in self._taken:
            port = next(port for port in self._ports if self._is_free(port))
            self._taken[name] = f"{self._host}:{port}"
        return self._taken[name]

    def _is_free(self, port: int) -> bool:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((self._host, port))
            except OSError:
                return False
        return True

    def front(self, label: str) -> str:
        """Return the address at which a controller serves users and workers."""
        return self._address("front", label)

    def peer(self, label: str) -> str:
        """Return the address at which a controller serves its peers."""
        return self._address("peer", label)

    def store(self, label: str) -> str:
        """Return the address at which the key-value store serves a controller."""
        return self._address("store", label)

    def relay(self, src: str, dst: str) -> str:
        """Return the address of the relay from one controller to another."""
        return self._address("relay", src, dst)

    def worker(self, number: int) -> str:
        """Return the address at which the worker of a machine accepts commands."""
        return self._address("worker", str(number))
