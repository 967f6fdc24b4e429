"""Splits a byte stream into complete server-sent events."""

from __future__ import annotations

import re
from typing import NamedTuple

from quetzaldeck.http.answer_bounds import OverBoundError

MAX_EVENT_BYTES = 1 << 20
"""Limit on the size of an event, so that a faulty upstream cannot exhaust memory."""

MAX_COMMENT_BYTES = 65_536
"""Bytes of comments between two events: thousands of keep-alives."""

_COMMENTS = re.compile(rb"(?:(?::[^\r\n]*)?\r?\n)+")
"""Lines that are comments or blank, where an event may begin."""

_EVENT_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")
_EVENT_END = re.compile(rb"\r?\n\r?\n")

_MAX_END_BYTES = 3
"""Bytes of the end of an event that may be buffered before its last one arrives."""


class StreamEvent(NamedTuple):
    """One complete event, or the comments and blank lines between two events.

    :param data: its bytes, including the blank line that ends it
    :param event_id: ``""`` if it has none
    :param is_comment: whether it has only comments and blank lines
    """

    data: bytes
    event_id: str
    is_comment: bool = False


class EventReader:
    """Buffers an incomplete event until its end arrives.

    An upstream may fail in the middle of an event. Bytes already forwarded cannot be
    taken back, so a stream resumed on another upstream would follow half an event with
    the whole event.
    """

    def __init__(self) -> None:
        self._partial = bytearray()

    @property
    def has_partial_event(self) -> bool:
        """:returns: whether an incomplete event is buffered"""
        return bool(self._partial)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """:returns: the events that ``data`` completes

        :raises OverBoundError: if an incomplete event exceeds the size limit
        """
        partial = self._partial
        if partial.startswith(b":") and b"\n" not in data:
            # A search would scan the whole comment again for each piece of it.
            partial += data
            self._check_partial()
            return []
        # The end of the buffered event may span what is buffered and what is new.
        searched = max(0, len(partial) - _MAX_END_BYTES)
        partial += data
        events = []
        start = 0
        while True:
            comments = _COMMENTS.match(partial, start)
            if comments is not None:
                start = comments.end()
                events.append(StreamEvent(comments.group(), "", is_comment=True))
            end = _EVENT_END.search(partial, max(start, searched))
            if end is None:
                break
            event = bytes(partial[start : end.end()])
            start = end.end()
            events.append(StreamEvent(event, _read_id(event)))
        del partial[:start]
        self._check_partial()
        return events

    def _check_partial(self) -> None:
        is_comment = self._partial.startswith(b":")
        part = "comments" if is_comment else "event"
        max_bytes = MAX_COMMENT_BYTES if is_comment else MAX_EVENT_BYTES
        if len(self._partial) > max_bytes:
            raise OverBoundError(part, max_bytes, len(self._partial))


def _read_id(data: bytes) -> str:
    match = _EVENT_ID.search(data)
    return "" if match is None else match.group(1).decode("utf-8", "replace").strip()


__all__ = ("MAX_COMMENT_BYTES", "MAX_EVENT_BYTES", "EventReader", "StreamEvent")
