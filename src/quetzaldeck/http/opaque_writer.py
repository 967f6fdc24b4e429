"""Writes the values of fields in the bytes in which they were received."""

from __future__ import annotations

from aiohttp.http_writer import StreamWriter
from multidict import CIMultiDict


class OpaqueWriter(StreamWriter):
    """Writes one response.

    aiohttp reads bytes that are not UTF-8 as surrogates. Its compiled writer leaves
    them out, and the one in Python raises an error once the response has begun.
    """

    async def write_headers(self, status_line: str, headers: CIMultiDict[str]) -> None:
        """Write the head; see the base class."""
        if all(value.isascii() for value in headers.values()):
            await super().write_headers(status_line, headers)
            return
        encodable = CIMultiDict(
            (name, value.encode(errors="ignore").decode())
            for name, value in headers.items()
        )
        await super().write_headers(status_line, encodable)
        lines = [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join([status_line, *lines, "", ""])
        self._headers_buf = head.encode(errors="surrogateescape")


__all__ = ("OpaqueWriter",)
