"""Free loopback ports for programs whose port must be known before they start."""

from __future__ import annotations

import random
import socket

LOOPBACK = "127.0.0.1"
FIRST_PORT = 10_000
LAST_PORT = 32_000
"""Below the ephemeral port range, so that no outgoing connection takes a chosen port
before the program listens on it."""

_CHOSEN: set[int] = set()
_RANDOM = random.SystemRandom()


def choose_port() -> int:
    """:returns: a free port that this process has not chosen before"""
    while True:
        port = _RANDOM.randint(FIRST_PORT, LAST_PORT)
        if port in _CHOSEN:
            continue
        with socket.socket() as listener:
            try:
                listener.bind((LOOPBACK, port))
            except OSError:
                continue
        _CHOSEN.add(port)
        return port


__all__ = ("LOOPBACK", "choose_port")
