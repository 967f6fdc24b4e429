"""Bytes without end that a stand-in sends in place of an answer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from aiohttp import web

PART_BYTES = 65_536
PART_INTERVAL_S = 0.005
_HEAD = b"HTTP/1.1 200 OK\r\n"
_STREAM = _HEAD + b"Content-Type: text/event-stream\r\n\r\n"

ENDLESS = {
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "fields": (_HEAD, b"X-Field: word\r\n"),
    "comments": (_STREAM, b":\n\n"),
    "event": (_STREAM + b"data: ", b"word "),
    "body": (_HEAD + b"\r\n", b"word "),
}
"""By kind, what is sent once, and what is sent after it again and again."""

ENDLESS_KINDS = ("", *ENDLESS)


async def pour(kind: str, request: web.Request) -> None:
    """Send bytes until the other end closes the connection."""
    begin, unit = ENDLESS[kind]
    part = unit * (PART_BYTES // len(unit))
    transport = request.transport
    if transport is not None:
        transport.write(begin)
    while transport is not None and not transport.is_closing():
        # What the other end does not read must not pile up here.
        if not transport.get_write_buffer_size():
            transport.write(part)
        await asyncio.sleep(PART_INTERVAL_S)


__all__ = ("ENDLESS", "ENDLESS_KINDS", "pour")
