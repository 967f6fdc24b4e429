"""What the kernel says of bytes that wait on a connection, in either direction."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import termios

from quetzaldeck.clock.clock import MS_PER_SECOND

_INFO_BYTES = 104
_LAST_DATA_RECEIVED_OFFSET = 52
"""Of ``tcpi_last_data_recv`` in ``struct tcp_info``, see ``linux/tcp.h``: milliseconds
since the kernel last received data."""

MAX_UNSENT_BYTES = 65_536
CHECK_MS = 50.0
"""Bytes that the other end need not have taken, and how often they are read."""

_INT = struct.Struct("i")

MAX_WAIT_MS = 60_000.0
"""Longer times are considered faults of the counter."""


def read_wait_ms(transport: asyncio.BaseTransport | None) -> float:
    """Read how long ago the last bytes on a connection arrived at this machine.

    Bytes wait in the kernel while the process starts, is paused, or is late.

    :returns: milliseconds; 0 if the connection is closed or its kernel does not say
    """
    sock = None if transport is None else transport.get_extra_info("socket")
    if sock is None:
        return 0.0
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _INFO_BYTES)
    except OSError:
        return 0.0
    if len(info) < _INFO_BYTES:
        return 0.0
    (wait_ms,) = struct.unpack_from("=I", info, _LAST_DATA_RECEIVED_OFFSET)
    return float(wait_ms) if wait_ms <= MAX_WAIT_MS else 0.0


async def wait_until_taken(
    transport: asyncio.BaseTransport | None, max_ms: float
) -> int:
    """Wait until the other end has taken most of what was written.

    :returns: 0; or the bytes that it has not taken in time
    """
    waited_ms = 0.0
    while (n_left := _count_unsent(transport)) > MAX_UNSENT_BYTES:
        if waited_ms >= max_ms:
            return n_left
        await asyncio.sleep(CHECK_MS / MS_PER_SECOND)
        waited_ms += CHECK_MS
    return 0


def _count_unsent(transport: asyncio.BaseTransport | None) -> int:
    """:returns: bytes that were written and that the other end has not taken yet"""
    sock = None if transport is None else transport.get_extra_info("socket")
    if sock is None:
        return 0
    try:
        data = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_INT.size))
    except OSError:
        return 0
    return int(_INT.unpack(data)[0])


__all__ = ("read_wait_ms", "wait_until_taken")
