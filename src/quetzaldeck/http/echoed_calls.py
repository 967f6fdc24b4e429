"""Connections of a client that tell responses apart by an id that upstreams echo."""

from __future__ import annotations

import functools
import uuid
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp.client_reqrep import ClientRequest

from quetzaldeck.http.answer_bounds import BoundedResponseHandler
from quetzaldeck.http.head_grammar import MIN_FINAL_STATUS
from quetzaldeck.telemetry import log_event

if TYPE_CHECKING:
    import asyncio

    from aiohttp.client_reqrep import ClientResponse
    from aiohttp.connector import Connection
    from aiohttp.http import RawResponseMessage

CALL_ID_HEADER = "Quetzaldeck-Call-Id"
"""Each call has one of its own, and an upstream may echo it in its response."""


class EchoedResponseHandler(BoundedResponseHandler):
    """A connection that drops responses to other calls, once its upstream echoes ids.

    An upstream that has echoed one id on a connection echoes each of them, so that a
    response without an id belongs to no call. One that echoes none is believed.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._call_id = ""
        self._echoes = False

    def expect_response_to(self, call_id: str) -> None:
        """Set the id of the call about to be sent."""
        self._call_id = call_id

    async def read(self) -> Any:
        """:returns: the next response that does not belong to another call"""
        while True:
            item = await super().read()
            if self.is_expected(item[0]):
                return item
            echoed = item[0].headers.get(CALL_ID_HEADER)
            log_event("foreign_answer_dropped", level="WARNING", answered=echoed)

    def is_expected(self, message: RawResponseMessage) -> bool:
        """:returns: whether a head belongs to the call; interim ones have no id"""
        if message.code < MIN_FINAL_STATUS:
            return True
        echoed = message.headers.get(CALL_ID_HEADER)
        self._echoes = self._echoes or echoed is not None
        return not self._echoes or echoed == self._call_id


class EchoedConnector(aiohttp.TCPConnector):
    """Opens connections of :class:`EchoedResponseHandler`."""

    def __init__(self, **parameters: Any) -> None:
        super().__init__(**parameters)
        # aiohttp annotates this attribute with its own class; a subclass works as well.
        self._factory = functools.partial(  # type: ignore[assignment]
            EchoedResponseHandler, loop=self._loop
        )


class IdentifiedRequest(ClientRequest):
    """A request with an id of its own, which its connection then expects."""

    async def send(self, conn: Connection) -> ClientResponse:
        """Send; see the base class."""
        call_id = uuid.uuid4().hex
        self.headers[CALL_ID_HEADER] = call_id
        if isinstance(conn.protocol, EchoedResponseHandler):
            conn.protocol.expect_response_to(call_id)
        return await super().send(conn)


__all__ = ("CALL_ID_HEADER", "EchoedConnector", "IdentifiedRequest")
