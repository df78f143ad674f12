"""The process of a controller: its servers, its clock, logging and garbage collection."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import random
import sys
from functools import partial

import uvloop

from cloverplank.basic_types import Clock
from cloverplank.controller.composition import Controller
from cloverplank.controller.load_counts import load_counts
from cloverplank.load_meter import LoadMeter, NoMeter
from cloverplank.net.client import Client
from cloverplank.net.server import Server
from cloverplank.net.sockets import FrontSockets, Sockets
from cloverplank.settings.operator import OperatorSettings
from cloverplank.settings.platform import PlatformSettings, parse_addr

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


async def _serve(platform: PlatformSettings, operator: OperatorSettings) -> None:
    sockets = Sockets(platform.facts.machine_limits.sockets)
    async with Client(sockets.client_min, sockets) as client:
        await _serve_with(client, sockets, platform, operator)


async def _serve_with(client: Client, sockets: Sockets, platform: PlatformSettings, operator: OperatorSettings) -> None:
    meter = LoadMeter() if operator.load_log_s else NoMeter()
    controller = Controller(platform, operator, clock=Clock(), http=client, rng=random.Random(), meter=meter)
    for name, handler, text, limit, shared in (
        ("front", controller.router.handle_front, platform.front, sockets.front, FrontSockets(sockets, client.trim)),
        ("peers", controller.router.handle_peer, platform.peer_listen, sockets.peers, None),
    ):
        addr = parse_addr(text, name)
        await Server(name, handler, limit, sockets=shared, meter=meter).start(addr.host, addr.port)
    logging.getLogger("cloverplank").info("%s in %s: serving", platform.label, platform.location)
    if not operator.load_log_s:
        await controller.run()
        return
    asyncio.get_running_loop().set_task_factory(meter.task_factory)
    reporting = meter.report(operator.load_log_s, partial(load_counts, controller))
    await asyncio.gather(controller.run(), meter.watch_lag(), reporting)


def serve(platform: PlatformSettings, operator: OperatorSettings) -> None:
    """Run a controller until the process is killed. LOG_LEVEL sets the minimum level logged to standard error."""
    level = LEVELS.get(os.environ.get("LOG_LEVEL", "error").lower(), logging.ERROR)
    logging.basicConfig(stream=sys.stderr, level=level, format="%(levelname).1s %(name)s: %(message)s")
    # Objects made during startup live as long as the process, so collections skip them.
    gc.collect()
    gc.freeze()
    gc.set_threshold(50_000, 20, 50)
    uvloop.run(_serve(platform, operator))
