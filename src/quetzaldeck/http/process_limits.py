"""What a process may take, shared out among what its clients make it hold.

Memory is divided by what each kind of bytes costs at most, and descriptors are left for
connections to upstreams and the store. So the bounds hold whatever clients send.
"""

from __future__ import annotations

import resource
from typing import Annotated, NamedTuple

from quetzaldeck.config.option import Option

BYTES_PER_MB = 1_000_000

CALM_SHARE = 1 / 3
MIN_CALM_BYTES = 70_000_000
MAX_CALM_SHARE = 0.6
"""Memory of a process that serves ordinary requests only: its libraries take 50 MB."""

CONNECTION_BYTES = 30_720
"""Memory of a connection without a request: 6 kB in the process, and what may lie
unread in the kernel."""

CONNECTIONS_SHARE = 0.25
HEADS_SHARE = 0.1
REQUESTS_SHARE = 0.17
BODIES_SHARE = 0.12
ANSWERS_SHARE = 0.1
"""Shares of the memory that clients may take. Bodies and answers need twice as much as
they have bytes, while they are read and forwarded."""

MAX_FILES = 200
FILES_SHARE = 0.25
"""Descriptors that are not sockets: files and pipes."""

CONNECTIONS_PER_SOCKET = 0.5
"""Accepted connections, so that each can have one to an upstream."""


class ProcessSettings(NamedTuple):
    """What a process may take of its machine."""

    memory_mb: Annotated[
        float, Option("Memory of the process.", unit="MB", minimum=1)
    ] = 300.0
    max_descriptors: Annotated[
        int,
        Option("Descriptors of the process; 0: as many as the kernel allows."),
    ] = 0


class ConnectionSettings(NamedTuple):
    """Limits on the connections that a program accepts, on all addresses together."""

    max_connections: Annotated[
        int,
        Option("Open connections; 0: from the descriptors and the memory."),
    ] = 0
    max_empty_lines: Annotated[
        int, Option("Empty lines before a request.", minimum=1)
    ] = 32
    unread_answer_ms: Annotated[
        float,
        Option(
            "Time for which an answer may stay unread, after its deadline if it has "
            "one.",
            unit="ms",
            minimum=100,
        ),
    ] = 5_000.0


class ProcessLimits(NamedTuple):
    """Most that all connections of a process may take together.

    :param max_head_bytes: memory of heads that are not complete, and of what has
        arrived ahead of its turn
    :param max_request_bytes: memory of requests in progress, without their bodies
    :param max_body_bytes: bodies of requests in progress
    :param max_answer_bytes: answers that wait for their readers
    """

    max_connections: int
    max_head_bytes: int
    max_request_bytes: int
    max_body_bytes: int
    max_answer_bytes: int


def share_out(
    memory_mb: float, max_descriptors: int, *, max_connections: int = 0
) -> ProcessLimits:
    """Divide what a process may take.

    :param max_descriptors: of the process; 0: as many as the kernel allows
    :param max_connections: 0: as many as memory and descriptors allow
    """
    n_bytes = memory_mb * BYTES_PER_MB
    calm = max(n_bytes * CALM_SHARE, min(MIN_CALM_BYTES, n_bytes * MAX_CALM_SHARE))
    spare = n_bytes - calm
    n_allowed = min(
        _count_connections(max_descriptors),
        round(spare * CONNECTIONS_SHARE / CONNECTION_BYTES),
    )
    return ProcessLimits(
        max_connections=max(1, min(max_connections or n_allowed, n_allowed)),
        max_head_bytes=round(spare * HEADS_SHARE),
        max_request_bytes=round(spare * REQUESTS_SHARE),
        max_body_bytes=round(spare * BODIES_SHARE),
        max_answer_bytes=round(spare * ANSWERS_SHARE),
    )


def _count_connections(max_descriptors: int) -> int:
    """:returns: connections to accept, so that sockets are left for upstreams"""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    n_descriptors = allowed
    if max_descriptors:
        n_descriptors = min(max_descriptors, allowed)
    n_sockets = n_descriptors - min(MAX_FILES, round(n_descriptors * FILES_SHARE))
    return round(n_sockets * CONNECTIONS_PER_SOCKET)


__all__ = (
    "BYTES_PER_MB",
    "ConnectionSettings",
    "ProcessLimits",
    "ProcessSettings",
    "share_out",
)
