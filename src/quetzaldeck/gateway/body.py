"""Reads the bodies of requests within limits on size and time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.gateway.errors import RequestError
from quetzaldeck.gateway.memory_pool import NoMemoryError
from quetzaldeck.http.bounded_connection import BoundedConnection
from quetzaldeck.outcomes import Failure, Reason
from quetzaldeck.running_timeout import RunningTimeout

if TYPE_CHECKING:
    from aiohttp import web

    from quetzaldeck.gateway.memory_pool import HeldMemory
    from quetzaldeck.gateway.settings import CallerBounds


async def read_body(
    request: web.Request, bounds: CallerBounds, held: HeldMemory
) -> bytes:
    """Read a body.

    A caller that stops sending midway would occupy memory forever without any error.
    So the time without data and the total time are limited, and the length is checked
    before the bytes are stored.

    :param held: memory of the body; open until it is not needed any more
    :raises RequestError: if the body is too long or does not arrive in time, or if
        there is no memory for it
    """
    try:
        return await _read(request, bounds, held)
    except NoMemoryError as error:
        raise RequestError(Failure(Reason.QUEUE_FULL, detail=str(error))) from None


async def _read(request: web.Request, bounds: CallerBounds, held: HeldMemory) -> bytes:
    """:raises NoMemoryError: if there is no memory for the body"""
    n_declared = request.content_length
    if n_declared is not None and n_declared > bounds.max_body_bytes:
        raise RequestError(_build_size_failure(bounds))
    if n_declared:
        await held.reserve(n_declared)
        _expect_body(request, n_declared)
    # One block of the known length: parts in between fragment the memory.
    body = bytearray(n_declared or 0)
    n_bytes = 0
    try:
        async with RunningTimeout(bounds.body_total_ms):
            while True:
                async with RunningTimeout(bounds.body_idle_ms):
                    part = await request.content.readany()
                if not part:
                    return bytes(body)
                n_before, n_bytes = n_bytes, n_bytes + len(part)
                if n_bytes > bounds.max_body_bytes:
                    raise RequestError(_build_size_failure(bounds))
                held.grow_to(n_bytes)
                if n_declared is None:
                    _expect_body(request, n_bytes)
                body[n_before:n_bytes] = part
    except TimeoutError:
        detail = f"received only {n_bytes} bytes of the body in time"
        raise RequestError(Failure(Reason.SLOW_SENDER, detail=detail)) from None


def _expect_body(request: web.Request, n_bytes: int) -> None:
    """Let more of a body arrive, as there is memory for it."""
    connection = request.protocol
    if isinstance(connection, BoundedConnection):
        connection.expect_body(n_bytes)


def _build_size_failure(bounds: CallerBounds) -> Failure:
    detail = f"the body is larger than {bounds.max_body_bytes} bytes"
    return Failure(Reason.BODY_TOO_LARGE, detail=detail)


__all__ = ("read_body",)
