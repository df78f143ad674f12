"""Runs a scenario within its time and turns its verdict into an exit code."""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TextIO

BROKEN, HELD, NOT_RUN = 1, 0, 2
TIMEOUT_S = 116.0

# Gets the folder for settings and logs, the record file, and whether the disruption is to happen; returns what broke
# the rule, or an empty text.
Scenario = Callable[[Path, TextIO, bool], Awaitable[str]]


async def _play(scenario: Scenario, folder: Path, record: TextIO, trouble: bool) -> str:
    task = asyncio.ensure_future(scenario(folder, record, trouble))
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            return await task
    finally:
        # Connections of the stand-ins that the end of the scenario cancels are of no interest.
        loop.set_exception_handler(lambda loop, context: None)


def run(scenario: Scenario, case: Path) -> int:
    """Run the scenario of a case; return the exit code of its script."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    code = NOT_RUN
    with (case / "record.txt").open("w") as record:
        try:
            broken = asyncio.run(_play(scenario, folder, record, trouble))
            code = BROKEN if broken else HELD
            verdict = f"BROKEN: {broken}" if broken else "the rule held"
        except (Exception, asyncio.CancelledError) as err:  # whatever stopped the scenario, the case could not run
            verdict = f"could not run: {err!r}"
            record.write(traceback.format_exc())
        record.write(f"trouble {'on' if trouble else 'off'}; {verdict}\n")
        if os.environ.get("KEEP_LOGS"):
            print(folder, file=sys.stderr)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    print(verdict)
    return code
