"""Starts cloverplank from a checkout: dependencies come from target/deps, sources from src.

The build writes the bytecode of all modules that a serving process imports to target/bytecode. Modules whose bytecode
is missing there, or older than its source, are compiled as usual.
"""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
BYTECODE = ROOT / "target" / "bytecode"
if BYTECODE.is_dir():
    sys.pycache_prefix = str(BYTECODE)
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "target" / "deps")]

from cloverplank.cli import main  # noqa: E402

if __name__ == "__main__":
    main()
