"""Sources of several versions of this program, taken from the history of the repository."""

from __future__ import annotations

import io
import shutil
import subprocess
import tarfile
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
ONE_MORE_GATE = """
TRIAL = Feature("trial", 2, Stage.GATED, schemas=frozenset())
FEATURES += (TRIAL,)
"""
INSERT_BEFORE = "\nOLDEST_VERSION"


def production(folder: Path) -> Path:
    """Check out the version that `deploy/service.toml` names as production."""
    commit = tomllib.loads((ROOT / "deploy" / "service.toml").read_text("utf-8"))["production"]
    return _extract(commit, folder / "production")


def at_commit(commit: str, folder: Path) -> Path:
    """Check out the version of a commit."""
    return _extract(commit, folder / commit)


def head() -> Path:
    """Return the root of this checkout, with its uncommitted changes."""
    return ROOT


def head_with_one_more_gate(folder: Path) -> Path:
    """Copy this checkout and add a feature to its registry, and thereby a cluster version."""
    target = folder / "one-more-gate"
    if not target.is_dir():
        shutil.copytree(ROOT / "src", target / "src", ignore=shutil.ignore_patterns("__pycache__", "*.egg-info"))
        shutil.copy(ROOT / "run.py", target / "run.py")
        gates = target / "src" / "cloverplank" / "feature_gates.py"
        text = gates.read_text("utf-8")
        assert INSERT_BEFORE in text, f"{gates} does not contain {INSERT_BEFORE!r}"
        gates.write_text(text.replace(INSERT_BEFORE, ONE_MORE_GATE + INSERT_BEFORE, 1), "utf-8")
    return target


def _extract(commit: str, target: Path) -> Path:
    if not target.is_dir():
        archived = subprocess.run(
            ["git", "archive", commit, "run.py", "src"], cwd=ROOT, capture_output=True, check=True, timeout=60
        )
        with tarfile.open(fileobj=io.BytesIO(archived.stdout)) as archive:
            archive.extractall(target, filter="data")
    return target
