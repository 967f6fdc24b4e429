"""The adapter of plain services sends a call once, whatever the client library does."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest
import uvloop

from quetzaldeck.bundle import UpstreamSpec
from quetzaldeck.upstreams import ServiceCall, UpstreamError, UpstreamTimeouts
from quetzaldeck.upstreams.http_service import HttpService

TIMEOUT_MS = 5_000


class BreakingService:
    """Takes a call, runs it, and closes the connection without an answer."""

    def __init__(self) -> None:
        self.methods: list[str] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        self.methods.append(head.split()[0].decode())
        writer.close()


async def call_breaking_service(method: str, body: bytes) -> list[str]:
    service = BreakingService()
    server = await asyncio.start_server(service.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    spec = UpstreamSpec("desk", f"http://127.0.0.1:{port}", kind="service")
    async with server, aiohttp.ClientSession() as session:
        adapter = HttpService(spec, session, UpstreamTimeouts())
        with pytest.raises(UpstreamError) as caught:
            await adapter.call(ServiceCall(method, "/bookings/7", (), body), TIMEOUT_MS)
        assert caught.value.may_have_run
    return service.methods


@pytest.mark.parametrize("body", [b"", b"member 7"])
@pytest.mark.parametrize("method", ["DELETE", "PUT", "POST", "GET"])
def test_call_is_sent_once(method: str, body: bytes) -> None:
    """A cancellation that charges a fee runs, and its connection breaks.

    The client library sends DELETE and PUT again by itself, below everything that
    knows which calls may be repeated: the member is charged twice.
    """
    assert uvloop.run(call_breaking_service(method, body)) == [method]
