"""Tests that are known to fail because of a defect that is not fixed yet.

``KNOWN-RED.txt`` lists them, one per line, with four fields separated by ``|``: test,
what was seen, cause, open issue. The tests still run and their results are printed, but
their failures do not fail CI. A failure of any other test does.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

LIST_PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
N_FIELDS = 4


class KnownRed(NamedTuple):
    """One line of the list.

    :param test: pytest node id
    :param seen: how the test failed
    :param cause: cause of the failure, as far as it is known
    :param issue: number of the open issue
    """

    test: str
    seen: str
    cause: str
    issue: str


def parse_known_red(text: str) -> list[KnownRed]:
    """:returns: the entries of the list

    :raises ValueError: with the number of the first line that lacks a field
    """
    entries = []
    for number, line in enumerate(text.splitlines(), start=1):
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != N_FIELDS or not all(fields):
            msg = f"KNOWN-RED.txt:{number}: needs test | seen | cause | issue"
            raise ValueError(msg)
        entries.append(KnownRed(*fields))
    return entries


def read_known_red() -> dict[str, KnownRed]:
    """:returns: entries by pytest node id; empty if the file does not exist"""
    if not LIST_PATH.exists():
        return {}
    return {entry.test: entry for entry in parse_known_red(LIST_PATH.read_text())}


__all__ = ("KnownRed", "parse_known_red", "read_known_red")
