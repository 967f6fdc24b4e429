"""Limits on what arrives on one connection, and what exceeds them."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from aiohttp import web
from multidict import CIMultiDictProxy

MAX_HEADER_BYTES = 16_384
"""Usual limit on a head; twice that of other servers."""

MAX_BODY_BYTES = 1 << 20
"""Usual limit on a body, as aiohttp's own."""

RECEIVE_BYTES = 16_384
"""Receive buffer of a connection, which bounds what lies unread in the kernel. It takes
twice as much, of which up to two thirds are data."""

HEAD_TIMEOUT_MS = 10_000.0
IDLE_TIMEOUT_MS = 75_000.0
"""Longer than load balancers usually keep idle connections."""


class Bound(StrEnum):
    """What a connection is closed for."""

    HEAD_BYTES = "head_bytes"
    EMPTY_LINES = "empty_lines"
    UNUSED_BYTES = "unused_bytes"
    REQUEST_BYTES = "request_bytes"
    HEAD_TIME = "head_time_ms"
    CONNECTIONS = "connections"
    MEMORY = "memory"
    UNREAD_TIME = "unread_answer_ms"


class RequestLimits(NamedTuple):
    """Limits on the requests of one connection.

    :param max_header_bytes: of the request line, and of all fields together
    :param head_timeout_ms: from the first byte of a head to its end
    :param idle_timeout_ms: without a request, from the opening or the last response
    """

    max_body_bytes: int = MAX_BODY_BYTES
    head_timeout_ms: float = HEAD_TIMEOUT_MS
    max_header_bytes: int = MAX_HEADER_BYTES
    idle_timeout_ms: float = IDLE_TIMEOUT_MS
    max_empty_lines: int = 32
    unread_answer_ms: float = 5_000.0


class ServerHooks(NamedTuple):
    """What a server asks and tells the service that it belongs to.

    :param read_limits: returns the limits in force
    :param note_over_bound: called for a connection that is closed, with the bound and
        what was seen
    :param refuse: returns the response to a request for which there is no memory, from
        its headers
    :param request_share: share of the memory for requests in progress
    """

    read_limits: Callable[[], RequestLimits]
    note_over_bound: Callable[[Bound, float, float], None]
    refuse: Callable[[CIMultiDictProxy[str]], web.StreamResponse]
    request_share: float


__all__ = ("MAX_BODY_BYTES", "RECEIVE_BYTES", "Bound", "RequestLimits", "ServerHooks")
