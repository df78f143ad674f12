"""A seed always plays the same day, whatever the hashes of strings."""

from __future__ import annotations

import hashlib
import os
import subprocess
import sys
from pathlib import Path

from cloverplank.net.messages import Response
from tests.simulation.loop import run
from tests.simulation.repeated_commands import play_with_repeated_commands
from tests.simulation.world import World

ROOT = Path(__file__).resolve().parents[2]
SEED = 1


class RecordingWorld(World):
    """A world that adds every request to a digest."""

    digest = hashlib.sha256()

    async def send(self, src, addr, method, path, body=None, timeout=2.0) -> Response:
        """Carry a request and its response."""
        self.digest.update(repr((self.now(), src, addr, method, path, body)).encode())
        return await super().send(src, addr, method, path, body, timeout)


# Guards against an order that comes from a set: the same seed then plays another day in the next process.
def test_seed_plays_the_same_day_under_other_string_hashes() -> None:
    digests = {
        subprocess.run(
            [sys.executable, "-m", "tests.simulation.test_determinism"],
            cwd=ROOT,
            env=os.environ | {"PYTHONHASHSEED": hash_seed, "PYTHONPATH": f"{ROOT}{os.pathsep}{ROOT / 'src'}"},
            capture_output=True,
            text=True,
            check=True,
            timeout=120,
        ).stdout
        for hash_seed in ("1", "2", "3")
    }
    assert len(digests) == 1


if __name__ == "__main__":
    run(play_with_repeated_commands(SEED, RecordingWorld))
    print(RecordingWorld.digest.hexdigest())
