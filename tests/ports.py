"""Free loopback ports for programs whose port must be known before they start."""

from __future__ import annotations

import os
import random
import socket

LOOPBACK = "127.0.0.1"
FIRST_PORT = 10_000
LAST_PORT = 32_000
"""Below the ephemeral port range, so that no outgoing connection takes a chosen port
before the program listens on it."""

MAX_WORKERS = 16
"""Test processes that run side by side; each has a part of the range for itself."""

_CHOSEN: set[int] = set()
_RANDOM = random.SystemRandom()


def choose_port() -> int:
    """:returns: a free port that no process of this test run has chosen before"""
    n_ports = (LAST_PORT - FIRST_PORT) // MAX_WORKERS
    first = FIRST_PORT + _worker_number() % MAX_WORKERS * n_ports
    while True:
        port = _RANDOM.randrange(first, first + n_ports)
        if port in _CHOSEN:
            continue
        with socket.socket() as listener:
            try:
                listener.bind((LOOPBACK, port))
            except OSError:
                continue
        _CHOSEN.add(port)
        return port


def _worker_number() -> int:
    """:returns: number of this test process; 0 if it runs alone"""
    return int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))


__all__ = ("LOOPBACK", "choose_port")
