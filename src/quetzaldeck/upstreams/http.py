"""Faults of HTTP calls to upstreams, told apart by what they prove."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import aiohttp
from aiohttp.http_exceptions import HttpProcessingError

from quetzaldeck.decisions.decision import AttemptFault
from quetzaldeck.upstreams.errors import UpstreamError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from quetzaldeck.upstreams.api import UpstreamTimeouts

HTTP_CLIENT_ERROR = 400
HTTP_CONFLICT = 409
HTTP_TOO_LARGE = 413
HTTP_FAILED_DEPENDENCY = 424
HTTP_TOO_MANY_REQUESTS = 429
HTTP_SERVER_ERROR = 500
HTTP_UNAVAILABLE = 503
INCARNATION_HEADER = "Quetzaldeck-Incarnation"
MS_PER_SECOND = 1_000
MAX_RETRY_AFTER_S = 3_600.0
"""An upstream that names a longer time is taken to mean an hour."""


def build_timeout(
    timeouts: UpstreamTimeouts, total_ms: float | None
) -> aiohttp.ClientTimeout:
    """:returns: the bounds in the form that the client library takes"""
    return aiohttp.ClientTimeout(
        total=None if total_ms is None else max(total_ms, 1) / MS_PER_SECOND,
        sock_connect=timeouts.connect_ms / MS_PER_SECOND,
        sock_read=timeouts.idle_ms / MS_PER_SECOND,
    )


class Evidence:
    """What an answer has proved so far, for the case that it breaks off."""

    def __init__(self) -> None:
        self.incarnation = ""

    def take(self, response: aiohttp.ClientResponse) -> None:
        """Note which incarnation of the upstream began to answer."""
        self.incarnation = response.headers.get(INCARNATION_HEADER, "")


@asynccontextmanager
async def translate_faults(name: str) -> AsyncIterator[Evidence]:
    """Turn the client library's errors into :class:`UpstreamError`.

    A connection that was refused proves that no byte arrived. Every other error
    may come after the upstream began to run the call.
    """
    evidence = Evidence()
    try:
        yield evidence
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        raise UpstreamError(
            AttemptFault.CONNECT,
            f"{name}: {error}",
            may_have_run=False,
            was_sent=False,
            upstream=name,
        ) from error
    except TimeoutError as error:
        raise UpstreamError(
            AttemptFault.SILENT, f"{name}: no byte in time", upstream=name
        ) from error
    except HttpProcessingError as error:
        # One event without end: the library stops reading it, with an error that
        # is none of its client errors.
        raise UpstreamError(
            AttemptFault.BAD_ANSWER, f"{name}: {error!r}", upstream=name
        ) from error
    except (aiohttp.ClientError, OSError) as error:
        raise UpstreamError(
            AttemptFault.BROKEN,
            f"{name}: {error!r}",
            upstream=name,
            incarnation=evidence.incarnation,
        ) from error


def check_status(name: str, response: aiohttp.ClientResponse) -> None:
    """Check the status line of an engine's answer.

    :raises UpstreamError: if the engine refused the call or failed
    """
    status = response.status
    if status < HTTP_CLIENT_ERROR:
        return
    if status == HTTP_CONFLICT:
        fault = AttemptFault.NO_ROOM
    elif status == HTTP_TOO_LARGE:
        fault = AttemptFault.TOO_LONG
    elif status == HTTP_FAILED_DEPENDENCY:
        fault = AttemptFault.BAD_ANSWER
    elif status in (HTTP_TOO_MANY_REQUESTS, HTTP_UNAVAILABLE):
        fault = AttemptFault.OVERLOADED
    elif status < HTTP_SERVER_ERROR:
        fault = AttemptFault.REFUSED
    else:
        fault = AttemptFault.FAILED
    raise UpstreamError(
        fault,
        f"{name}: HTTP status {status}",
        may_have_run=fault is not AttemptFault.NO_ROOM,
        upstream=name,
        retry_after_ms=_read_retry_after(response.headers.get("Retry-After")),
    )


def _read_retry_after(text: str | None) -> float | None:
    """:returns: milliseconds of the header; its form as a date is not used"""
    if text is None or not text.isascii() or not text.strip().isdigit():
        return None
    return min(float(text), MAX_RETRY_AFTER_S) * MS_PER_SECOND


__all__ = (
    "INCARNATION_HEADER",
    "Evidence",
    "build_timeout",
    "check_status",
    "translate_faults",
)
