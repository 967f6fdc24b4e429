"""Calls of plain services that are slow, and the pools of connections they use."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from tests.support.virtual_time import run_virtual

from quetzaldeck.bundle import UpstreamSpec
from quetzaldeck.upstreams import ServiceCall, UpstreamTimeouts
from quetzaldeck.upstreams.connections import Connections
from quetzaldeck.upstreams.watch import NoWatch

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

NAME = "desk"
IDLE_MS = 200.0
SLOW_S = 0.3
"""Longer than the idle timeout."""

PART_S = 0.1
TIMEOUT_MS = 5_000.0
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"


class Service:
    """A service that answers each call in four parts, and counts its connections.

    Connections that were accepted before ``lose_connections`` pass nothing any more.
    """

    def __init__(self) -> None:
        self.n_connections = 0
        self._n_lost = 0

    def lose_connections(self) -> None:
        """Answer on new connections only."""
        self._n_lost = self.n_connections

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.n_connections += 1
        number = self.n_connections
        while head := await _read_head(reader):
            if number <= self._n_lost:
                await reader.read()
                break
            path = head.split()[1]
            await asyncio.sleep(SLOW_S if path == b"/silent" else 0.0)
            writer.write(HEAD)
            for _ in range(4):
                await asyncio.sleep(PART_S if path == b"/parts" else 0.0)
                writer.write(b".")
        writer.close()


async def _read_head(reader: asyncio.StreamReader) -> bytes:
    try:
        return await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return b""


class Desk:
    """A service, the connections to it, and the pools of them that were replaced."""

    def __init__(self, service: Service, connections: Connections) -> None:
        self.service = service
        self._connections = connections

    async def call(self, path: str) -> int:
        """:returns: the status of the response"""
        async with self._connections.use_service(NAME) as upstream:
            call = ServiceCall("POST", path, (), b"")
            answer = await upstream.call(call, TIMEOUT_MS, NoWatch())
        return answer.status


def run_desk(test: Callable[[Desk], Awaitable[None]]) -> list[str]:
    """:returns: names of the upstreams whose pools were replaced during a test"""
    replaced: list[str] = []

    async def run() -> None:
        service = Service()
        server = await asyncio.start_server(service.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        timeouts = UpstreamTimeouts(idle_ms=IDLE_MS)
        connections = Connections(timeouts, replaced.append)
        address = f"http://127.0.0.1:{port}"
        spec = UpstreamSpec(NAME, address, protocol="http", kind="service")
        connections.apply_specs((spec,))
        async with server, connections:
            await test(Desk(service, connections))

    run_virtual(run())
    return replaced


@pytest.mark.parametrize("path", ["/silent", "/parts"])
def test_slow_call_keeps_the_pool_of_its_service(path: str) -> None:
    """Each slow call has the next one open a new connection."""

    async def test(desk: Desk) -> None:
        for _ in range(3):
            assert await desk.call(path) == 200
        assert desk.service.n_connections == 1

    assert run_desk(test) == []


def test_call_beside_one_whose_bytes_come_uses_its_pool() -> None:
    """A call that takes long counts as silent although bytes come."""

    async def test(desk: Desk) -> None:
        await asyncio.gather(desk.call("/fast"), desk.call("/fast"))
        slow = asyncio.create_task(desk.call("/parts"))
        await asyncio.sleep(1.5 * IDLE_MS / 1_000)
        assert await desk.call("/fast") == 200
        assert await slow == 200
        assert desk.service.n_connections == 2

    assert run_desk(test) == []


def test_call_beside_a_silent_one_gets_a_new_connection() -> None:
    """Each call takes an idle connection that is lost, and waits on it."""

    async def test(desk: Desk) -> None:
        await asyncio.gather(desk.call("/fast"), desk.call("/fast"))
        desk.service.lose_connections()
        silent = asyncio.create_task(desk.call("/fast"))
        await asyncio.sleep(1.2 * IDLE_MS / 1_000)
        async with asyncio.timeout(IDLE_MS / 1_000):
            assert await desk.call("/fast") == 200
        silent.cancel()
        await asyncio.wait((silent,))

    assert run_desk(test) == [NAME]


def test_call_after_one_that_ended_silent_gets_a_new_connection() -> None:
    """A lost connection is forgotten with its call, and the others are used."""

    async def test(desk: Desk) -> None:
        await asyncio.gather(desk.call("/fast"), desk.call("/fast"))
        desk.service.lose_connections()
        silent = asyncio.create_task(desk.call("/fast"))
        await asyncio.sleep(1.2 * IDLE_MS / 1_000)
        silent.cancel()
        await asyncio.wait((silent,))
        async with asyncio.timeout(IDLE_MS / 1_000):
            assert await desk.call("/fast") == 200

    assert run_desk(test) == [NAME]
