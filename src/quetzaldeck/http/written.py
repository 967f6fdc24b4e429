"""Waits until a response has left this process."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzaldeck.clock.clock import MS_PER_SECOND

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import web

STEP_MS = 250.0
"""Interval at which it is checked whether a response is read."""


async def write_whole(
    request: web.Request,
    response: web.StreamResponse,
    *,
    max_ms: float,
    read_max_idle_ms: Callable[[], float],
) -> None:
    """Write a response, or the rest of it, and wait until the kernel has all of it.

    aiohttp returns while some kilobytes wait for a slow reader. They would be lost if
    the process ended then.

    :param max_ms: time for the reader, after which its connection is closed
    :param read_max_idle_ms: returns for how long it may take nothing meanwhile
    :raises ConnectionError: if the connection is lost, or is closed then
    """
    try:
        async with asyncio.timeout(max_ms / MS_PER_SECOND):
            await response.prepare(request)
            await response.write_eof()
            await _wait_until_read(request, read_max_idle_ms)
    except TimeoutError:
        if request.transport is not None:
            request.transport.abort()
        raise ConnectionResetError("the response was not read in time") from None


async def _wait_until_read(
    request: web.Request, read_max_idle_ms: Callable[[], float]
) -> None:
    """:raises TimeoutError: if nothing of the response is read for too long"""
    transport = request.transport
    if transport is None or not transport.get_write_buffer_size():
        return
    transport.set_write_buffer_limits(high=0)
    reading = asyncio.create_task(request.protocol._drain_helper())
    try:
        n_left, idle_ms = transport.get_write_buffer_size(), 0.0
        while not reading.done():
            await asyncio.wait((reading,), timeout=STEP_MS / MS_PER_SECOND)
            n_before, n_left = n_left, transport.get_write_buffer_size()
            idle_ms = idle_ms + STEP_MS if n_left == n_before else 0.0
            if not reading.done() and idle_ms >= read_max_idle_ms():
                raise TimeoutError
        await reading
    finally:
        reading.cancel()
        transport.set_write_buffer_limits()


__all__ = ("write_whole",)
