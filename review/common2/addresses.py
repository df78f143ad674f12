"""Free loopback addresses for one cluster; every address is one that the system has named as unused."""

from __future__ import annotations

import socket

HOST = "127.0.0.1"


def free_address() -> str:
    """Return an unused address on the loopback interface."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((HOST, 0))
        return f"{HOST}:{probe.getsockname()[1]}"


class FreeAddresses:
    """The addresses of a cluster, each chosen when it is first asked for."""

    def __init__(self, labels: list[str]) -> None:
        self._labels = labels
        self._taken: dict[tuple[str, ...], str] = {}
        self.cloud = self._address("cloud")

    def _address(self, *name: str) -> str:
        if name not in self._taken:
            address = free_address()
            while address in self._taken.values():
                address = free_address()
            self._taken[name] = address
        return self._taken[name]

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
