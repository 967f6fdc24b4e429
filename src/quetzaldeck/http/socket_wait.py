"""What the kernel says of bytes that wait on a connection, in either direction."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

_INFO_BYTES = 104
_LAST_DATA_RECEIVED_OFFSET = 52
"""Of ``tcpi_last_data_recv`` in ``struct tcp_info``, see ``linux/tcp.h``: milliseconds
since the kernel last received data."""

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


def count_unsent(transport: asyncio.BaseTransport | None) -> int:
    """:returns: bytes that were written and that the other end has not taken yet"""
    sock = None if transport is None else transport.get_extra_info("socket")
    if sock is None:
        return 0
    try:
        data = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_INT.size))
    except OSError:
        return 0
    return int(_INT.unpack(data)[0])


__all__ = ("count_unsent", "read_wait_ms")
