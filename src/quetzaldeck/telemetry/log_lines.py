"""Parsing of log lines that the programs have written."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')


def read_fields(line: str) -> dict[str, str]:
    """:returns: the fields of one line, values as written; empty if it has none"""
    return dict(_FIELD.findall(line))


def read_events(lines: Iterable[str], *events: str) -> Iterator[dict[str, str]]:
    """Read the lines of some events; all other lines are skipped.

    :param events: names of the events
    :returns: the fields of each line, values as written
    """
    wanted = {f"event={event}" for event in events}
    for line in lines:
        if any(event in line for event in wanted):
            fields = read_fields(line)
            if fields.get("event") in events:
                yield fields


__all__ = ("read_events", "read_fields")
