"""Bodies of requests to a VM whose event loop is late."""

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
from tests.support.virtual_time import run_virtual

from quetzaldeck.gateway.body import read_body
from quetzaldeck.gateway.errors import RequestError
from quetzaldeck.gateway.memory_pool import (
    MAX_WAIT_MS,
    MemoryPool,
    NoMemoryError,
)
from quetzaldeck.gateway.settings import CallerBounds
from quetzaldeck.outcomes import Reason

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 8\r\n\r\n"
TIMEOUT_MS = 300
BOUNDS = [
    CallerBounds(body_idle_ms=TIMEOUT_MS),
    CallerBounds(body_idle_ms=60_000, body_total_ms=TIMEOUT_MS),
]


@asynccontextmanager
async def half_sent(
    bounds: CallerBounds,
) -> AsyncIterator[tuple[socket.socket, asyncio.Future[bytes], float]]:
    """Send half of a body to a server that reads it.

    :returns: the caller's socket, what the server makes of the body, and the time at
        which it began to read
    """
    reading = asyncio.get_running_loop().create_future()
    has_begun = asyncio.get_running_loop().create_future()

    async def handle(request: web.Request) -> web.StreamResponse:
        has_begun.set_result(time.monotonic())
        try:
            with MemoryPool(1_000).open() as held:
                reading.set_result(await read_body(request, bounds, held))
        except RequestError as error:
            reading.set_exception(error)
        return web.Response()

    app = web.Application()
    app.router.add_post("/", handle)
    runner = web.AppRunner(app)
    await runner.setup()
    try:
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        with socket.create_connection(runner.addresses[0][:2]) as caller:
            caller.sendall(HEAD + b"half")
            began_s = await has_begun
            await asyncio.sleep(0.02)
            yield caller, reading, began_s
    finally:
        await runner.cleanup()


@pytest.mark.parametrize("bounds", BOUNDS)
def test_body_that_arrived_during_a_stall_is_read(bounds: CallerBounds) -> None:
    """Guards against refusals of callers that send in time to a busy VM."""

    async def test() -> None:
        async with half_sent(bounds) as (caller, reading, _):
            caller.sendall(b"rest")
            time.sleep(stall_s(TIMEOUT_MS))  # noqa: ASYNC251 - blocks the event loop
            assert await reading == b"halfrest"

    uvloop.run(test())


@pytest.mark.parametrize("bounds", BOUNDS)
def test_caller_that_stops_sending_is_refused_after_a_stall(
    bounds: CallerBounds,
) -> None:
    """Guards against a body that occupies memory forever."""

    async def test() -> None:
        async with half_sent(bounds) as (_, reading, began_s):
            time.sleep(stall_s(TIMEOUT_MS))  # noqa: ASYNC251 - blocks the event loop
            with pytest.raises(RequestError) as caught:
                await reading
            assert caught.value.failure.reason is Reason.SLOW_SENDER
            check_silence_found(began_s, TIMEOUT_MS)

    uvloop.run(test())


@pytest.mark.parametrize("hold_s", [0.1, 2.0])
def test_bodies_wait_for_memory_and_are_refused_in_time(hold_s: float) -> None:
    """Guards against bodies that exceed the memory together, and a long wait."""
    memory = MemoryPool(100)

    async def hold(n_bytes: int) -> int:
        with memory.open() as held:
            await held.reserve(n_bytes)
            n_held = memory.n_held
            await asyncio.sleep(hold_s)
        return n_held

    async def test() -> None:
        results = await asyncio.gather(
            *(hold(60) for _ in range(3)), return_exceptions=True
        )
        n_refused = sum(isinstance(result, NoMemoryError) for result in results)
        assert n_refused == (0 if hold_s < MAX_WAIT_MS / 1_000 else 2)
        assert {r for r in results if not isinstance(r, Exception)} == {60}
        assert memory.n_held == 0

    run_virtual(test())


def test_body_that_grows_never_waits_for_others() -> None:
    """Guards against bodies that each wait for the memory of the others."""
    memory = MemoryPool(100)
    with memory.open() as first, memory.open() as second:
        first.grow_to(50)
        second.grow_to(50)
        with pytest.raises(NoMemoryError, match="100 of 100 are held"):
            first.grow_to(51)
    with memory.open() as alone:
        alone.grow_to(500)
    assert memory.n_held == 0
