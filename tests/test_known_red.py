"""Tests of the list of known failing tests, KNOWN-RED.txt."""

from __future__ import annotations

import pytest
from tests.known_red import parse_known_red, read_known_red

MAX_ENTRIES = 3


def test_entries_are_few_and_name_a_test() -> None:
    entries = read_known_red().values()
    assert len(entries) <= MAX_ENTRIES
    for entry in entries:
        path, _, name = entry.test.partition("::")
        assert path.startswith("tests/")
        assert name


@pytest.mark.parametrize("line", ["tests/a.py::b", "a | b | c", "a | b | | d"])
def test_line_with_missing_field_is_rejected_with_its_number(line: str) -> None:
    with pytest.raises(ValueError, match=r"KNOWN-RED\.txt:2: needs"):
        parse_known_red(f"a | b | c | d\n{line}")
