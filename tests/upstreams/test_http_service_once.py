"""Tests that the adapter of plain services sends each call only once."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest
import uvloop

from quetzaldeck.bundle import UpstreamSpec
from quetzaldeck.upstreams import ServiceCall, UpstreamError, UpstreamTimeouts
from quetzaldeck.upstreams.http_service import HttpService
from quetzaldeck.upstreams.watch import NoWatch

TIMEOUT_MS = 5_000


class BreakingService:
    """Runs each call that it receives and closes the connection without a response."""

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
        call = ServiceCall(method, "/bookings/7", (), body)
        with pytest.raises(UpstreamError) as caught:
            await adapter.call(call, TIMEOUT_MS, NoWatch())
        assert caught.value.may_have_run
    return service.methods


@pytest.mark.parametrize("body", [b"", b"member 7"])
@pytest.mark.parametrize("method", ["DELETE", "PUT", "POST", "GET"])
def test_call_is_sent_once(method: str, body: bytes) -> None:
    """Guards against a call that runs twice after its connection was lost.

    aiohttp resends GET, PUT and DELETE on its own, without knowing which calls may be
    repeated: a cancellation that charges a fee would charge the member twice.
    """
    assert uvloop.run(call_breaking_service(method, body)) == [method]
