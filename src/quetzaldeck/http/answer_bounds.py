"""Bounds on the bytes that a peer may send in response to one request.

The bytes of a head are counted before they are parsed, as parsing costs more than
receiving. Bytes of a body are counted by whoever reads it; those beside it, such as
extensions of chunks and trailers, are counted here. Each head is checked as well, as
all of them come by here.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from quetzaldeck.http.head_grammar import (
    MIN_FINAL_STATUS,
    LineChecker,
    MalformedHeadError,
    check_head,
)
from quetzaldeck.telemetry import log_event

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable, Coroutine

    from aiohttp.http import RawResponseMessage

MAX_HEAD_BYTES = 65_536
"""Limit on all that precedes a body: interim responses, blank lines, the status line
and all headers. It is eight times what servers usually allow."""

MAX_OTHER_BYTES = 131_072
"""Bytes of responses to other requests before the one that is awaited. Nobody reads
their bodies, so reading stops at about as many."""

MAX_FRAMING_FACTOR = 1
"""Bytes beside a body for each of its bytes, in addition to those of a head. Chunks of
five bytes or more stay below it; parsing shorter ones costs more than it brings."""

MAX_FRAMING_BYTES_PER_S = 131_072
"""Bytes beside a body that are allowed as time passes, so that a stream in small chunks
goes on for as long as it likes: parsing them takes a fortieth of a core."""


class OverBoundError(aiohttp.ClientError):
    """A peer sent more bytes than one response may have.

    :param part: what the bytes belong to, e.g. ``head``
    :param max_bytes: the bound
    :param n_seen: bytes that have arrived
    """

    def __init__(self, part: str, max_bytes: int, n_seen: int) -> None:
        super().__init__(f"{part}: {n_seen} bytes seen, {max_bytes} allowed")
        self.part = part
        self.max_bytes = max_bytes
        self.n_seen = n_seen


def log_over_bound(peer: str, error: OverBoundError) -> None:
    """Log that the connection to a peer is closed since it sends too much."""
    log_event(
        "answer_over_bound",
        level="WARNING",
        upstream=peer,
        part=error.part,
        bound=error.max_bytes,
        seen=error.n_seen,
    )


class ByteBound:
    """Counts the bytes of one part of a response.

    :param part: what is counted, e.g. ``body``
    """

    def __init__(self, part: str, max_bytes: int) -> None:
        self._part = part
        self._max_bytes = max_bytes
        self._n_seen = 0

    def add(self, n_bytes: int) -> None:
        """Count bytes that have arrived.

        :raises OverBoundError: if they are too many
        """
        self._n_seen += n_bytes
        if self._n_seen > self._max_bytes:
            raise OverBoundError(self._part, self._max_bytes, self._n_seen)

    def allow(self, n_bytes: int) -> None:
        """Raise the bound."""
        self._max_bytes += n_bytes

    def reset(self) -> None:
        """Start from zero, as there was progress."""
        self._n_seen = 0


async def read_body(
    response: aiohttp.ClientResponse,
    max_bytes: int,
    *,
    read: Callable[[], Coroutine[Any, Any, bytes]] | None = None,
    reserve: Callable[[int], Coroutine[Any, Any, None]] | None = None,
) -> bytes:
    """Read a whole body, and close the connection if it is too long.

    :param read: reads the next bytes, ``b""`` at the end
    :param reserve: waits for memory for some more bytes
    :raises OverBoundError: if it is longer than ``max_bytes``
    """
    bound = ByteBound("body", max_bytes)
    if response.content_length is not None and response.content_length > max_bytes:
        response.close()
        raise OverBoundError("body", max_bytes, response.content_length)
    n_reserved = 0
    if reserve is not None and response.content_length:
        n_reserved = response.content_length
        await reserve(n_reserved)
    parts = []
    n_bytes = 0
    while data := await (read or response.content.readany)():
        try:
            bound.add(len(data))
        except OverBoundError:
            response.close()
            raise
        parts.append(data)
        n_bytes += len(data)
        if reserve is not None and n_bytes > n_reserved:
            await reserve(n_bytes - n_reserved)
            n_reserved = n_bytes
    return b"".join(parts)


class BoundedResponseHandler(ResponseHandler):
    """A connection that is closed once the head of a response does not end in time.

    The same holds for a head that is malformed, for what is sent beside a body, and for
    bytes that arrive after a complete response, while nothing is requested.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._max_head_bytes = MAX_HEAD_BYTES
        self._n_head_bytes = 0
        self._n_body_bytes = 0
        self._has_final_head = False
        self._head_s = 0.0
        self._is_over = False
        self._answer: aiohttp.StreamReader | None = None
        self._lines = LineChecker()

    def set_response_params(self, **parameters: Any) -> None:
        """Begin to count a response; see the base class."""
        self._max_head_bytes = MAX_HEAD_BYTES
        self._n_head_bytes = self._n_body_bytes = 0
        self._has_final_head = False
        self._answer = None
        self._lines = LineChecker()
        super().set_response_params(**parameters)

    def data_received(self, data: bytes) -> None:
        """Count bytes, and parse them; see the base class."""
        if self._is_over:
            return
        if not data or self._parser is None:
            super().data_received(data)
            return
        if not self._has_final_head:
            data = self._parse_head(data)
            if not data or self._is_over:
                return
        elif self._answer is None or self._answer.is_eof():
            # Nothing is requested, so the connection cannot be used any more.
            self._drop()
            return
        self._check_framing()
        if self._is_over:
            return
        self._n_body_bytes += len(data)
        super().data_received(data)
        self._check_framing()

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Queue a parsed head if it is one; see the base class."""
        if self._is_over:
            return
        message, payload = data
        try:
            check_head(message)
        except MalformedHeadError as error:
            self._fail(error)
            return
        if not self.is_expected(message):
            self._max_head_bytes = MAX_HEAD_BYTES + MAX_OTHER_BYTES
        elif message.code >= MIN_FINAL_STATUS:
            self._has_final_head = True
            self._head_s = self._loop.time()
            self._answer = payload
        super().feed_data(data, size)

    def set_exception(
        self, exc: BaseException, exc_cause: BaseException | None = None
    ) -> None:
        """Set why nothing more can be read; see the base class."""
        if self._is_over and self._exception is not None:
            # The connection is lost because of that.
            return
        if exc_cause is None:
            super().set_exception(exc)
        else:
            super().set_exception(exc, exc_cause)

    def is_expected(self, message: RawResponseMessage) -> bool:
        """:returns: whether a head is the one that is awaited, or one before it"""
        return True

    def _parse_head(self, data: bytes) -> bytes:
        """Check lines, and parse as much as the heads may have.

        :returns: what is left of ``data`` once the awaited head is complete
        """
        while data and not self._has_final_head and not self._is_over:
            n_left = self._max_head_bytes - self._n_head_bytes
            if not n_left:
                n_seen = self._n_head_bytes + len(data)
                self._fail(OverBoundError("head", self._max_head_bytes, n_seen))
                break
            head, data = data[:n_left], data[n_left:]
            self._n_head_bytes += len(head)
            try:
                self._lines.feed(head)
            except MalformedHeadError as error:
                self._fail(error)
                break
            super().data_received(head)
        return data

    def _check_framing(self) -> None:
        """Check how much was sent beside the body.

        While reading is paused, some bytes of the body are not parsed yet; they are
        once the next ones arrive.
        """
        answer = self._answer
        if answer is None or self._reading_paused or answer.is_eof():
            return
        n_seen = self._n_body_bytes - answer.total_raw_bytes
        elapsed_s = self._loop.time() - self._head_s
        max_bytes = MAX_HEAD_BYTES + MAX_FRAMING_FACTOR * answer.total_raw_bytes
        max_bytes += round(MAX_FRAMING_BYTES_PER_S * elapsed_s)
        if n_seen > max_bytes:
            self._fail(OverBoundError("framing", max_bytes, n_seen))

    def _fail(self, error: OverBoundError | MalformedHeadError) -> None:
        payload, self._payload = self._payload, None
        self._is_over = True
        super().set_exception(error)
        if payload is not None and not payload.is_eof():
            payload.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    def _drop(self) -> None:
        self._is_over = True
        self._should_close = True
        if self.transport is not None:
            self.transport.abort()


class BoundedConnector(aiohttp.TCPConnector):
    """Opens connections of :class:`BoundedResponseHandler`."""

    def __init__(self, **parameters: Any) -> None:
        super().__init__(**parameters)
        # aiohttp annotates this attribute with its own class; a subclass works as well.
        self._factory = functools.partial(  # type: ignore[assignment]
            BoundedResponseHandler, loop=self._loop
        )


def open_client(*, limit: int = 100, **parameters: Any) -> aiohttp.ClientSession:
    """Open a client that checks heads, and bounds what is no body.

    :param limit: connections at a time; 0: any number
    """
    return aiohttp.ClientSession(connector=BoundedConnector(limit=limit), **parameters)


__all__ = (
    "MAX_HEAD_BYTES",
    "BoundedConnector",
    "BoundedResponseHandler",
    "ByteBound",
    "OverBoundError",
    "log_over_bound",
    "open_client",
    "read_body",
)
