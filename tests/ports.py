"""Free loopback ports for programs whose port must be known before they start."""

from __future__ import annotations

import errno
import fcntl
import os
import random
import socket
import tempfile
from contextlib import contextmanager
from functools import cache
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

LOOPBACK = "127.0.0.1"
ALL_ADDRESSES = ""
FIRST_PORT = 10_000
LAST_PORT = 32_000
"""Below the ephemeral port range, so that no outgoing connection takes a chosen port
before the program listens on it."""

MAX_WORKERS = 16
"""Test processes of one run; each has a part of the range for itself."""

_CHOSEN: set[int] = set()
_RANDOM = random.SystemRandom()


def choose_port() -> int:
    """:returns: a port that is free on each address, and that no other process chooses

    Programs listen on several loopback addresses, some of them much later than the port
    is chosen, and other test runs may choose ports at the same time.
    """
    n_ports = (LAST_PORT - FIRST_PORT) // MAX_WORKERS
    first = FIRST_PORT + _worker_number() % MAX_WORKERS * n_ports
    for port in _RANDOM.sample(range(first, first + n_ports), n_ports):
        if port not in _CHOSEN and _is_free(port) and _reserve(port):
            _CHOSEN.add(port)
            return port
    msg = f"no port from {first} to {first + n_ports - 1} is free"
    raise RuntimeError(msg)


@contextmanager
def release_ports() -> Iterator[None]:
    """Let any process choose the ports again that were chosen in the body."""
    kept = _CHOSEN.copy()
    try:
        yield
    finally:
        for port in _CHOSEN - kept:
            fcntl.lockf(_open_reservations(), fcntl.LOCK_UN, 1, port)
        _CHOSEN.intersection_update(kept)


def _is_free(port: int) -> bool:
    """:returns: whether no socket is bound to the port, whatever its address"""
    with socket.socket() as listener:
        try:
            listener.bind((ALL_ADDRESSES, port))
        except OSError:
            return False
    return True


def _reserve(port: int) -> bool:
    """Reserve a port until it is released or this process ends.

    :returns: whether no other process has reserved it
    """
    try:
        fcntl.lockf(_open_reservations(), fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except OSError as error:
        if error.errno not in (errno.EACCES, errno.EAGAIN):
            raise
        return False
    return True


@cache
def _open_reservations() -> int:
    """:returns: a file of which each process locks the bytes at its ports

    It stays open: the locks end with the process or once the file is closed.
    """
    path = Path(tempfile.gettempdir()) / f"quetzaldeck-ports-{os.getuid()}"
    return os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)


def _worker_number() -> int:
    """:returns: number of this test process; 0 if it runs alone"""
    return int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))


__all__ = ("LOOPBACK", "choose_port", "release_ports")
