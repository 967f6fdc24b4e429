"""Waits until a response has left this process."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzaldeck.clock.clock import MS_PER_SECOND

if TYPE_CHECKING:
    from aiohttp import web


async def write_whole(
    request: web.Request, response: web.StreamResponse, max_ms: float
) -> None:
    """Write a response, or the rest of it, and wait until the kernel has all of it.

    aiohttp returns while some kilobytes wait for a slow reader. They would be lost if
    the process ended then.

    :param max_ms: time for the reader, after which its connection is closed
    :raises ConnectionError: if the connection is lost, or is closed then
    """
    try:
        async with asyncio.timeout(max_ms / MS_PER_SECOND):
            await response.prepare(request)
            await response.write_eof()
            await _wait_until_read(request)
    except TimeoutError:
        if request.transport is not None:
            request.transport.abort()
        msg = f"the response was not read within {max_ms:.0f} ms"
        raise ConnectionResetError(msg) from None


async def _wait_until_read(request: web.Request) -> None:
    transport = request.transport
    if transport is None:
        return
    transport.set_write_buffer_limits(high=0)
    try:
        await request.protocol._drain_helper()
    finally:
        transport.set_write_buffer_limits()


__all__ = ("write_whole",)
