"""How requests are read from one connection, which is closed if they do not go on.

aiohttp bounds each line and the number of fields. It neither bounds what stands between
requests, in the framing of chunks or after a body that was refused, nor the time that a
head takes, nor all connections together. So bytes are counted as they arrive, and what
counts as progress is a complete head or a byte of a body.
"""

from __future__ import annotations

import socket
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from aiohttp.http import HttpRequestParser, RawRequestMessage
from aiohttp.http_exceptions import HttpProcessingError, LineTooLong
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import RequestHandler, RequestPayloadError, _ErrInfo
from multidict import CIMultiDict, CIMultiDictProxy

from quetzaldeck.clock.clock import MS_PER_SECOND
from quetzaldeck.http.head_timer import HeadTimer
from quetzaldeck.http.open_connections import Phase, Shortage
from quetzaldeck.http.request_limits import RECEIVE_BYTES, Bound
from quetzaldeck.http.request_meter import RequestMeter

if TYPE_CHECKING:
    import asyncio

    from aiohttp import StreamReader, web

    from quetzaldeck.http.open_connections import ConnectionGroup
    from quetzaldeck.http.request_limits import ServerHooks
    from quetzaldeck.http.request_meter import Excess

MIN_FIELD_BYTES = 4
"""The shortest field, ``a:`` and a line end."""

MIN_PARSED_BYTES = 65_536
"""Limit of the parser on one line, if that of requests is lower. It stays while a
connection is open, and that of requests may be raised meanwhile."""

RECHECK_S = 0.5
"""Interval at which an idle connection is checked again on which a head arrives."""

PARSED_AT_ONCE = 4_096
"""Bytes that are parsed at once. The parser holds what stands behind a complete request
in them; the rest can still be dropped."""

BYTES_PER_REQUEST = 24_576
"""Memory of a request in progress, without its head and its body."""

READ_BUFFER_BYTES = 16_384
"""Bytes of a body that may arrive before it is asked for; twice that for a moment."""

NO_HEADERS: CIMultiDictProxy[str] = CIMultiDictProxy(CIMultiDict())

MAX_REFUSED_COST = 65_536
"""Memory of the head of a refused request whose body is still read, so that its caller
does not lose the response. Usual heads need a tenth of it."""

MAX_RECEIVE_BYTES = 1 << 20
"""Receive buffer for the body of a request that is read; more brings no more speed."""


class ReadingConnection(RequestHandler):
    """One connection; bytes beyond a limit close it.

    What arrives behind a complete request is not parsed until that is answered.

    :param hooks: of the service
    :param group: the connections of the same address
    """

    def __init__(
        self, *args: Any, hooks: ServerHooks, group: ConnectionGroup, **kwargs: Any
    ) -> None:
        limits = hooks.read_limits()
        super().__init__(
            *args,
            keepalive_timeout=limits.idle_timeout_ms / MS_PER_SECOND,
            read_bufsize=READ_BUFFER_BYTES,
            **kwargs,
        )
        max_parsed_bytes = max(limits.max_header_bytes, MIN_PARSED_BYTES)
        # The parser of the base class reads up to 32 requests ahead.
        self._parser = HttpRequestParser(
            self,
            self._loop,
            READ_BUFFER_BYTES,
            max_line_size=max_parsed_bytes,
            max_field_size=max_parsed_bytes,
            max_headers=max_parsed_bytes // MIN_FIELD_BYTES,
            payload_exception=RequestPayloadError,
            auto_decompress=False,
            max_msg_queue_size=1,
        )
        self._hooks = hooks
        self._group = group
        self._n_heads = 0
        self._body: StreamReader | None = None
        self._meter = RequestMeter()
        self._retained_cost = 0
        self._refusal: web.StreamResponse | None = None
        self._is_busy = False
        self._expects_body = False
        self._n_receive_bytes = RECEIVE_BYTES
        self._is_last = False
        self._is_done = False
        self._ahead: list[bytes] = []
        self._head_timer = HeadTimer(
            self._loop,
            read_timeout_ms=lambda: hooks.read_limits().head_timeout_ms,
            is_serving=lambda: self._current_request is not None,
            on_end=self._end_slow_head,
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Serve the connection, if there is room for it; see the base class."""
        owner = self._group.owner
        if not owner.add(self._group, self):
            self._is_done = True
            transport.abort()  # type: ignore[attr-defined]
            n_open = owner.room.n_connections
            self._hooks.note_over_bound(Bound.CONNECTIONS, n_open, n_open + 1)
            return
        super().connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection; see the base class."""
        self._head_timer.close()
        self._drop_all()
        self._group.owner.remove(self._group, self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse and count what has arrived."""
        if self._is_done:
            return
        if self._ahead or self._holds_next():
            if data:
                self._keep_ahead(data)
            return
        if self._is_whole():
            if self._is_last:
                return
            rest = self._meter.skip_empty_lines(data)
            if data and not rest:
                self._note_empty_lines()
                return
            data = rest
        self._parse(data)

    def expect_body(self, n_bytes: int) -> None:
        """Let more of a body wait in the kernel, once there is memory for it.

        :param n_bytes: of the body, or of what has arrived if its length is not known
        """
        self._expects_body = True
        self._group.owner.hold(self, 0)
        n_bytes = min(n_bytes, MAX_RECEIVE_BYTES)
        if n_bytes >= 2 * self._n_receive_bytes and self.transport is not None:
            self._n_receive_bytes = n_bytes
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, n_bytes)

    def close_for_room(self, shortage: Shortage) -> None:
        """Close the connection; see :class:`Holder`."""
        owner = self._group.owner
        assert owner.limits is not None
        if shortage is Shortage.CONNECTIONS:
            limit, seen = owner.limits.max_connections, owner.room.n_connections
            self._close_over(Bound.CONNECTIONS, limit, seen + 1)
        else:
            limit, seen = owner.limits.max_head_bytes, owner.room.n_head_bytes
            self._close_over(Bound.MEMORY, limit, seen)

    def drop_ahead(self) -> None:
        """Read nothing more than the request in progress; see :class:`Holder`."""
        self._ahead.clear()
        self.close()
        self._is_done = True

    def take_ahead(self, max_requests: int) -> list[RawRequestMessage]:
        """Take the heads of requests that arrived ahead of their turn.

        :param max_requests: of them, so that a crowd of them costs no time
        """
        heads: list[RawRequestMessage] = []
        data, self._ahead = b"".join(self._ahead), []
        while self._parser is not None and len(heads) < max_requests:
            self._parser.message_consumed()
            try:
                messages, _, _ = self._parser.feed_data(data)
            except HttpProcessingError:
                break
            if not messages:
                break
            heads += [m for m, _ in messages if isinstance(m, RawRequestMessage)]
            data = b""
        return heads

    def _parse(self, data: bytes) -> None:
        """Parse data in parts, until a request is complete."""
        n_parsed = 0
        while not self._is_done:
            self._feed(data[n_parsed : n_parsed + PARSED_AT_ONCE])
            n_parsed += PARSED_AT_ONCE
            if n_parsed >= len(data):
                return
            if self._holds_next():
                self._keep_ahead(data[n_parsed:])
                return

    def _feed(self, data: bytes) -> None:
        awaits_head = self._is_whole()
        super().data_received(data)
        if self._messages and isinstance(self._messages[-1][0], _ErrInfo):
            # The parser reads nothing more once it has failed. The traceback of its
            # error refers to the data.
            self._messages[-1][0].exc.__traceback__ = None
            self._finish_reading()
            return
        has_head = self._has_new_head()
        if has_head:
            self._note_head()
        elif awaits_head and data:
            self._group.move(self, Phase.HEAD)
            self._head_timer.start()
        n_body_bytes = 0 if self._body is None else self._body.total_bytes
        self._meter.count(data, n_body_bytes, has_head=has_head)
        self._check()

    def _holds_next(self) -> bool:
        """:returns: whether what arrives now belongs to a later request"""
        return self._is_whole_request() and not self._upgraded

    def _is_whole(self) -> bool:
        """:returns: whether no body is awaited"""
        return self._body is None or self._body.is_eof()

    def _is_whole_request(self) -> bool:
        return self._is_busy and self._is_whole()

    def _count_unread_body(self) -> int:
        """:returns: bytes of a body that nobody has read yet"""
        if self._body is None or self._body is EMPTY_PAYLOAD:
            return 0
        return self._body._size

    def _keep_ahead(self, data: bytes) -> None:
        """Keep data for later, and read no more until then."""
        if not self._ahead:
            self._pause_reading_for_buffer()
        self._ahead.append(data)
        n_bytes = sum(map(len, self._ahead)) + PARSED_AT_ONCE
        n_bytes += 2 * self._n_receive_bytes
        self._group.owner.hold_ahead(self, n_bytes)

    def _resume_reading_if_drained(self) -> None:
        """Read on, unless there is data for later; see the base class."""
        if not self._ahead:
            super()._resume_reading_if_drained()

    def _has_new_head(self) -> bool:
        """:returns: whether a valid head is complete; aiohttp queues errors too"""
        if self._request_count == self._n_heads:
            return False
        self._n_heads = self._request_count
        return bool(self._messages) and isinstance(
            self._messages[-1][0], RawRequestMessage
        )

    def _note_head(self) -> None:
        """Begin the request whose head has just ended, or refuse it."""
        self._head_timer.cancel()
        message, self._body = self._messages[-1]
        assert isinstance(message, RawRequestMessage)
        excess = self._meter.note_head(message, self._hooks.read_limits())
        if excess is not None:
            self._messages.pop()
            self._refuse_head(excess)
            return
        if message.upgrade:
            # No other protocol is spoken; what follows belongs to none.
            message = message._replace(should_close=True)
            self._messages[-1] = (message, self._body)
        self._is_busy = True
        self._group.owner.hold(self, 0)
        self._take_memory(message)
        self._group.move(self, Phase.WHOLE if self._is_whole() else Phase.BODY)

    def _note_empty_lines(self) -> None:
        excess = self._meter.find_excess(self._hooks.read_limits(), is_in_body=False)
        if excess is not None:
            self._close_over(*excess)
        elif self._meter.has_empty_lines:
            self._head_timer.start()

    def _take_memory(self, message: RawRequestMessage) -> None:
        """Take the memory of a request, or refuse it and keep nothing of its head."""
        n_bytes = BYTES_PER_REQUEST + self._meter.head_cost + self._count_unread_body()
        share = self._hooks.request_share
        if self._group.owner.begin_request(self, n_bytes, share):
            return
        self._refusal = self._hooks.refuse(message.headers)
        bare = message._replace(headers=NO_HEADERS, raw_headers=())
        self._messages[-1] = (bare, self._messages[-1][1])
        if self._meter.head_cost > MAX_REFUSED_COST:
            # The parser holds the fields until the next request.
            self._lingering_time = 0.0
            self._finish_reading()
        self._meter.head_cost = 0

    def _refuse_head(self, excess: Excess) -> None:
        """Answer that a head is too long, and read nothing more."""
        text = f"a head of over {excess.limit} bytes"
        status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        error = LineTooLong(b"the head of the request", excess.limit)
        self._messages.append((_ErrInfo(status, error, text), EMPTY_PAYLOAD))
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
        self._hooks.note_over_bound(*excess)
        self._finish_reading()

    def _finish_reading(self) -> None:
        """Read nothing more; the connection is closed after the response."""
        self._head_timer.cancel()
        self._drop_parser()
        self._group.owner.hold(self, 0)
        self._pause_reading_for_buffer()

    def _drop_parser(self) -> None:
        """Free what the parser holds now, not in the next iteration of the loop."""
        self._is_done = True
        self._parser = None

    def _drop_all(self) -> None:
        """Free all that is held for a connection that is closed.

        A body refers to its connection: the garbage collector would find them later.
        """
        self._drop_parser()
        self._ahead.clear()
        self._body = None

    def _check(self) -> None:
        """Check the bounds of this connection, and those of all together."""
        if self._is_done:
            return
        is_whole = self._is_whole()
        excess = self._meter.find_excess(
            self._hooks.read_limits(), is_in_body=not is_whole
        )
        if excess is not None and excess.bound is Bound.HEAD_BYTES:
            self._refuse_head(excess)
        elif excess is not None:
            self._close_over(*excess)
        elif self._is_whole_request():
            self._group.owner.hold(self, 0)
            self._group.move(self, Phase.WHOLE)
        else:
            cost = self._retained_cost + self._meter.partial_cost
            if not self._expects_body:
                cost += self._count_unread_body()
            self._group.owner.hold(self, cost)

    def _end_slow_head(self) -> None:
        timeout_ms = self._hooks.read_limits().head_timeout_ms
        self._close_over(Bound.HEAD_TIME, timeout_ms, self._meter.n_unused_bytes)

    def _process_keepalive(self) -> None:
        """Close an idle connection; see the base class.

        If a head arrives on it, that has a time of its own.
        """
        if not self._head_timer.is_running:
            super()._process_keepalive()
            return
        self._keepalive_handle = self._loop.call_later(
            RECHECK_S, self._process_keepalive
        )

    def _close_over(self, bound: Bound, limit: float, seen: float) -> None:
        self._head_timer.cancel()
        self._drop_all()
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        transport.abort()
        self._hooks.note_over_bound(bound, limit, seen)


__all__ = ("ReadingConnection",)
