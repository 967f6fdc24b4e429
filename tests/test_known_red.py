"""Tests of the list of known failing tests, KNOWN-RED.txt."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

import pytest
from tests.known_red import parse_known_red, read_known_red

ROOT = Path(__file__).parent.parent
OPEN_ISSUES = ROOT / "docs" / "open-issues.md"


def list_collected(path: str) -> set[str]:
    """:returns: node ids of the tests in a file"""
    command = [sys.executable, "-m", "pytest", "--collect-only", "-q", path]
    run = subprocess.run(
        [*command, "-p", "no:xdist", "-o", "addopts=--import-mode=importlib"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    return set(run.stdout.splitlines())


def test_each_entry_names_a_test_that_exists() -> None:
    """Guards against an entry that outlives a rename and hides that a test is gone."""
    entries = read_known_red()
    for path in {name.partition("::")[0] for name in entries}:
        listed = {name for name in entries if name.partition("::")[0] == path}
        assert listed <= list_collected(path)


def test_each_entry_names_an_open_issue() -> None:
    """Guards against a known failure that nobody is going to mend."""
    open_issues = set(re.findall(r"^\| (\d+) \|", OPEN_ISSUES.read_text(), re.M))
    assert open_issues
    for entry in read_known_red().values():
        assert entry.issue in open_issues, entry.test


def test_no_test_is_listed_twice() -> None:
    lines = (ROOT / "KNOWN-RED.txt").read_text().splitlines()
    assert len(lines) == len(read_known_red())


@pytest.mark.parametrize("line", ["tests/a.py::b", "a | b | c", "a | b | | d"])
def test_line_with_missing_field_is_rejected_with_its_number(line: str) -> None:
    with pytest.raises(ValueError, match=r"KNOWN-RED\.txt:2: needs"):
        parse_known_red(f"a | b | c | d\n{line}")
