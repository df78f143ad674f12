"""A stand-in that implements the cloud's protocol: machine types, provisioning, release, and a list that lags."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from tests.simulation.worker import Machine
    from tests.simulation.world import World

Answer = tuple[int, Any]

FAILED_SHOWN_AFTER_S = 30  # the list reports a machine as failed this long after its failure
SNAPSHOTS_KEPT = 60


class Cloud:
    """Provisions machines of two types, up to the world's capacity per zone, separately for spot and on-demand.

    Attributes:
        provisioned: the machines of each scale-out request by its name; a repeated request gets the same machines.
        left: the number of machines that are still available, by zone and whether they are spot.
        down: whether every request is refused.
        history: snapshots of the machine list with their simulated times in seconds.

    """

    TYPES = (
        {
            "sku": "small",
            "vcpus": 8.0,
            "gpus": 0.0,
            "ram_gb": 32.0,
            "local_gb": 40.0,
            "pull_gb_per_s": 1.0,
            "rate": 1.0,
            "spot_price": 0.3,
            "ready_s": 5.0,
            "yards": [],
        },
        {
            "sku": "large",
            "vcpus": 16.0,
            "gpus": 0.0,
            "ram_gb": 128.0,
            "local_gb": 40.0,
            "pull_gb_per_s": 1.0,
            "rate": 2.2,
            "spot_price": 0.7,
            "ready_s": 8.0,
            "yards": [],
        },
    )

    def __init__(self, world: World) -> None:
        self.world = world
        self.provisioned: dict[str, list[str]] = {}
        self.down = False
        self.left: dict[tuple[str, bool], int] = {}
        self.number = 0
        self.history: list[tuple[float, list[dict]]] = []

    @classmethod
    def machine_type(cls, name: str) -> dict[str, Any]:
        """Return the description of a machine type."""
        return next(one for one in cls.TYPES if one["sku"] == name)

    def snapshot(self) -> None:
        """Record the current list of machines; list requests get a snapshot that is `list_lag_s` old."""
        now = self.world.now()
        listed = sorted((m for m in self.world.machines.values() if not m.released), key=lambda machine: machine.id)
        rows = [self._row(machine, now) for machine in listed if not machine.reclaimed]
        self.history.append((now, rows))
        self.history = self.history[-SNAPSHOTS_KEPT:]

    @staticmethod
    def _row(machine: Machine, now: float) -> dict[str, Any]:
        if machine.dead_at and now - machine.dead_at > FAILED_SHOWN_AFTER_S:
            status = "failed"
        else:
            status = "running" if machine.up_at <= now else "booting"
        return {
            "id": machine.id,
            "endpoint": machine.addr,
            "build": machine.type,
            "yard": machine.zone,
            "loaners": machine.spot,
            "status": status,
            "held_s": now - machine.provisioned_at,
        }

    async def handle(self, src: str, method: str, path: str, body: bytes) -> Answer:
        """Handle a request; return the status and the body of the response."""
        if self.down:
            return 503, {"error": "trouble"}
        path, _, _ = path.partition("?")
        if path == "/machine_types":
            return 200, {"builds": [{**one, "yards": self.world.zones} for one in self.TYPES]}
        if path == "/machines/release":
            return self._release(msgspec.msgpack.decode(body))
        if method == "GET":
            return self._list()
        return self._provision(msgspec.msgpack.decode(body))

    def _release(self, asked: dict) -> Answer:
        for name in asked["planks"]:
            if name in self.world.machines:
                self.world.machines[name].release()
        return 200, {}

    def _list(self) -> Answer:
        seen = [rows for at, rows in self.history if at <= self.world.now() - self.world.list_lag_s]
        return 200, {"planks": seen[-1] if seen else [], "more": False}

    def _provision(self, asked: dict) -> Answer:
        if asked["hire"] in self.provisioned:
            return 200, {"planks": self.provisioned[asked["hire"]]}
        pool = (asked["yard"], asked["loaners"])
        free = self.left.setdefault(pool, self.world.capacity)
        count = min(free, asked["number"])
        if count <= 0:
            return 503, {"error": "no capacity"}
        self.left[pool] = free - count
        names = [self.world.boot(asked["build"], asked["yard"], asked["loaners"]) for _ in range(count)]
        self.provisioned[asked["hire"]] = names
        return 200, {"planks": names}
