"""Loopback addresses of a cluster; each cluster has its own network, so that several can run concurrently."""

from __future__ import annotations

import os
from itertools import count

FRONT_PORT, PEER_PORT, STORE_PORT, CLOUD_PORT, WORKER_PORT = 8080, 8081, 2379, 8443, 9000
STORE_HOST, CLOUD_HOST = 100, 200  # last octets; the key-value store has one address for each controller
FIRST_MACHINE_NET, MACHINES_PER_NET = 128, 250
RELAY_HOST, FIRST_RELAY_PORT = 250, 8100
NETWORKS = 100
_networks = count()


class Addresses:
    """Computes addresses `host:port` from labels of controllers and numbers of machines."""

    def __init__(self, labels: list[str]) -> None:
        self._labels = labels
        self._prefix = f"127.{1 + os.getpid() % 250}"
        self._network = f"{self._prefix}.{next(_networks) % NETWORKS}"
        self.cloud = f"{self._network}.{CLOUD_HOST}:{CLOUD_PORT}"

    def front(self, label: str) -> str:
        """Return the address at which a controller serves users and workers."""
        return f"{self._controller(label)}:{FRONT_PORT}"

    def peer(self, label: str) -> str:
        """Return the address at which a controller serves its peers."""
        return f"{self._controller(label)}:{PEER_PORT}"

    def store(self, label: str) -> str:
        """Return the address at which the key-value store serves a controller."""
        return f"{self._network}.{STORE_HOST + self._labels.index(label)}:{STORE_PORT}"

    def relay(self, src: str, dst: str) -> str:
        """Return the address of the relay that carries connections from one controller to another."""
        number = len(self._labels) * self._labels.index(src) + self._labels.index(dst)
        return f"{self._network}.{RELAY_HOST}:{FIRST_RELAY_PORT + number}"

    def worker(self, number: int) -> str:
        """Return the address at which the worker of a machine accepts commands."""
        network = FIRST_MACHINE_NET + number // MACHINES_PER_NET
        return f"{self._prefix}.{network}.{1 + number % MACHINES_PER_NET}:{WORKER_PORT}"

    def _controller(self, label: str) -> str:
        return f"{self._network}.{1 + self._labels.index(label)}"
