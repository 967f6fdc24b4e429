"""Events are parsed the same however the byte stream is split into reads."""

from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from quetzaldeck.entry.event_reader import (
    MAX_COMMENT_BYTES,
    MAX_EVENT_BYTES,
    EventReader,
)
from quetzaldeck.http.answer_bounds import OverBoundError

EVENTS = (b"id: 1\ndata: a\n\n", b"version: 2\nid:2\r\ndata: b\r\n\r\n", b"data: c\n\n")
WHOLE = b"".join(EVENTS)


@given(st.lists(st.integers(min_value=0, max_value=len(WHOLE)), max_size=6))
def test_events_do_not_depend_on_read_boundaries(cuts: list[int]) -> None:
    reader = EventReader()
    boundaries = [0, *sorted(cuts), len(WHOLE)]
    events = [
        event
        for start, end in pairwise(boundaries)
        for event in reader.feed(WHOLE[start:end])
    ]
    assert b"".join(event.data for event in events) == WHOLE
    assert [event.event_id for event in events] == ["1", "2", ""]
    assert not reader.has_partial_event


def test_incomplete_event_is_buffered() -> None:
    reader = EventReader()
    assert not reader.feed(b"id: 1\ndata: ha")
    assert reader.has_partial_event


def test_event_without_end_is_refused() -> None:
    with pytest.raises(OverBoundError):
        EventReader().feed(b"x" * (MAX_EVENT_BYTES + 1))


COMMENTED = (b":\n\n", b": wait\r\n\r\n: and\n", EVENTS[0], b":\n\n", EVENTS[2])


@given(st.lists(st.integers(min_value=0, max_value=len(b"".join(COMMENTED)))))
def test_comments_are_told_from_events_however_they_are_read(cuts: list[int]) -> None:
    """Guards against keep-alives that count as an answer."""
    whole = b"".join(COMMENTED)
    reader = EventReader()
    parts = [
        part
        for start, end in pairwise([0, *sorted(cuts), len(whole)])
        for part in reader.feed(whole[start:end])
    ]
    assert b"".join(part.data for part in parts) == whole
    events = [part.data for part in parts if not part.is_comment]
    assert events == [EVENTS[0], EVENTS[2]]


def test_comment_that_never_ends_is_bounded_as_comments_are() -> None:
    """Guards against one comment line that is scanned again for each of its pieces."""
    reader = EventReader()
    reader.feed(b":")
    for _ in range(MAX_COMMENT_BYTES // 256 - 1):
        assert reader.feed(b"x" * 256) == []
    with pytest.raises(OverBoundError, match="comments"):
        reader.feed(b"x" * 256)
