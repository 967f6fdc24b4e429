"""Splits a byte stream into complete server-sent events."""

from __future__ import annotations

import re
from typing import NamedTuple

MAX_EVENT_BYTES = 1 << 20
"""Limit on the size of an event, so that a faulty upstream cannot exhaust memory."""

_EVENT_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")
_EVENT_END = re.compile(rb"\r?\n\r?\n")


class StreamEvent(NamedTuple):
    """One complete event.

    :param data: its bytes, including the blank line that ends it
    :param event_id: ``""`` if it has none
    """

    data: bytes
    event_id: str


class EventTooLargeError(ValueError):
    """An event is longer than :data:`MAX_EVENT_BYTES`."""


class EventReader:
    """Buffers an incomplete event until its end arrives.

    An upstream may fail in the middle of an event. Bytes already forwarded cannot be
    taken back, so a stream resumed on another upstream would follow half an event with
    the whole event.
    """

    def __init__(self) -> None:
        self._partial = b""

    @property
    def has_partial_event(self) -> bool:
        """:returns: whether an incomplete event is buffered"""
        return bool(self._partial)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """:returns: the events that ``data`` completes

        :raises EventTooLargeError: if an incomplete event exceeds the size limit
        """
        buffered = self._partial + data
        events = []
        start = 0
        for end in _EVENT_END.finditer(buffered):
            event = buffered[start : end.end()]
            start = end.end()
            events.append(StreamEvent(event, _read_id(event)))
        self._partial = buffered[start:]
        if len(self._partial) > MAX_EVENT_BYTES:
            msg = f"an event exceeds {MAX_EVENT_BYTES} bytes"
            raise EventTooLargeError(msg)
        return events


def _read_id(data: bytes) -> str:
    match = _EVENT_ID.search(data)
    return "" if match is None else match.group(1).decode("utf-8", "replace").strip()


__all__ = ("MAX_EVENT_BYTES", "EventReader", "EventTooLargeError", "StreamEvent")
