"""HTTP connections to upstreams, with stricter checks than those of aiohttp."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp.client_reqrep import ClientRequest, ClientResponse

from quetzaldeck.http.answer_bounds import BoundedResponseHandler
from quetzaldeck.http.head_grammar import MIN_FINAL_STATUS
from quetzaldeck.telemetry import log_event

if TYPE_CHECKING:
    import asyncio

    from aiohttp.connector import Connection
    from aiohttp.http import RawResponseMessage

    from quetzaldeck.clock import Clock

DEFAULT_KEEP_ALIVE_MS = 900.0
"""Keep-alive time assumed for an upstream that states none: an upstream that keeps idle
connections for a second or longer is required to state it."""

KEEP_ALIVE_SHARE = 0.6
"""Share of the keep-alive time for which a connection is reused. If a request is
sent just as the upstream closes the connection, it cannot be determined whether the
request ran."""

_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d{1,9})")
"""Python refuses to read numbers of thousands of digits."""


MAX_REQUESTS = 256
"""Requests after which a connection is closed, as it remembers each of them."""


class UpstreamProtocol(BoundedResponseHandler):
    """One connection to an upstream, guarded against four faults.

    - A body without a length ends with its connection. If the connection is reset,
      aiohttp takes the bytes received so far for the whole body; here the body fails.
    - An upstream may send a response that no request asked for. If it arrives while the
      connection is idle, the connection is not reused. If it arrives in place of the
      expected response, the id that it echoes shows this, or that it echoes none, and
      the next response is awaited.
    - All sendings of a request have one id, so a late response to the first one would
      count as the response to the second. No request is sent twice on a connection.
    - Requests without an id can't be told apart. No order follows another one, or a
      report, on a connection; after a request with an id it may, as a late response
      shows there.
    - A connection is reused only within the keep-alive time that the upstream states,
      as it may be closed at any moment after that.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, *, clock: Clock, echo_header: str
    ) -> None:
        super().__init__(loop)
        self._clock = clock
        self._echo_header = echo_header
        self._expected_id: str | None = None
        self._has_sent_without_id = False
        self._n_requests = 0
        self._sent_ids: set[int] = set()
        self._reusable_until_ms: float | None = None

    @property
    def echo_header(self) -> str:
        """:returns: header in which a response echoes the id of its request"""
        return self._echo_header

    @property
    def label(self) -> str:
        """:returns: local port, and how many requests were sent on the connection"""
        if self.transport is None:
            return ""
        address = self.transport.get_extra_info("sockname")
        return f"{address[1]}/{self._n_requests}" if address else ""

    @property
    def should_close(self) -> bool:
        """:returns: whether no further request may be sent; see the base class"""
        return super().should_close or self._n_requests >= MAX_REQUESTS

    def expect_response_to(self, request_id: str | None) -> None:
        """Set the id of the request about to be sent; ``None`` if it has none."""
        self._expected_id = request_id or None
        self._has_sent_without_id = not request_id
        self._n_requests += 1
        if request_id:
            # Callers choose the ids, and long ones would fill the memory.
            self._sent_ids.add(hash(request_id))

    def can_tell_apart(self, request_id: str | None, method: str) -> bool:
        """:returns: whether a response to an earlier request can't be taken for its own

        :param request_id: id of a request to be sent; ``None`` if it has none
        :param method: method of the request; what is only read may be of an earlier one
        """
        if request_id:
            return hash(request_id) not in self._sent_ids
        return method == "GET" or not self._has_sent_without_id

    def is_connected(self) -> bool:
        """:returns: whether the connection may be used for another request"""
        if self._buffer or self._tail:
            return False
        if (
            self._reusable_until_ms is not None
            and self._clock.now_ms() > self._reusable_until_ms
        ):
            return False
        return super().is_connected()

    async def read(self) -> Any:
        """:returns: the next response that does not belong to another request"""
        while True:
            item = await super().read()
            message = item[0]
            if self.is_expected(message):
                self._record_keep_alive(message.headers)
                return item
            log_event(
                "foreign_answer_dropped",
                level="WARNING",
                request=self._expected_id,
                answered=message.headers.get(self._echo_header),
            )

    def is_expected(self, message: RawResponseMessage) -> bool:
        """:returns: whether a head belongs to the request; interim ones have no id"""
        if message.code < MIN_FINAL_STATUS:
            return True
        return (message.headers.get(self._echo_header) or None) == self._expected_id

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a body that was incomplete when the connection was reset."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            reset = aiohttp.ClientPayloadError(f"connection reset by upstream: {exc!r}")
            payload.set_exception(reset)
        super().connection_lost(exc)

    def _record_keep_alive(self, headers: Any) -> None:
        match = _KEEP_ALIVE_TIMEOUT.search(headers.get("Keep-Alive", ""))
        idle_ms = (
            DEFAULT_KEEP_ALIVE_MS if match is None else int(match.group(1)) * 1_000
        )
        self._reusable_until_ms = self._clock.now_ms() + idle_ms * KEEP_ALIVE_SHARE


class UpstreamRequest(ClientRequest):
    """A request that sets the response that its connection has to expect."""

    async def send(self, conn: Connection) -> ClientResponse:
        """Send; see the base class."""
        protocol = conn.protocol
        if isinstance(protocol, UpstreamProtocol):
            protocol.expect_response_to(self.headers.get(protocol.echo_header))
        return await super().send(conn)


class UpstreamResponse(ClientResponse):
    """A response that tells on which connection it came.

    ``connection_label`` is empty until the response has started.
    """

    connection_label = ""

    async def start(self, connection: Connection) -> ClientResponse:
        """Read the head; see the base class."""
        protocol = connection.protocol
        if isinstance(protocol, UpstreamProtocol):
            # The connection is released as soon as a short response is complete.
            self.connection_label = protocol.label
        return await super().start(connection)


def read_connection(response: ClientResponse) -> str:
    """:returns: the connection that a response came on; ``""`` if it is not known"""
    return response.connection_label if isinstance(response, UpstreamResponse) else ""


__all__ = (
    "UpstreamProtocol",
    "UpstreamRequest",
    "UpstreamResponse",
    "read_connection",
)
