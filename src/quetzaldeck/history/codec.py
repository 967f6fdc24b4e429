"""Reads and writes history files: one JSON array per line, event name first."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from quetzaldeck.config.finding import Finding, raise_findings
from quetzaldeck.history.events import EVENT_CLASSES, Event

if TYPE_CHECKING:
    from pathlib import Path

_CLASS_BY_NAME: dict[str, Any] = {cls.__name__: cls for cls in EVENT_CLASSES}


def encode_event(event: Event) -> bytes:
    """:returns: ``event`` encoded as one line of a history file"""
    return msgspec.json.encode([type(event).__name__, *event]) + b"\n"


def decode_event(line: bytes) -> Event:
    """:returns: the event encoded on ``line``

    :raises ValueError: if the line does not encode a known event
    """
    fields = msgspec.json.decode(line, type=list[Any])
    cls = _CLASS_BY_NAME.get(fields[0]) if fields else None
    if cls is None:
        msg = f"unknown event {fields[:1]}; known events: {', '.join(_CLASS_BY_NAME)}"
        raise ValueError(msg)
    event: Event = msgspec.convert(fields[1:], cls)
    return event


def write_history(path: Path, events: list[Event]) -> None:
    """Write the events to a history file, in the order given."""
    path.write_bytes(b"".join(encode_event(event) for event in events))


def read_history(path: Path) -> list[Event]:
    """:returns: the events of a history file

    :raises FindingsError: with one finding per line that cannot be decoded, or one
        if the file cannot be read
    """
    findings: list[Finding] = []
    events: list[Event] = []
    try:
        lines = path.read_bytes().splitlines()
    except OSError as error:
        findings.append(Finding("", f"cannot be read: {error}", 0, str(path)))
        lines = []
    for number, line in enumerate(lines, start=1):
        try:
            events.append(decode_event(line))
        except (ValueError, msgspec.MsgspecError) as error:
            findings.append(Finding("event", str(error), number, path.name))
    raise_findings(path.name, findings)
    return events


__all__ = ("decode_event", "encode_event", "read_history", "write_history")
