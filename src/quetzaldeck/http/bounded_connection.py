"""One connection of the HTTP server, which is closed if its requests do not go on.

aiohttp bounds each line and the number of fields. It neither bounds what stands between
requests, in the framing of chunks or after a body that was refused, nor the time that a
head takes, nor all connections together. So bytes are counted as they arrive, and what
counts as progress is a complete head or a byte of a body.
"""

from __future__ import annotations

import asyncio
import socket
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from aiohttp import web
from aiohttp.http import HttpRequestParser, RawRequestMessage
from aiohttp.http_exceptions import HttpProcessingError, LineTooLong
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import RequestHandler, RequestPayloadError, _ErrInfo
from multidict import CIMultiDict, CIMultiDictProxy

from quetzaldeck.clock.clock import MS_PER_SECOND
from quetzaldeck.http.open_connections import Phase, Shortage
from quetzaldeck.http.request_limits import RECEIVE_BYTES, Bound
from quetzaldeck.http.socket_wait import count_unsent

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp import StreamReader

    from quetzaldeck.http.open_connections import ConnectionGroup
    from quetzaldeck.http.request_limits import ServerHooks

MAX_SIZE_RATIO = 2
"""Most bytes of a request for each byte of its limit on bodies. The rest covers the
framing of chunks, and what is read of a body that was refused, as a caller that still
sends would lose the response."""

MAX_UNUSED_RATIO = 2
"""Most bytes that complete no head and bring no byte of a body, for each byte of the
limit on heads: the request line and all fields may each be as long as that."""

MIN_FIELD_BYTES = 4
"""The shortest field, ``a:`` and a line end."""

FRAMING_BYTES = 3
"""Of a field beside its name and value: the colon and the line end."""

MIN_PARSED_BYTES = 65_536
"""Limit of the parser on one line, if that of requests is lower. It stays while a
connection is open, and that of requests may be raised meanwhile."""

N_STEPS = 20
"""Steps in which the time of a head is waited; one that ends late counts as one, as the
rest of the head may have arrived while this process was paused. There is one more, as a
head that takes all the time it has arrives a little later."""

RECHECK_S = 0.5
"""Interval at which an idle connection is checked again on which a head arrives."""

PARSED_AT_ONCE = 16_384
"""Bytes that are parsed at once. The parser holds what stands behind a complete request
in them; the rest can still be dropped."""

BYTES_PER_BYTE = 2
BYTES_PER_FIELD = 400
BYTES_PER_REQUEST = 24_576
"""Memory for each byte and field of a head, and for a request in progress."""

READ_BUFFER_BYTES = 16_384
"""Bytes of a body that may arrive before it is asked for; twice that for a moment."""

MAX_UNSENT_BYTES = 65_536
READER_CHECK_MS = 50.0
"""Bytes of earlier answers that are not taken, from which on the next request waits for
its caller, and how often that is checked."""

NO_HEADERS: CIMultiDictProxy[str] = CIMultiDictProxy(CIMultiDict())

MAX_REFUSED_COST = 65_536
"""Memory of the head of a refused request whose body is still read, so that its caller
does not lose the response. Usual heads need a tenth of it."""

MAX_RECEIVE_BYTES = 1 << 20
"""Receive buffer for the body of a request that is read; more brings no more speed."""


class BoundedConnection(RequestHandler):
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
        self._n_body_bytes = 0
        self._n_unused_bytes = 0
        self._n_unused_lines = 0
        self._n_empty_bytes = 0
        self._n_request_bytes = 0
        self._head_cost = 0
        self._n_retained_bytes = 0
        self._refusal: web.StreamResponse | None = None
        self._is_busy = False
        self._expects_body = False
        self._n_receive_bytes = RECEIVE_BYTES
        self._is_last = False
        self._is_done = False
        self._ahead: list[bytes] = []
        self._was_ahead = False
        self._timer: asyncio.TimerHandle | None = None
        self._n_steps_left = 0

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
        self._cancel_timer()
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
            rest = self._skip_empty_lines(data)
            if rest is None:
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
        has_new_head = self._has_new_head()
        if has_new_head:
            self._note_head(data)
        elif awaits_head and data:
            self._note_part(data)
        n_body_bytes = 0 if self._body is None else self._body.total_bytes
        if has_new_head or n_body_bytes > self._n_body_bytes:
            self._n_body_bytes = n_body_bytes
            self._n_unused_bytes = self._n_unused_lines = 0
        else:
            self._n_unused_bytes += len(data)
            self._n_unused_lines += data.count(b"\n")
        self._n_request_bytes += len(data)
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

    def _skip_empty_lines(self, data: bytes) -> bytes | None:
        """Skip empty lines before a request, which some clients add to a body.

        :returns: what is left; ``None`` if that is nothing
        """
        rest = data.lstrip(b"\r\n") if self._n_unused_bytes == 0 else data
        self._n_empty_bytes += len(data) - len(rest)
        max_bytes = 2 * self._hooks.read_limits().max_empty_lines
        if self._n_empty_bytes > max_bytes:
            self._close_over(Bound.EMPTY_LINES, max_bytes, self._n_empty_bytes)
            return None
        if rest or not data:
            return rest
        if self._n_empty_bytes > len(b"\r\n"):
            self._start_timer()
        return None

    def _has_new_head(self) -> bool:
        """:returns: whether a valid head is complete; aiohttp queues errors too"""
        if self._request_count == self._n_heads:
            return False
        self._n_heads = self._request_count
        return bool(self._messages) and isinstance(
            self._messages[-1][0], RawRequestMessage
        )

    def _note_head(self, data: bytes) -> None:
        """Count for the head that has just ended, and the body that follows it."""
        self._cancel_timer()
        message, self._body = self._messages[-1]
        assert isinstance(message, RawRequestMessage)
        fields = message.raw_headers
        n_bytes = sum(len(name) + len(value) + FRAMING_BYTES for name, value in fields)
        n_line_bytes = len(message.path)
        self._n_body_bytes = self._n_request_bytes = self._n_empty_bytes = 0
        self._head_cost = BYTES_PER_BYTE * (n_bytes + n_line_bytes)
        self._head_cost += BYTES_PER_FIELD * len(fields)
        max_bytes = self._hooks.read_limits().max_header_bytes
        if max(n_bytes, n_line_bytes) > max_bytes:
            self._messages.pop()
            self._refuse_head(max_bytes, n_bytes)
            return
        self._is_busy = True
        self._group.owner.hold(self, 0)
        self._take_memory(message)
        self._group.move(self, Phase.WHOLE if self._is_whole() else Phase.BODY)

    def _take_memory(self, message: RawRequestMessage) -> None:
        """Take the memory of a request, or refuse it and keep nothing of its head."""
        n_bytes = BYTES_PER_REQUEST + self._head_cost + self._count_unread_body()
        share = self._hooks.request_share
        if self._group.owner.begin_request(self, n_bytes, share):
            return
        self._refusal = self._hooks.refuse(message.headers)
        bare = message._replace(headers=NO_HEADERS, raw_headers=())
        self._messages[-1] = (bare, self._messages[-1][1])
        if self._head_cost > MAX_REFUSED_COST:
            # The parser holds the fields until the next request.
            self._lingering_time = 0.0
            self._finish_reading()
        self._head_cost = 0

    def _note_part(self, data: bytes) -> None:
        """Count for a head that has not ended."""
        self._group.move(self, Phase.HEAD)
        self._start_timer()

    def _refuse_head(self, bound: int, seen: int) -> None:
        """Answer that a head is too long, and read nothing more."""
        error = LineTooLong(b"the head of the request", bound)
        status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        self._messages.append(
            (_ErrInfo(status, error, f"a head of over {bound} bytes"), EMPTY_PAYLOAD)
        )
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
        self._hooks.note_over_bound(Bound.HEAD_BYTES, bound, seen)
        self._finish_reading()

    def _finish_reading(self) -> None:
        """Read nothing more; the connection is closed after the response."""
        self._cancel_timer()
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
        if self._is_done:
            return
        limits = self._hooks.read_limits()
        max_unused = MAX_UNUSED_RATIO * limits.max_header_bytes
        if self._n_unused_bytes > max_unused:
            if self._is_whole():
                self._refuse_head(max_unused, self._n_unused_bytes)
            else:
                seen = self._n_unused_bytes
                self._close_over(Bound.UNUSED_BYTES, max_unused, seen)
            return
        max_bytes = MAX_SIZE_RATIO * limits.max_body_bytes + max_unused
        if self._n_request_bytes > max_bytes:
            self._close_over(Bound.REQUEST_BYTES, max_bytes, self._n_request_bytes)
            return
        n_held = self._n_retained_bytes + BYTES_PER_BYTE * self._n_unused_bytes
        n_held += BYTES_PER_FIELD * self._n_unused_lines
        if not self._expects_body:
            n_held += self._count_unread_body()
        self._group.owner.hold(self, 0 if self._is_whole_request() else n_held)
        if self._is_whole_request():
            self._group.move(self, Phase.WHOLE)

    async def _handle_request(
        self,
        request: web.BaseRequest,
        start_time: float | None,
        request_handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    ) -> tuple[web.StreamResponse, bool]:
        """Serve one request in its turn, if there is memory for it."""
        owner = self._group.owner
        keeps = False
        if self._was_ahead:
            await owner.turns.wait(self._loop)
            await self._wait_for_reader()
        if self._refusal is not None:
            request_handler = self._refuse
        try:
            response, is_reset = await super()._handle_request(
                request, start_time, request_handler
            )
            if not is_reset:
                is_reset = not await self._wait_until_read()
            if isinstance(response, web.Response):
                # aiohttp refers to the last request and response of a connection.
                response.body = None
            keeps = not is_reset and bool(response.keep_alive)
            return response, is_reset
        finally:
            owner.end_request(self)
            self._is_busy = self._expects_body = False
            # aiohttp reads the rest of a body before it closes the connection.
            self._is_last = not keeps
            self._n_retained_bytes = self._head_cost
            if not self._is_done and self._is_whole():
                self._group.move(self, Phase.IDLE)
                owner.hold_idle(self, self._n_retained_bytes)
            if keeps:
                self._loop.call_soon(self._go_on)

    async def _refuse(self, request: web.BaseRequest) -> web.StreamResponse:
        assert self._refusal is not None
        refusal, self._refusal = self._refusal, None
        return refusal

    async def _wait_for_reader(self) -> None:
        """Wait until the answers to earlier requests of the connection are read.

        A caller that sends on without reading would keep a replica waiting with each
        answer.

        :raises ConnectionError: if they are not read in time
        """
        limit_ms = self._hooks.read_limits().unread_answer_ms
        waited_ms = 0.0
        while (n_unread := count_unsent(self.transport)) > MAX_UNSENT_BYTES:
            if waited_ms >= limit_ms:
                self._close_over(Bound.UNREAD_TIME, limit_ms, n_unread)
                raise ConnectionResetError("earlier answers were not read in time")
            await asyncio.sleep(READER_CHECK_MS / MS_PER_SECOND)
            waited_ms += READER_CHECK_MS

    async def _wait_until_read(self) -> bool:
        """Wait until the kernel has all of a response.

        :returns: whether it has; if not in time, the connection is closed
        """
        transport = self.transport
        if transport is None or not transport.get_write_buffer_size():
            return transport is not None
        limit_ms = self._hooks.read_limits().unread_answer_ms
        owner = self._group.owner
        owner.hold_answer(self, transport.get_write_buffer_size())
        transport.set_write_buffer_limits(high=0)
        try:
            async with asyncio.timeout(limit_ms / MS_PER_SECOND):
                await self._drain_helper()
        except TimeoutError:
            seen = transport.get_write_buffer_size()
            self._close_over(Bound.UNREAD_TIME, limit_ms, seen)
            return False
        finally:
            owner.hold_answer(self, 0)
        transport.set_write_buffer_limits()
        return True

    def _go_on(self) -> None:
        """Parse what has arrived while the last request was served."""
        if self._is_done or self.transport is None:
            return
        self._was_ahead = bool(self._ahead)
        if not self._upgraded:
            self._feed(b"")
        if self._is_done or self._holds_next():
            self._was_ahead = True
            return
        ahead, self._ahead = b"".join(self._ahead), []
        self._group.owner.hold_ahead(self, 0)
        if self._buffer_paused:
            self._resume_reading_for_buffer()
        if ahead:
            self.data_received(ahead)

    def _start_timer(self) -> None:
        if self._timer is None:
            self._n_steps_left = N_STEPS + 1
            self._wait_step()

    def _wait_step(self) -> None:
        step_s = self._hooks.read_limits().head_timeout_ms / N_STEPS / MS_PER_SECOND
        self._timer = self._loop.call_later(step_s, self._end_step)

    def _end_step(self) -> None:
        if self._current_request is not None:
            # Closing the connection would cut off the response under way.
            self._n_steps_left = N_STEPS
            self._wait_step()
            return
        self._n_steps_left -= 1
        if self._n_steps_left:
            self._wait_step()
            return
        timeout_ms = self._hooks.read_limits().head_timeout_ms
        self._close_over(Bound.HEAD_TIME, timeout_ms, self._n_unused_bytes)

    def _process_keepalive(self) -> None:
        """Close an idle connection; see the base class.

        If a head arrives on it, that has a time of its own.
        """
        if self._timer is None:
            super()._process_keepalive()
            return
        self._keepalive_handle = self._loop.call_later(
            RECHECK_S, self._process_keepalive
        )

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _close_over(self, bound: Bound, limit: float, seen: float) -> None:
        self._cancel_timer()
        self._drop_all()
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        transport.abort()
        self._hooks.note_over_bound(bound, limit, seen)


__all__ = ("BoundedConnection",)
