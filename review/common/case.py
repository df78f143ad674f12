"""Runs a case: 0 if the rule held, 1 if it was broken, 2 if the case could not run."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from contextlib import AbstractContextManager, nullcontext
from pathlib import Path

from review.common.deployment import Deployment
from tests.loopback.load import running_cluster

MAX_S = 112.0  # the whole case, so that it ends within 120 s
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRunError(Exception):
    """The case did not get as far as its disruption, so it says nothing about the rule."""


def trouble() -> bool:
    """Return whether the disruption is to be brought about."""
    return os.environ.get("TROUBLE", "1") != "0"


def seed() -> int:
    """Return the seed of the stand-ins' random choices."""
    return int(os.environ.get("SEED", "1"))


def _folder() -> AbstractContextManager[str]:
    """Return a temporary folder for settings, logs and checkouts, or the folder KEEP, which is left as it is."""
    keep = os.environ.get("KEEP")
    if keep is None:
        return tempfile.TemporaryDirectory()
    Path(keep).mkdir(parents=True)
    return nullcontext(keep)


async def _play(folder: Path, case: Path, zones: int, play: Callable[[Deployment], Awaitable[list[str]]]) -> list[str]:
    deployment = Deployment(seed(), folder=folder, record_path=case / "record.txt", zones=zones)
    deployment.note(f"seed {seed()}, disruption: {'yes' if trouble() else 'no'}")
    try:
        async with asyncio.timeout(MAX_S), running_cluster(deployment):
            broken = await play(deployment)
            ended = deployment.unexpectedly_ended()
            if ended:
                raise CouldNotRunError(f"controllers ended by themselves: {ended}")
        for text in broken:
            deployment.note(f"BROKEN: {text}")
        deployment.note(f"result: {'the rule was broken' if broken else 'the rule held'}")
        return broken
    finally:
        deployment.record.close()


async def _until_signal(work: Awaitable[list[str]]) -> list[str]:
    """Let the work end its processes if this process is told to end."""
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda loop, context: None)  # connections that are open at the end
    task = asyncio.ensure_future(work)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    return await task


def run(file: str, play: Callable[[Deployment], Awaitable[list[str]]], *, zones: int) -> None:
    """Run the case beside `file` and exit; `play` returns what broke the rule, one text for each."""
    case = Path(file).resolve().parent
    try:
        with _folder() as folder:
            broken = asyncio.run(_until_signal(_play(Path(folder), case, zones, play)))
    except (Exception, asyncio.CancelledError) as err:
        if not isinstance(err, CouldNotRunError):
            traceback.print_exc()
        print(f"the case could not run: {err!r}", file=sys.stderr)
        sys.exit(COULD_NOT_RUN)
    for text in broken:
        print(text)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(BROKEN if broken else HELD)
