"""Controller processes on loopback, which are started, paused and killed by their process ids."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path


@dataclass
class Kill:
    """A kill of a controller's process by the harness; `at_s` is relative to the start of the cluster.

    `phase` is the committed phase of the rollout at that time.
    """

    at_s: float
    label: str
    program: str
    phase: str


@dataclass
class Process:
    """A controller's process; `program` is the name of the version that it runs."""

    label: str
    program: str
    popen: subprocess.Popen

    @classmethod
    def start(cls, label: str, program: str, source: Path, folder: Path) -> Process:
        """Start a controller from a checkout, with settings and log files `label.*` in a folder."""
        config, operator = folder / f"{label}.toml", folder / f"{label}.txtpb"
        with (folder / f"{label}.log").open("a") as log:
            popen = subprocess.Popen(
                [sys.executable, "run.py", "serve", "--config", str(config), "--operator", str(operator)],
                cwd=source,
                env=os.environ | {"LOG_LEVEL": "info", "PYTHONDONTWRITEBYTECODE": "1"},
                stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL,
                stderr=log,
            )
        return cls(label, program, popen)

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended."""
        return self.popen.poll() is not None

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.popen.kill()
        self.popen.wait()

    def pause(self) -> None:
        """Suspend the process until it is resumed."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused process continue."""
        self.popen.send_signal(signal.SIGCONT)
