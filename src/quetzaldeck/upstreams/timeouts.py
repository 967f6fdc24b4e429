"""Limits of requests to upstreams."""

from __future__ import annotations

from typing import NamedTuple

MAX_ANSWER_BYTES = 8 << 20
"""An answer is held until it is complete: a few endless ones have to fit into the
memory of a VM."""


class UpstreamTimeouts(NamedTuple):
    """Limits of requests to an upstream.

    :param connect_ms: for opening a connection
    :param idle_ms: for the next byte, heartbeats included
    :param max_answer_bytes: of an answer that is not a stream
    """

    connect_ms: float = 1_000.0
    idle_ms: float = 5_000.0
    max_answer_bytes: int = MAX_ANSWER_BYTES


__all__ = ("MAX_ANSWER_BYTES", "UpstreamTimeouts")
