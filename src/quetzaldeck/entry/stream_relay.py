"""Forwards the events of a stream to its caller, each once, over all attempts."""

from __future__ import annotations

import asyncio
import math
import re
from typing import TYPE_CHECKING

from aiohttp import web

from quetzaldeck.clock.clock import MS_PER_SECOND
from quetzaldeck.decisions import AttemptFault
from quetzaldeck.entry.event_reader import MAX_COMMENT_BYTES, EventReader
from quetzaldeck.gateway.errors import RequestError
from quetzaldeck.http.answer_bounds import ByteBound
from quetzaldeck.outcomes import Failure, Ran, Reason
from quetzaldeck.platform import build_response_headers
from quetzaldeck.upstreams import UpstreamError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    import aiohttp

    from quetzaldeck.clock import Clock
    from quetzaldeck.entry.call import Call
    from quetzaldeck.entry.event_reader import StreamEvent
    from quetzaldeck.upstreams.watch import ProgressWatch


MAX_EVENTS_PER_MS = 10.0
"""Rate at which the events of one stream are read: ten times that of an engine whose
steps take 1 ms, and few enough that other requests get their share of the event loop.
"""

MAX_BURST_MS = 100.0
"""Time in which a stream may be ahead of that rate, e.g. after a pause."""


class _Source:
    """Counts what one attempt sends, and limits its rate.

    :param n_sent_bytes: bytes of events that the caller has, which may come again
    """

    def __init__(
        self, upstream: aiohttp.ClientResponse, clock: Clock, n_sent_bytes: int
    ) -> None:
        self._clock = clock
        self._due_ms = clock.now_ms()
        self.upstream = upstream
        self.comments = ByteBound("comments", MAX_COMMENT_BYTES)
        self.repeats = ByteBound("repeated events", n_sent_bytes + MAX_COMMENT_BYTES)
        self.held = b""
        """Comments that arrived while nothing might be written."""

    def note_event(self, event: StreamEvent) -> None:
        """Note progress."""
        self.comments.reset()
        self.repeats.allow(len(event.data))

    async def pace(self, n_events: int) -> None:
        """Wait before more is read, if events come too fast."""
        now_ms = self._clock.now_ms()
        self._due_ms = max(self._due_ms, now_ms) + n_events / MAX_EVENTS_PER_MS
        ahead_ms = self._due_ms - now_ms - MAX_BURST_MS
        if ahead_ms > 0.0:
            await asyncio.sleep(ahead_ms / MS_PER_SECOND)

    def take_held(self) -> bytes:
        """:returns: the comments to write before what comes next"""
        held, self.held = self.held, b""
        return held


_NUMBER = re.compile(r"[0-9]{1,18}")
"""Ids that can be compared; Python refuses to read thousands of digits."""


class StreamRelay:
    """The response stream of one caller.

    The response starts with the first complete event: until then the request can move
    to another upstream unnoticed by the caller. Status and headers are those of the
    upstream that sent this event, also if another one continues the stream.

    :param lived_ms: time for which an upstream has to write until it has survived the
        beginning of the answer
    """

    def __init__(self, call: Call, clock: Clock, *, lived_ms: float) -> None:
        self._call = call
        self._clock = clock
        self._lived_ms = lived_ms
        self._last_event_ms = call.arrived_ms
        self._first_event_ms: float | None = None
        self._max_gap_ms = 0.0
        self._response: web.StreamResponse | None = None
        self._last_event_id = ""
        self._n_events = 0
        self._n_event_bytes = 0
        self.n_duplicates = 0

    @property
    def response(self) -> web.StreamResponse | None:
        """:returns: the response; ``None`` until it starts"""
        return self._response

    @property
    def last_event_id(self) -> str | None:
        """:returns: id of the event after which to resume; ``None`` if there is none"""
        return self._last_event_id or None

    @property
    def n_events(self) -> int:
        """:returns: number of events sent to the caller"""
        return self._n_events

    @property
    def first_event_ms(self) -> float | None:
        """:returns: time from the call's arrival to the first event sent"""
        return self._first_event_ms

    @property
    def max_gap_ms(self) -> float:
        """:returns: longest gap between two events sent to the caller"""
        return self._max_gap_ms

    async def relay(
        self,
        name: str,
        upstream: aiohttp.ClientResponse,
        *,
        first_byte: ProgressWatch,
        gaps: ProgressWatch,
        claim: Callable[[], Awaitable[None]],
        on_first_event: Callable[[], None],
        on_lived: Callable[[], None],
        on_data: Callable[[], None],
        on_progress: Callable[[], None],
        may_write: Callable[[], bool],
    ) -> None:
        """Forward the events of one attempt; call :meth:`finish` once it completes.

        Comments keep the caller's connection alive between events, but are no progress
        of the upstream; nor are events that the caller has.

        :param name: the upstream that responds
        :param first_byte: bounds the wait for the first event
        :param gaps: bounds the wait for each further one
        :param claim: awaited before events are forwarded that the caller lacks
        :param on_first_event: called when the first event has been forwarded
        :param on_lived: called once, when the upstream has survived the beginning
        :param on_data: called whenever bytes arrive
        :param on_progress: called whenever events arrive that the caller lacks
        :param may_write: whether comments may be forwarded before the next event
        :raises UpstreamError: if the stream ends early or is not an event stream
        :raises OverBoundError: if it has too many bytes that bring no event
        """
        reader = EventReader()
        source = _Source(upstream, self._clock, self._n_event_bytes)
        has_begun = has_lived = goes_on = False
        lived_from_ms = math.inf
        while True:
            watch = gaps if has_begun else first_byte
            data = await watch.wait(upstream.content.readany, goes_on=goes_on)
            if not data:
                break
            on_data()
            events = reader.feed(data)
            goes_on = not any(self._is_new(event) for event in events)
            if goes_on:
                self._count_unneeded(source, events)
                if self._response is not None and source.held and may_write():
                    await self._write(self._response, source.take_held())
                continue
            on_progress()
            await claim()
            n_before = self._n_events
            await self._forward(source, events)
            if not has_begun:
                has_begun = True
                lived_from_ms = self._clock.now_ms() + self._lived_ms
                on_first_event()
            elif not has_lived and self._clock.now_ms() >= lived_from_ms:
                has_lived = True
                on_lived()
            await source.pace(self._n_events - n_before)
        if reader.has_partial_event or not self._n_events:
            detail = f"{name}: the stream ended without an event or within one"
            raise UpstreamError(AttemptFault.BAD_ANSWER, detail, upstream=name)

    async def finish(self) -> web.StreamResponse:
        """:returns: the response, properly terminated"""
        assert self._response is not None
        await self._response.write_eof()
        return self._response

    def abort(self) -> None:
        """Abort the caller's connection, so that it sees the stream as incomplete."""
        transport = self._call.http_request.transport
        if transport is not None:
            transport.abort()

    def _count_unneeded(self, source: _Source, events: list[StreamEvent]) -> None:
        """Count what brings no event, and hold comments until they may be written."""
        for event in events:
            if event.is_comment:
                source.comments.add(len(event.data))
                source.held += event.data
            else:
                source.repeats.add(len(event.data))
                self.n_duplicates += 1

    async def _forward(self, source: _Source, events: list[StreamEvent]) -> None:
        """Forward what the caller lacks, in one write."""
        parts = [source.take_held()]
        last_event_id = self._last_event_id
        n_events = 0
        for event in events:
            if event.is_comment:
                source.comments.add(len(event.data))
            elif _is_duplicate(event, last_event_id):
                source.repeats.add(len(event.data))
                self.n_duplicates += 1
                continue
            else:
                source.note_event(event)
                n_events += 1
                last_event_id = event.event_id or last_event_id
            parts.append(event.data)
        data = b"".join(parts)
        if self._response is None:
            self._response = web.StreamResponse(
                status=source.upstream.status,
                headers=build_response_headers(source.upstream.headers),
            )
            await self._send_head(self._response)
        await self._write(self._response, data)
        self._record_event_time()
        self._n_events += n_events
        self._n_event_bytes += len(data)
        self._last_event_id = last_event_id

    async def _write(self, response: web.StreamResponse, data: bytes) -> None:
        """:raises RequestError: if the caller is gone"""
        try:
            await response.write(data)
        except ConnectionError:
            raise RequestError(Failure(Reason.CALLER_GONE, Ran.YES)) from None

    def _record_event_time(self) -> None:
        now_ms = self._clock.now_ms()
        if self._first_event_ms is None:
            self._first_event_ms = now_ms - self._call.arrived_ms
        else:
            self._max_gap_ms = max(self._max_gap_ms, now_ms - self._last_event_ms)
        self._last_event_ms = now_ms

    async def _send_head(self, response: web.StreamResponse) -> None:
        """:raises RequestError: if the caller is gone"""
        try:
            await response.prepare(self._call.http_request)
        except ConnectionError:
            raise RequestError(Failure(Reason.CALLER_GONE, Ran.YES)) from None

    def _is_new(self, event: StreamEvent) -> bool:
        """:returns: whether the caller lacks an event"""
        return not event.is_comment and not _is_duplicate(event, self._last_event_id)


def _is_duplicate(event: StreamEvent, last_event_id: str) -> bool:
    """:returns: whether an event was sent before another one, judged by numeric ids"""
    last, new = last_event_id, event.event_id
    are_numbers = _NUMBER.fullmatch(last) and _NUMBER.fullmatch(new)
    return bool(are_numbers) and int(new) <= int(last)


__all__ = ("StreamRelay",)
