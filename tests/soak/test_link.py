"""Tests of links that can be cut or silenced."""

from __future__ import annotations

import asyncio

import pytest
import uvloop
from tests.soak.own import Link, LinkMode
from tests.soak.own.link import PathMode

TIMEOUT_S = 0.2


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


async def connect(link: Link) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    port = int(link.address.rpartition(":")[2])
    return await asyncio.open_connection("127.0.0.1", port)


async def exchange(
    streams: tuple[asyncio.StreamReader, asyncio.StreamWriter], data: bytes
) -> bytes:
    streams[1].write(data)
    async with asyncio.timeout(TIMEOUT_S):
        return await streams[0].read(100)


async def run_silenced_connections() -> None:
    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    async with server, Link(server.sockets[0].getsockname()[1]) as link:
        streams = await connect(link)
        assert await exchange(streams, b"one") == b"one"
        link.silence_open_connections()
        with pytest.raises(TimeoutError):
            await exchange(streams, b"two")
        assert await exchange(await connect(link), b"three") == b"three"
        link.set_mode(LinkMode.CUT)
        assert await exchange(await connect(link), b"four") == b""


async def run_blocked_source() -> None:
    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with server, Link(port, identify=lambda head: head.decode()) as link:
        link.block_sources(["entry-1"])
        assert await exchange(await connect(link), b"entry-2") == b"entry-2"
        blocked = await connect(link)
        with pytest.raises(TimeoutError):
            await exchange(blocked, b"entry-1")


async def run_lost_answers() -> None:
    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    async with server, Link(server.sockets[0].getsockname()[1]) as link:
        streams = await connect(link)
        assert await exchange(streams, b"one") == b"one"
        link.set_path("127.0.0.1", PathMode.ANSWERS_LOST)
        with pytest.raises(TimeoutError):
            await exchange(streams, b"two")
        link.set_path("127.0.0.1", PathMode.OPEN)
        with pytest.raises(TimeoutError):
            await exchange(streams, b"three")
        assert await exchange(await connect(link), b"four") == b"four"


def test_link_silences_open_connections_and_serves_new_ones() -> None:
    uvloop.run(run_silenced_connections())


def test_link_drops_the_bytes_of_blocked_sources() -> None:
    uvloop.run(run_blocked_source())


def test_connection_that_lost_bytes_delivers_none_that_follow_them() -> None:
    """Guards against streams with a hole in them, which TCP never delivers."""
    uvloop.run(run_lost_answers())
