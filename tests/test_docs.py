"""Checks that code names in the documentation exist in the code."""

from __future__ import annotations

import ast
import re
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[1]
PACKAGE = ROOT / "src" / "cloverplank"
PAGES = [ROOT / "README.md", ROOT / "CONTRIBUTING.md", *sorted((ROOT / "docs").glob("*.md"))]

CODE_SPAN = re.compile(r"`([^`\n]+)`")
FILE_NAME = re.compile(r"(?:src|tests|docs|deploy|schemas|journal|\.ci)/[\w./-]*\w")
PAGE_NAME = re.compile(r"[\w-]+\.md")
DOTTED_NAME = re.compile(r"[a-z_]+(?:\.\w+)+")
CLASS_NAME = re.compile(r"[A-Z][a-z0-9]+(?:[A-Z][a-z0-9]\w*)+(?:\.\w+)*")
CONSTANT_NAME = re.compile(r"[A-Z][A-Z0-9]*(?:_[A-Z0-9]+)+")
OUTSIDE_NAMES = {"LOG_LEVEL", "KNOWN_RED"}  # an environment variable and a file, which no module defines


@cache
def module_names() -> dict[str, set[str]]:
    """Return the names that each module defines, and the members of its classes as `Class.member`."""
    found: dict[str, set[str]] = {}
    for path in PACKAGE.rglob("*.py"):
        module = ".".join(path.relative_to(PACKAGE).with_suffix("").parts).removesuffix(".__init__")
        found[module] = set(defined_names(ast.parse(path.read_text("utf-8")).body))
    return found


def defined_names(body: list[ast.stmt]) -> list[str]:
    """Return the functions, classes, members and variables that a list of statements defines."""
    names: list[str] = []
    for node in body:
        if isinstance(node, ast.ClassDef):
            members = [*defined_names(node.body), *instance_attributes(node)]
            names += [node.name, *(f"{node.name}.{member}" for member in members)]
        elif isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            names.append(node.name)
        elif isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name):
            names.append(node.target.id)
        elif isinstance(node, ast.Assign):
            names += [target.id for target in node.targets if isinstance(target, ast.Name)]
    return names


def instance_attributes(node: ast.ClassDef) -> list[str]:
    """Return the names of the attributes that methods assign to `self`."""
    return [
        child.attr
        for child in ast.walk(node)
        if isinstance(child, ast.Attribute)
        and isinstance(child.ctx, ast.Store)
        and isinstance(child.value, ast.Name)
        and child.value.id == "self"
    ]


@cache
def all_names() -> set[str]:
    return set().union(*module_names().values())


def is_module_path(name: str) -> bool:
    """Return whether the dotted name is a module, or a name that a module defines."""
    parts = name.removeprefix("cloverplank.").split(".")
    for length in range(len(parts), 0, -1):
        module = ".".join(parts[:length])
        if module in module_names():
            rest = ".".join(parts[length:])
            return not rest or rest in module_names()[module]
    return False


def starts_with_package(name: str) -> bool:
    """Return whether the dotted name starts with this package or with one of its modules."""
    if name.startswith("cloverplank."):
        return True
    first = name.split(".", maxsplit=1)[0]
    return first in module_names() or any(module.startswith(f"{first}.") for module in module_names())


def unknown_names(span: str) -> list[str]:
    """Return the names in a code span that look like names of this project and do not exist."""
    if "/" in span:
        files = [name for name in FILE_NAME.findall(span) if "*" not in span and "..." not in span]
        return [name for name in files if not (ROOT / name).exists()]
    if PAGE_NAME.fullmatch(span):
        return [] if (ROOT / span).exists() or (ROOT / "docs" / span).exists() else [span]
    if DOTTED_NAME.fullmatch(span) and starts_with_package(span):
        return [] if is_module_path(span) else [span]
    unknown = [name for name in CLASS_NAME.findall(span) if name not in all_names()]
    constants = (name for name in CONSTANT_NAME.findall(span) if name not in OUTSIDE_NAMES)
    return unknown + [name for name in constants if name not in all_names()]


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_code_names_exist(page: Path) -> None:
    spans = CODE_SPAN.findall(page.read_text("utf-8"))
    unknown = [name for span in spans for name in unknown_names(span)]
    assert not unknown


def test_unknown_names_are_reported() -> None:
    assert unknown_names("kvstore.no_such_module") == ["kvstore.no_such_module"]
    assert unknown_names("cloverplank.no_such_package") == ["cloverplank.no_such_package"]
    assert unknown_names("WatchCache.no_such_method") == ["WatchCache.no_such_method"]
    assert unknown_names("NO_SUCH_CONSTANT") == ["NO_SUCH_CONSTANT"]
    assert unknown_names("tests/no_such_test.py") == ["tests/no_such_test.py"]
