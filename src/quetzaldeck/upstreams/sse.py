"""Encoding and decoding of server-sent events."""

from __future__ import annotations

DATA_PREFIX = b"data: "
DONE = b"[DONE]"
KEEP_ALIVE = b": keep-alive\n\n"
MAX_LINE_BYTES = 1 << 20
"""Maximum line length; a line holds a few tokens, so a longer one is not valid."""


def encode_event(data: bytes) -> bytes:
    """:returns: one event with ``data`` as its payload"""
    return DATA_PREFIX + data + b"\n\n"


def decode_line(line: bytes) -> bytes | None:
    """:returns: data of a ``data:`` line, ``None`` for all other lines"""
    line = line.rstrip(b"\r\n")
    if not line.startswith(b"data:"):
        return None
    return line[len(b"data:") :].strip()


__all__ = ("DONE", "KEEP_ALIVE", "MAX_LINE_BYTES", "decode_line", "encode_event")
