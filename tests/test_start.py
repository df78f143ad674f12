"""Start-up of a process: its imports and its bytecode cache. Each restart delays work by the start-up time."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
UNNEEDED_MODULES = ("google.protobuf", "hypothesis", "pytest", "certifi", "xml", "sqlite3")  # asyncio needs ssl


def run_in_new_process(code: str) -> str:
    """Run Python code in a separate process; return its standard output."""
    found = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True, timeout=60
    )
    return found.stdout.strip()


def test_serving_process_imports_only_what_it_needs() -> None:
    names = run_in_new_process(
        "import sys; before = set(sys.modules); import run, cloverplank.serve; "
        "print(' '.join(sorted(set(sys.modules) - before)))"
    ).split()
    assert "cloverplank.controller" in names
    assert not [name for name in names if name.startswith(UNNEEDED_MODULES)]


def test_bytecode_is_read_from_where_the_build_writes_it() -> None:
    """Without cached bytecode, compiling the sources takes half of the time until a process serves."""
    service = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
    assert "target/bytecode" in service["build"]
    assert "import run, cloverplank.serve" in service["build"]
    prefix = run_in_new_process("import run, sys; print(sys.pycache_prefix)")
    bytecode = ROOT / "target" / "bytecode"
    assert prefix == (str(bytecode) if bytecode.is_dir() else "None")
