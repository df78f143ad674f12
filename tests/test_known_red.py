"""Tests of the list of known failures: which entries are valid, and how a test run applies them."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from tests import known_red
from tests.known_red import KnownRed, KnownRedError

TESTS = Path(__file__).parent
SUITE = """
import pytest

def test_that_fails():
    assert False

@pytest.mark.parametrize("number", [1, 2])
def test_that_passes(number):
    pass
"""
FAILING_TEST = "tests/test_sample.py::test_that_fails"
PASSING_TEST = "tests/test_sample.py::test_that_passes[1]"


@pytest.fixture
def checkout(tmp_path: Path) -> Path:
    """Create a checkout with the code that reads the list and a suite of three tests, one of which fails."""
    (tmp_path / "tests").mkdir()
    for name in ("__init__.py", "conftest.py", "known_red.py"):
        shutil.copy(TESTS / name, tmp_path / "tests" / name)
    (tmp_path / "tests" / "test_sample.py").write_text(SUITE)
    return tmp_path


def write(checkout: Path, *lines: str) -> Path:
    path = checkout / "KNOWN-RED.txt"
    path.write_text("\n".join(lines))
    return path


def run_suite(checkout: Path, *arguments: str) -> tuple[int, str]:
    """Run the suite of a checkout in a separate process; return its exit code and what it prints."""
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *arguments]
    completed = subprocess.run(command, cwd=checkout, capture_output=True, text=True, check=False)
    return completed.returncode, completed.stdout + completed.stderr


@pytest.mark.parametrize(
    ("line", "fault"),
    [
        pytest.param(f"{FAILING_TEST} | pytest | seen", "not the 4 parts", id="a part is missing"),
        pytest.param(f"{FAILING_TEST} | pytest | | issue 3", "not the 4 parts", id="an empty part"),
        pytest.param(f"{FAILING_TEST} | a | b | c | issue 3", "not the 4 parts", id="a part too many"),
        pytest.param(f"{FAILING_TEST} | pytest | seen | to be filed", "no issue number", id="no issue"),
        pytest.param("tests/gone.py::test_a | pytest | seen | issue 3", "no such test", id="no such file"),
        pytest.param(
            "tests/test_sample.py::test_gone | pytest | seen | issue 3", "no such test", id="no such function"
        ),
        pytest.param("fleetbench fly site.toml | seed 1 | seen | issue 3", "no such test", id="no such bench command"),
        pytest.param(
            "fleetbench run apart | seed 1 | seen | issue 3", "no such test", id="a bench command without site"
        ),
    ],
)
def test_malformed_entry_is_refused_in_one_line_that_names_it(checkout: Path, line: str, fault: str) -> None:
    with pytest.raises(KnownRedError, match=fault) as caught:
        known_red.read(write(checkout, line))
    assert line[:30] in str(caught.value)
    assert "\n" not in str(caught.value)


def test_entries_are_read_in_their_four_parts(checkout: Path) -> None:
    bench = "fleetbench run site.toml apart"
    path = write(
        checkout, f"{FAILING_TEST} | pytest | seen | issue 3", "", f"{bench} | seed 104 | ran twice | issue 30"
    )
    first, second = known_red.read(path)
    assert first == KnownRed(FAILING_TEST, "pytest", "seen", "issue 3")
    assert (second.test, second.is_bench_command) == (bench, True)


def test_no_more_entries_than_allowed(checkout: Path) -> None:
    line = f"{FAILING_TEST} | pytest | seen | issue 3"
    with pytest.raises(KnownRedError, match="entries, 4 at most"):
        known_red.read(write(checkout, *[line] * (known_red.MAX_ENTRIES + 1)))


def test_missing_list_has_no_entries(checkout: Path) -> None:
    assert known_red.read(checkout / "KNOWN-RED.txt") == []


def test_only_listed_tests_may_fail(checkout: Path) -> None:
    code, output = run_suite(checkout)
    assert (code, "1 failed" in output) == (1, True)
    write(checkout, f"{FAILING_TEST} | pytest | seen | issue 3")
    code, output = run_suite(checkout)
    assert code == 0, output
    assert f"known red, issue 3: failed: {FAILING_TEST}: seen" in output


def test_listed_test_that_passes_is_printed_as_such(checkout: Path) -> None:
    write(checkout, f"{FAILING_TEST} | pytest | seen | issue 3", f"{PASSING_TEST} | pytest | seen | issue 3")
    code, output = run_suite(checkout)
    assert code == 0, output
    assert f"passed, though it is listed: {PASSING_TEST}" in output


def test_listed_test_that_is_not_run_is_printed_as_such(checkout: Path) -> None:
    write(checkout, f"{FAILING_TEST} | pytest | seen | issue 3")
    code, output = run_suite(checkout, PASSING_TEST)
    assert code == 0, output
    assert f"not run: {FAILING_TEST}" in output


@pytest.mark.parametrize("workers", ["0", "2"])
def test_entry_of_a_case_that_does_not_exist_fails_the_run(checkout: Path, workers: str) -> None:
    write(checkout, f"{FAILING_TEST} | pytest | seen | issue 3", f"{PASSING_TEST[:-3]}[7] | pytest | seen | issue 3")
    code, output = run_suite(checkout, "-n", workers)
    assert code != 0
    assert "KNOWN-RED.txt: no such test: tests/test_sample.py::test_that_passes[7]" in output


def test_malformed_list_ends_the_run_with_one_line(checkout: Path) -> None:
    write(checkout, f"{FAILING_TEST} | pytest | seen | to be filed")
    code, output = run_suite(checkout)
    assert code != 0
    assert output.strip().splitlines() == [
        f"ERROR: KNOWN-RED.txt: no issue number: {FAILING_TEST} | pytest | seen | to be filed"
    ]
