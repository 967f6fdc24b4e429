"""Counts what arrives on one connection, and what it costs to hold."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.http.request_limits import Bound

if TYPE_CHECKING:
    from aiohttp.http import RawRequestMessage

    from quetzaldeck.http.request_limits import RequestLimits

MAX_SIZE_RATIO = 2
"""Most bytes of a request for each byte of its limit on bodies. The rest covers the
framing of chunks, and what is read of a body that was refused, as a caller that still
sends would lose the response."""

MAX_UNUSED_RATIO = 2
"""Most bytes that complete no head and bring no byte of a body, for each byte of the
limit on heads: the request line and all fields may each be as long as that."""

FRAMING_BYTES = 3
"""Of a field beside its name and value: the colon and the line end."""

BYTES_PER_BYTE = 2
BYTES_PER_FIELD = 400
"""Memory for each byte and each field of a head."""

LINE_END = b"\r\n"


class Excess(NamedTuple):
    """A bound that a connection exceeds, and what was seen."""

    bound: Bound
    limit: int
    seen: int


class RequestMeter:
    """Counts the bytes of one request after the other.

    What counts as progress is a complete head, or a byte of a body.
    """

    def __init__(self) -> None:
        self._n_body_bytes = 0
        self._n_unused_bytes = 0
        self._n_unused_lines = 0
        self._n_empty_bytes = 0
        self._n_request_bytes = 0
        self.head_cost = 0
        """Memory of the last complete head."""

    @property
    def n_unused_bytes(self) -> int:
        """:returns: bytes since the last progress"""
        return self._n_unused_bytes

    @property
    def has_empty_lines(self) -> bool:
        """:returns: whether there was more than one empty line before a request"""
        return self._n_empty_bytes > len(LINE_END)

    @property
    def partial_cost(self) -> int:
        """:returns: memory of what has arrived since the last progress"""
        cost = BYTES_PER_BYTE * self._n_unused_bytes
        return cost + BYTES_PER_FIELD * self._n_unused_lines

    def skip_empty_lines(self, data: bytes) -> bytes:
        """Skip and count empty lines before a request; some clients end a body so.

        :returns: what is left
        """
        if self._n_unused_bytes:
            return data
        rest = data.lstrip(LINE_END)
        self._n_empty_bytes += len(data) - len(rest)
        return rest

    def note_head(
        self, message: RawRequestMessage, limits: RequestLimits
    ) -> Excess | None:
        """Count a head that has just ended.

        :returns: by how much it is too long
        """
        fields = message.raw_headers
        n_bytes = sum(len(name) + len(value) + FRAMING_BYTES for name, value in fields)
        n_line_bytes = len(message.path)
        self._n_body_bytes = self._n_request_bytes = self._n_empty_bytes = 0
        self.head_cost = BYTES_PER_BYTE * (n_bytes + n_line_bytes)
        self.head_cost += BYTES_PER_FIELD * len(fields)
        seen = max(n_bytes, n_line_bytes)
        if seen > limits.max_header_bytes:
            return Excess(Bound.HEAD_BYTES, limits.max_header_bytes, seen)
        return None

    def count(self, data: bytes, n_body_bytes: int, *, has_head: bool) -> None:
        """Count what was parsed.

        :param n_body_bytes: of the body so far
        :param has_head: whether a head was completed
        """
        self._n_request_bytes += len(data)
        if has_head or n_body_bytes > self._n_body_bytes:
            self._n_body_bytes = n_body_bytes
            self._n_unused_bytes = self._n_unused_lines = 0
            return
        self._n_unused_bytes += len(data)
        self._n_unused_lines += data.count(b"\n")

    def find_excess(self, limits: RequestLimits, *, is_in_body: bool) -> Excess | None:
        """:returns: the bound that is exceeded, if any"""
        max_empty = len(LINE_END) * limits.max_empty_lines
        if self._n_empty_bytes > max_empty:
            return Excess(Bound.EMPTY_LINES, max_empty, self._n_empty_bytes)
        max_unused = MAX_UNUSED_RATIO * limits.max_header_bytes
        if self._n_unused_bytes > max_unused:
            bound = Bound.UNUSED_BYTES if is_in_body else Bound.HEAD_BYTES
            return Excess(bound, max_unused, self._n_unused_bytes)
        max_bytes = MAX_SIZE_RATIO * limits.max_body_bytes + max_unused
        if self._n_request_bytes > max_bytes:
            return Excess(Bound.REQUEST_BYTES, max_bytes, self._n_request_bytes)
        return None


__all__ = ("Excess", "RequestMeter")
