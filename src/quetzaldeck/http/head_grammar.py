"""The grammar of the heads of responses, see RFC 9110 and RFC 9112.

The parser of aiohttp is lenient with responses, and what it accepts also depends on
whether it is compiled. A head that it accepts may thus be none: it would be forwarded
as it is, or the body that follows it would be framed in another way than it says.
"""

from __future__ import annotations

import re
from http import HTTPStatus
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import hdrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from aiohttp.http import RawResponseMessage

MIN_FINAL_STATUS = 200
_MIN_STATUS = 100
_MAX_STATUS = 599
_MAJOR_VERSION = 1
_INTERIM_DIGIT = b"1"
_MAX_DETAIL = 200

_STATUS_LINE = re.compile(rb"HTTP/[0-9]\.[0-9] ([0-9]{3})(?: .*)?", re.DOTALL)
_TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_CONTROL = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
_RAW_CONTROL = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_LENGTH = re.compile(r"[0-9]+")
_CHUNKED = re.compile(r"chunked", re.ASCII | re.IGNORECASE)
_BLANKS = " \t"


class MalformedHeadError(aiohttp.ClientError):
    """The head of a response is not one by the grammar.

    :param detail: what is wrong with it; it may quote a line of any length
    """

    def __init__(self, detail: str) -> None:
        super().__init__(f"malformed head: {detail[:_MAX_DETAIL]}")


class LineChecker:
    """Checks the form of the lines of heads, which the parser does not show.

    It ends with the first final response: whether another one follows, and where, is
    known to the parser alone.
    """

    def __init__(self) -> None:
        self._rest = b""
        self._status: bytes | None = None
        self._is_done = False

    def feed(self, data: bytes) -> None:
        """Check the lines that are complete with some more bytes.

        :raises MalformedHeadError: if one is neither a status line nor a field
        """
        data = self._rest + data
        begin = 0
        while not self._is_done and (end := data.find(b"\n", begin)) >= 0:
            self._check_line(data[begin:end].removesuffix(b"\r"))
            begin = end + 1
        self._rest = b"" if self._is_done else data[begin:]

    def _check_line(self, line: bytes) -> None:
        if self._status is None:
            if line:
                self._check_status_line(line)
        elif not line:
            self._is_done = not self._status.startswith(_INTERIM_DIGIT)
            self._status = None
        elif line.startswith((b" ", b"\t")):
            # A gateway may unfold a line, but could not tell it from a spoilt name.
            raise MalformedHeadError(f"folded line {line!r}")

    def _check_status_line(self, line: bytes) -> None:
        match = _STATUS_LINE.fullmatch(line)
        if match is None:
            raise MalformedHeadError(f"status line {line!r}")
        self._status = match[1]


def check_head(message: RawResponseMessage) -> None:
    """Check the head of a response to a request that does not ask for an upgrade.

    :raises MalformedHeadError: if it is none
    """
    _check_status(message)
    for name, value in message.raw_headers:
        if not _TOKEN.fullmatch(name):
            raise MalformedHeadError(f"field name {name!r}")
        if _RAW_CONTROL.search(value):
            raise MalformedHeadError(f"control byte in the value of field {name!r}")
    _check_framing(message)


def _check_status(message: RawResponseMessage) -> None:
    status, version = message.code, message.version
    if not _MIN_STATUS <= status <= _MAX_STATUS:
        raise MalformedHeadError(f"status {status}")
    if status == HTTPStatus.SWITCHING_PROTOCOLS:
        raise MalformedHeadError(f"status {status}, but no upgrade was requested")
    if version.major != _MAJOR_VERSION:
        raise MalformedHeadError(f"HTTP version {version.major}.{version.minor}")
    if _CONTROL.search(message.reason or ""):
        raise MalformedHeadError(f"reason {message.reason!r}")


def _check_framing(message: RawResponseMessage) -> None:
    """Check that the end of the body is where the parser finds it.

    Requests accept no transfer coding but chunks.

    :raises MalformedHeadError: if the head states it in another way, or in two
    """
    codings = message.headers.getall(hdrs.TRANSFER_ENCODING, ())
    lengths = message.headers.getall(hdrs.CONTENT_LENGTH, ())
    if codings:
        if not _is_chunked_only(codings) or not message.chunked:
            raise MalformedHeadError(f"transfer codings {list(codings)!r}")
        if lengths:
            raise MalformedHeadError("a length beside a transfer coding")
        if message.version.minor == 0:
            raise MalformedHeadError("a transfer coding in HTTP 1.0")
    if lengths and (len(set(lengths)) > 1 or not _LENGTH.fullmatch(lengths[0])):
        raise MalformedHeadError(f"lengths {list(lengths)!r}")
    has_body = bool(codings) or any(length.strip("0") for length in lengths)
    if has_body and message.code < MIN_FINAL_STATUS:
        raise MalformedHeadError(f"a body after interim status {message.code}")


def _is_chunked_only(codings: Iterable[str]) -> bool:
    """:returns: whether comma-separated lists name the coding of chunks, and only it"""
    parts = (part.strip(_BLANKS) for coding in codings for part in coding.split(","))
    named = [part for part in parts if part]
    return len(named) == 1 and _CHUNKED.fullmatch(named[0]) is not None


__all__ = ("MIN_FINAL_STATUS", "LineChecker", "MalformedHeadError", "check_head")
