"""Waits until a response has left this process."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from aiohttp import web


async def write_whole(request: web.Request, response: web.StreamResponse) -> None:
    """Write a response, or the rest of it, and wait until the kernel has all of it.

    aiohttp returns while some kilobytes wait for a slow reader. They would be lost if
    the process ended then.

    :raises ConnectionError: if the connection is lost
    """
    await response.prepare(request)
    await response.write_eof()
    transport = request.transport
    if transport is None:
        return
    transport.set_write_buffer_limits(high=0)
    try:
        await request.protocol._drain_helper()
    finally:
        transport.set_write_buffer_limits()


__all__ = ("write_whole",)
