"""Replicas whose responses contain bytes without end, until the other end closes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from tests.support.platform.replica import SEAL, build_head, event

if TYPE_CHECKING:
    from tests.support.platform.replica import Arrival, Connection

BLOCK_BYTES = 64 * 1024
FAST_INTERVAL_S = 0.005
SLOW_INTERVAL_S = 0.1
"""Shorter than any time for which a replica may be silent."""

UNREACHED_LENGTH = 1 << 40
STREAM_FIELD = "Content-Type: text/event-stream"
CHUNKED = "Transfer-Encoding: chunked"


class Flood(NamedTuple):
    """What a replica sends in place of a sound response.

    :param begin: sent once
    :param build_unit: returns the bytes to repeat, given how often they were sent
    :param frame: wraps what is written at a time, e.g. in a chunk
    """

    begin: bytes
    build_unit: Callable[[int], bytes]
    frame: Callable[[bytes], bytes] = bytes


HEAD_FLOODS: dict[str, Callable[[Arrival], Flood]] = {}
BODY_FLOODS: dict[str, Callable[[Arrival], Flood]] = {}
STREAM_FLOODS: dict[str, Callable[[Arrival], Flood]] = {}
EVENT_FLOODS: dict[str, Callable[[Arrival], Flood]] = {}
AFTER_FLOODS: dict[str, Callable[[Arrival], Flood]] = {}


def _register(
    floods: dict[str, Callable[[Arrival], Flood]],
) -> Callable[[Callable[[Arrival], Flood]], Callable[[Arrival], Flood]]:
    """:returns: a decorator that adds a kind under the name of its function"""

    def decorate(build: Callable[[Arrival], Flood]) -> Callable[[Arrival], Flood]:
        floods[build.__name__] = build
        return build

    return decorate


def frame_chunk(data: bytes) -> bytes:
    """:returns: one chunk of a body with chunked transfer encoding"""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def _repeat(unit: bytes) -> Callable[[int], bytes]:
    return lambda _: unit


@_register(HEAD_FLOODS)
def interim_responses(arrival: Arrival) -> Flood:
    """Send interim responses, and never a final one."""
    return Flood(b"", _repeat(b"HTTP/1.1 100 Continue\r\n\r\n"))


@_register(HEAD_FLOODS)
def interim_responses_with_fields(arrival: Arrival) -> Flood:
    """Send interim responses with a field each, and never a final one."""
    return Flood(b"", _repeat(b"HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n"))


@_register(HEAD_FLOODS)
def blank_lines(arrival: Arrival) -> Flood:
    """Send blank lines before a status line."""
    return Flood(b"", _repeat(b"\r\n"))


@_register(HEAD_FLOODS)
def noise(arrival: Arrival) -> Flood:
    """Send bytes that are no HTTP."""
    return Flood(b"", _repeat(b"\x16\x03\x01\x02"))


@_register(HEAD_FLOODS)
def header_fields(arrival: Arrival) -> Flood:
    """Send a head whose fields do not end."""
    begin = build_head(arrival, 200, SEAL).removesuffix(b"\r\n")
    return Flood(begin, lambda number: f"X-{number}: value\r\n".encode())


@_register(HEAD_FLOODS)
def one_field(arrival: Arrival) -> Flood:
    """Send a head with a field that does not end."""
    begin = build_head(arrival, 200, SEAL).removesuffix(b"\r\n")
    return Flood(begin + b"X-Long: ", _repeat(b"a"))


@_register(BODY_FLOODS)
def body_without_length(arrival: Arrival) -> Flood:
    """Send a body that ends with its connection."""
    return Flood(build_head(arrival, 200, SEAL), _repeat(b"answer "))


@_register(BODY_FLOODS)
def body_in_chunks(arrival: Arrival) -> Flood:
    """Send a body of chunks without a last one."""
    head = build_head(arrival, 200, CHUNKED, SEAL)
    return Flood(head, _repeat(b"answer "), frame_chunk)


@_register(BODY_FLOODS)
def body_of_tiny_chunks(arrival: Arrival) -> Flood:
    """Send a body of chunks of one byte."""
    head = build_head(arrival, 200, CHUNKED, SEAL)
    return Flood(head, _repeat(frame_chunk(b"a")))


@_register(BODY_FLOODS)
def body_with_length(arrival: Arrival) -> Flood:
    """Send a body of a length that is never reached."""
    head = build_head(arrival, 200, f"Content-Length: {UNREACHED_LENGTH}", SEAL)
    return Flood(head, _repeat(b"answer "))


@_register(BODY_FLOODS)
def chunk_extension(arrival: Arrival) -> Flood:
    """Send a chunk whose extension does not end."""
    head = build_head(arrival, 200, CHUNKED, SEAL)
    return Flood(head + b"5;extension=", _repeat(b"a"))


@_register(BODY_FLOODS)
def trailers(arrival: Arrival) -> Flood:
    """Send trailer fields after the last chunk."""
    head = build_head(arrival, 200, CHUNKED, SEAL)
    begin = head + frame_chunk(b"answer") + b"0\r\n"
    return Flood(begin, lambda number: f"X-{number}: value\r\n".encode())


@_register(BODY_FLOODS)
def error_body(arrival: Arrival) -> Flood:
    """Send an error with a body that does not end."""
    return Flood(build_head(arrival, 500, SEAL), _repeat(b"error "))


@_register(BODY_FLOODS)
def refusal_body(arrival: Arrival) -> Flood:
    """Refuse the request with a body that does not end."""
    fields = ("Quetzaldeck-Not-Executed: 1", CHUNKED)
    head = build_head(arrival, 503, *fields)
    return Flood(head, _repeat(b"error "), frame_chunk)


def _begin_stream(arrival: Arrival) -> bytes:
    return build_head(arrival, 200, STREAM_FIELD, CHUNKED, SEAL)


@_register(STREAM_FLOODS)
def comments(arrival: Arrival) -> Flood:
    """Send comments, each with a blank line, and never an event."""
    return Flood(_begin_stream(arrival), _repeat(b":\n\n"), frame_chunk)


@_register(STREAM_FLOODS)
def comments_after_event(arrival: Arrival) -> Flood:
    """Send one event, and then comments."""
    begin = _begin_stream(arrival) + frame_chunk(event(1))
    return Flood(begin, _repeat(b":\n\n"), frame_chunk)


@_register(STREAM_FLOODS)
def comment_lines(arrival: Arrival) -> Flood:
    """Send lines of comments, and never a blank one."""
    return Flood(_begin_stream(arrival), _repeat(b": wait\n"), frame_chunk)


@_register(STREAM_FLOODS)
def stream_blank_lines(arrival: Arrival) -> Flood:
    """Send blank lines in place of events."""
    return Flood(_begin_stream(arrival), _repeat(b"\n"), frame_chunk)


@_register(STREAM_FLOODS)
def endless_event(arrival: Arrival) -> Flood:
    """Send an event that never ends."""
    begin = _begin_stream(arrival) + frame_chunk(b"id: 1\ndata: ")
    return Flood(begin, _repeat(b"word "), frame_chunk)


@_register(STREAM_FLOODS)
def endless_event_after_event(arrival: Arrival) -> Flood:
    """Send one event, and then one that never ends."""
    begin = _begin_stream(arrival) + frame_chunk(event(1) + b"id: 2\ndata: ")
    return Flood(begin, _repeat(b"word "), frame_chunk)


@_register(STREAM_FLOODS)
def repeated_events(arrival: Arrival) -> Flood:
    """Send one event again and again."""
    return Flood(_begin_stream(arrival), _repeat(event(1)), frame_chunk)


@_register(EVENT_FLOODS)
def new_events(arrival: Arrival) -> Flood:
    """Send new events, many in a chunk."""
    begin = _begin_stream(arrival)
    return Flood(begin, lambda number: event(number + 1, ""), frame_chunk)


@_register(EVENT_FLOODS)
def new_events_in_chunks(arrival: Arrival) -> Flood:
    """Send new events, each in a chunk of its own."""
    begin = _begin_stream(arrival)
    return Flood(begin, lambda number: frame_chunk(event(number + 1, "")))


def _answer(arrival: Arrival) -> bytes:
    return build_head(arrival, 200, "Content-Length: 5", SEAL) + b"sound"


@_register(AFTER_FLOODS)
def interim_responses_after_answer(arrival: Arrival) -> Flood:
    """Answer, and then send interim responses."""
    return Flood(_answer(arrival), _repeat(b"HTTP/1.1 100 Continue\r\n\r\n"))


@_register(AFTER_FLOODS)
def noise_after_answer(arrival: Arrival) -> Flood:
    """Answer, and then send bytes that are no HTTP."""
    return Flood(_answer(arrival), _repeat(b"\x16\x03\x01\x02"))


@_register(AFTER_FLOODS)
def answers_after_answer(arrival: Arrival) -> Flood:
    """Send the answer again and again."""
    answer = _answer(arrival)
    return Flood(answer, _repeat(answer))


class Pourer:
    """Handles requests with a flood; use :meth:`pour` as the handler of a replica.

    :param is_fast: whether blocks of 64 KiB are sent, or a few bytes at a time
    """

    def __init__(
        self, build: Callable[[Arrival], Flood], *, is_fast: bool = True
    ) -> None:
        self._build = build
        self._is_fast = is_fast
        self.n_calls = 0
        self.n_closed = 0
        self.max_sent_bytes = 0
        """Most bytes that were sent on one connection before it was closed."""

    async def pour(self, arrival: Arrival, connection: Connection) -> None:
        """Send until the other end closes the connection."""
        self.n_calls += 1
        flood = self._build(arrival)
        n_units = n_sent = 0
        data = flood.begin
        try:
            while not connection.is_left:
                await connection.send(data)
                n_sent += len(data)
                self.max_sent_bytes = max(self.max_sent_bytes, n_sent)
                await asyncio.sleep(
                    FAST_INTERVAL_S if self._is_fast else SLOW_INTERVAL_S
                )
                units = self._build_units(flood, n_units)
                n_units += len(units)
                data = flood.frame(b"".join(units))
        finally:
            self.n_closed += 1

    def _build_units(self, flood: Flood, n_units: int) -> list[bytes]:
        unit = flood.build_unit(n_units)
        if not self._is_fast:
            return [unit]
        n_more = max(1, BLOCK_BYTES // len(unit))
        return [flood.build_unit(n_units + index) for index in range(n_more)]


__all__ = (
    "AFTER_FLOODS",
    "BODY_FLOODS",
    "EVENT_FLOODS",
    "HEAD_FLOODS",
    "STREAM_FLOODS",
    "Flood",
    "Pourer",
    "frame_chunk",
)
