"""Forwards the events of a stream to its caller, each once, over all attempts."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from aiohttp import web

from quetzaldeck.decisions import AttemptFault
from quetzaldeck.entry.event_reader import EventReader, EventTooLargeError
from quetzaldeck.gateway.errors import RequestError
from quetzaldeck.outcomes import Failure, Ran, Reason
from quetzaldeck.platform import build_response_headers
from quetzaldeck.upstreams import UpstreamError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    import aiohttp

    from quetzaldeck.clock import Clock
    from quetzaldeck.entry.call import Call
    from quetzaldeck.entry.event_reader import StreamEvent
    from quetzaldeck.upstreams.watch import Watch


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
        first_byte: Watch,
        gaps: Watch,
        claim: Callable[[], Awaitable[None]],
        on_first_event: Callable[[], None],
        on_lived: Callable[[], None],
        on_data: Callable[[], None],
    ) -> None:
        """Forward the events of one attempt; call :meth:`finish` once it completes.

        :param name: the upstream that responds
        :param first_byte: bounds the wait for the first event
        :param gaps: bounds the wait for each further one
        :param claim: awaited before events are forwarded that the caller lacks
        :param on_first_event: called when the first event has been forwarded
        :param on_lived: called once, when the upstream has survived the beginning
        :param on_data: called whenever bytes arrive
        :raises UpstreamError: if the stream ends early or is not an event stream
        """
        reader = EventReader()
        has_begun = has_lived = False
        lived_from_ms = math.inf
        while True:
            watch = gaps if has_begun else first_byte
            data = await watch.wait(upstream.content.readany)
            if not data:
                break
            on_data()
            events = self._parse_events(name, reader, data)
            if not all(self._is_duplicate(event) for event in events):
                await claim()
            for event in events:
                await self._forward(upstream, event)
                if not has_begun:
                    has_begun = True
                    lived_from_ms = self._clock.now_ms() + self._lived_ms
                    on_first_event()
                elif not has_lived and self._clock.now_ms() >= lived_from_ms:
                    has_lived = True
                    on_lived()
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

    def _parse_events(
        self, name: str, reader: EventReader, data: bytes
    ) -> list[StreamEvent]:
        try:
            return reader.feed(data)
        except EventTooLargeError as error:
            raise UpstreamError(
                AttemptFault.BAD_ANSWER, f"{name}: {error}", upstream=name
            ) from error

    async def _forward(
        self, upstream: aiohttp.ClientResponse, event: StreamEvent
    ) -> None:
        if self._is_duplicate(event):
            self.n_duplicates += 1
            return
        try:
            if self._response is None:
                await self._start_response(upstream)
            assert self._response is not None
            await self._response.write(event.data)
        except ConnectionError:
            raise RequestError(Failure(Reason.CALLER_GONE, Ran.YES)) from None
        self._record_event_time()
        self._n_events += 1
        self._last_event_id = event.event_id or self._last_event_id

    def _record_event_time(self) -> None:
        now_ms = self._clock.now_ms()
        if self._first_event_ms is None:
            self._first_event_ms = now_ms - self._call.arrived_ms
        else:
            self._max_gap_ms = max(self._max_gap_ms, now_ms - self._last_event_ms)
        self._last_event_ms = now_ms

    async def _start_response(self, upstream: aiohttp.ClientResponse) -> None:
        self._response = web.StreamResponse(
            status=upstream.status, headers=build_response_headers(upstream.headers)
        )
        await self._response.prepare(self._call.http_request)

    def _is_duplicate(self, event: StreamEvent) -> bool:
        """:returns: whether the event was already sent, judged by numeric ids"""
        last, new = self._last_event_id, event.event_id
        return last.isdigit() and new.isdigit() and int(new) <= int(last)


__all__ = ("StreamRelay",)
