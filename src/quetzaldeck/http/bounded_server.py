"""An HTTP server that closes connections on which requests do not go on.

aiohttp bounds each line and the number of fields. It neither bounds what stands between
requests, in the framing of chunks or after a body that was refused, nor the time that a
head takes. So bytes are counted as they arrive, and what counts as progress is a
complete head or a byte of a body.
"""

from __future__ import annotations

import asyncio
from enum import StrEnum
from typing import TYPE_CHECKING, Any, NamedTuple

from aiohttp import web
from aiohttp.http import RawRequestMessage
from aiohttp.web_protocol import RequestHandler

from quetzaldeck.clock.clock import MS_PER_SECOND
from quetzaldeck.telemetry.log import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import StreamReader

MAX_UNUSED_BYTES = 262_144
"""Most bytes that complete no head and bring no byte of a body: sixteen fields of the
greatest length."""

MAX_BODY_BYTES = 1 << 20
"""Usual limit on a body, as aiohttp's own."""

MAX_SIZE_RATIO = 2
"""Most bytes of a request for each byte of its limit on bodies. The rest covers the
framing of chunks, and what is read of a body that was refused, as a caller that still
sends would lose the response."""

HEAD_TIMEOUT_MS = 10_000.0
N_STEPS = 20
"""Steps in which the time of a head is waited; one that ends late counts as one, as the
rest of the head may have arrived while this process was paused."""


class Bound(StrEnum):
    """What a connection is closed for."""

    UNUSED_BYTES = "unused_bytes"
    REQUEST_BYTES = "request_bytes"
    HEAD_TIME = "head_time_ms"


class RequestLimits(NamedTuple):
    """Limits on the requests of one connection.

    :param head_timeout_ms: from the first byte of a head to its end
    """

    max_body_bytes: int = MAX_BODY_BYTES
    head_timeout_ms: float = HEAD_TIMEOUT_MS


class BoundedConnection(RequestHandler):
    """One connection; bytes beyond a limit close it, with one line in the log.

    :param read_limits: returns the limits in force
    :param note_over_bound: called when the connection is closed
    """

    def __init__(
        self,
        *args: Any,
        read_limits: Callable[[], RequestLimits],
        note_over_bound: Callable[[Bound], None],
        **kwargs: Any,
    ) -> None:
        super().__init__(*args, **kwargs)
        self._read_limits = read_limits
        self._note_over_bound = note_over_bound
        self._n_heads = 0
        self._body: StreamReader | None = None
        self._n_body_bytes = 0
        self._n_unused_bytes = 0
        self._n_request_bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        self._n_steps_left = 0

    def data_received(self, data: bytes) -> None:
        """Parse and count what has arrived."""
        awaits_head = self._body is None or self._body.is_eof()
        super().data_received(data)
        has_new_head = self._has_new_head()
        if has_new_head:
            self._note_head()
        elif awaits_head and self._timer is None and self._begins_head(data):
            self._n_steps_left = N_STEPS
            self._wait_step()
        n_body_bytes = 0 if self._body is None else self._body.total_bytes
        if has_new_head or n_body_bytes > self._n_body_bytes:
            self._n_body_bytes = n_body_bytes
            self._n_unused_bytes = 0
        else:
            self._n_unused_bytes += len(data)
        self._n_request_bytes += len(data)
        self._check()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the timer; see the base class."""
        self._cancel_timer()
        super().connection_lost(exc)

    def _has_new_head(self) -> bool:
        """:returns: whether a valid head is complete; aiohttp queues errors too"""
        if self._request_count == self._n_heads:
            return False
        self._n_heads = self._request_count
        return bool(self._messages) and isinstance(
            self._messages[-1][0], RawRequestMessage
        )

    def _begins_head(self, data: bytes) -> bool:
        """:returns: whether a head begins; some clients add an empty line to a body"""
        is_line_end = data == b"\r\n" and not self._n_unused_bytes
        return bool(data) and not is_line_end

    def _note_head(self) -> None:
        """Count for the head that has just ended, and the body that follows it."""
        self._cancel_timer()
        self._body = self._messages[-1][1]
        self._n_body_bytes = self._n_unused_bytes = self._n_request_bytes = 0

    def _check(self) -> None:
        if self._n_unused_bytes > MAX_UNUSED_BYTES:
            self._close_over(Bound.UNUSED_BYTES, MAX_UNUSED_BYTES, self._n_unused_bytes)
            return
        max_body_bytes = self._read_limits().max_body_bytes
        max_bytes = MAX_SIZE_RATIO * max_body_bytes + MAX_UNUSED_BYTES
        if self._n_request_bytes > max_bytes:
            self._close_over(Bound.REQUEST_BYTES, max_bytes, self._n_request_bytes)

    def _wait_step(self) -> None:
        step_s = self._read_limits().head_timeout_ms / N_STEPS / MS_PER_SECOND
        self._timer = asyncio.get_running_loop().call_later(step_s, self._end_step)

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
        timeout_ms = self._read_limits().head_timeout_ms
        self._close_over(Bound.HEAD_TIME, timeout_ms, self._n_unused_bytes)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _close_over(self, kind: Bound, bound: float, seen: int) -> None:
        self._cancel_timer()
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        log_event(
            "request_over_bound",
            level="WARNING",
            kind=kind.value,
            bound=bound,
            seen=seen,
            n_requests=self._n_heads,
        )
        transport.abort()
        self._note_over_bound(kind)


class _BoundedServer(web.Server):
    """Builds the connections; see the base class."""

    def __call__(self) -> RequestHandler:
        return BoundedConnection(self, loop=self._loop, **self._kwargs)


class BoundedRunner(web.AppRunner):
    """Runs an application on a server with limits.

    :param read_limits: returns the limits in force
    :param note_over_bound: called with what a connection is closed for
    """

    def __init__(
        self,
        application: web.Application,
        read_limits: Callable[[], RequestLimits],
        note_over_bound: Callable[[Bound], None],
        **kwargs: Any,
    ) -> None:
        super().__init__(application, **kwargs)
        self._read_limits = read_limits
        self._note_over_bound = note_over_bound

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()
        return _BoundedServer(
            server.request_handler,
            request_factory=server.request_factory,
            handler_cancellation=server.handler_cancellation,
            read_limits=self._read_limits,
            note_over_bound=self._note_over_bound,
            **server._kwargs,
        )


__all__ = (
    "MAX_BODY_BYTES",
    "Bound",
    "BoundedConnection",
    "BoundedRunner",
    "RequestLimits",
)
