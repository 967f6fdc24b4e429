"""Streams from a VM whose event loop is late."""

from __future__ import annotations

import asyncio
import socket
import time
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest
import uvloop
from aiohttp import web
from tests.support.held_server import check_silence_found, stall_s

from quetzaldeck.gateway.errors import RequestError
from quetzaldeck.gateway.settings import CallerBounds
from quetzaldeck.gateway.stream_writer import StreamWriter
from quetzaldeck.outcomes import Reason

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

TIMEOUT_MS = 300
BOUNDS = CallerBounds(write_idle_ms=TIMEOUT_MS)
EVENT = b"x" * (8 << 20)
"""More than the buffers of both sockets hold."""


@asynccontextmanager
async def blocked_stream() -> AsyncIterator[
    tuple[socket.socket, asyncio.Future[None], float]
]:
    """Send an event to a caller that does not read.

    :returns: the caller's socket, the end of the write, and the time at which it began
    """
    writing: asyncio.Future[None] = asyncio.get_running_loop().create_future()
    has_begun = asyncio.get_running_loop().create_future()

    async def handle(request: web.Request) -> web.StreamResponse:
        has_begun.set_result(time.monotonic())
        try:
            writer = StreamWriter(request, BOUNDS, {})
            async with writer:
                await writer.send(EVENT)
            writing.set_result(None)
        except RequestError as error:
            writing.set_exception(error)
        return web.Response()

    app = web.Application()
    app.router.add_get("/", handle)
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    try:
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        with socket.create_connection(runner.addresses[0][:2]) as caller:
            caller.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            began_s = await has_begun
            await asyncio.sleep(0.02)
            yield caller, writing, began_s
    finally:
        await runner.cleanup()


def read_all(caller: socket.socket) -> None:
    n_left = len(EVENT)
    while n_left > 0 and (data := caller.recv(1 << 20)):
        n_left -= len(data)


def test_caller_that_read_during_a_stall_is_not_given_up() -> None:
    """Guards against streams that a busy VM ends though their callers read."""

    async def test() -> None:
        async with blocked_stream() as (caller, writing, _):
            reading = asyncio.get_running_loop().run_in_executor(None, read_all, caller)
            time.sleep(stall_s(TIMEOUT_MS))  # noqa: ASYNC251 - blocks the event loop
            await writing
            await reading

    uvloop.run(test())


def test_caller_that_does_not_read_is_given_up_after_a_stall() -> None:
    """Guards against a stream that occupies memory forever."""

    async def test() -> None:
        async with blocked_stream() as (_, writing, began_s):
            time.sleep(stall_s(TIMEOUT_MS))  # noqa: ASYNC251 - blocks the event loop
            with pytest.raises(RequestError) as caught:
                await writing
            assert caught.value.failure.reason is Reason.CALLER_GONE
            check_silence_found(began_s, TIMEOUT_MS)

    uvloop.run(test())
