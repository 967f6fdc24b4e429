"""Translation of HTTP errors of upstreams to :class:`UpstreamError`.

The errors differ in what they prove about the execution of the call.
"""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, NamedTuple

import aiohttp
from aiohttp.http_exceptions import HttpProcessingError

from quetzaldeck.decisions.decision import AttemptFault
from quetzaldeck.http.answer_bounds import OverBoundError, log_over_bound
from quetzaldeck.http.head_grammar import MalformedHeadError
from quetzaldeck.http.retry_after import read_retry_after_ms
from quetzaldeck.upstreams.errors import UpstreamError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from quetzaldeck.upstreams.timeouts import UpstreamTimeouts

HTTP_CLIENT_ERROR = 400
HTTP_CONFLICT = 409
HTTP_TOO_LARGE = 413
HTTP_FAILED_DEPENDENCY = 424
HTTP_TOO_MANY_REQUESTS = 429
HTTP_SERVER_ERROR = 500
HTTP_UNAVAILABLE = 503
INCARNATION_HEADER = "Quetzaldeck-Incarnation"
LEAVING_HEADER = "Server-Leaving"
"""``1`` in each response of an upstream that leaves."""
MS_PER_SECOND = 1_000


class Said(NamedTuple):
    """What an upstream says of itself with a response.

    :param incarnation: ``""`` if it states none
    :param rest_ms: time for which it wants nothing from this VM; ``None``: it says none
    :param is_leaving: whether it says that it leaves
    """

    incarnation: str
    rest_ms: float | None
    is_leaving: bool


def build_timeout(
    timeouts: UpstreamTimeouts, total_ms: float | None
) -> aiohttp.ClientTimeout:
    """Build the timeouts that aiohttp's client applies.

    It counts stalls of this process as silence, so the time for the next byte is not
    among them.
    """
    return aiohttp.ClientTimeout(
        total=None if total_ms is None else max(total_ms, 1) / MS_PER_SECOND,
        sock_connect=timeouts.connect_ms / MS_PER_SECOND,
    )


class ResponseOrigin:
    """Which incarnation of an upstream responds, for errors later in the response."""

    def __init__(self) -> None:
        self.incarnation = ""

    def read_header(self, response: aiohttp.ClientResponse) -> None:
        """Note which incarnation of the upstream started to respond."""
        self.incarnation = response.headers.get(INCARNATION_HEADER, "")


@asynccontextmanager
async def translate_faults(name: str) -> AsyncIterator[ResponseOrigin]:
    """Turn errors of aiohttp's client into :class:`UpstreamError`.

    A connection that could not be opened proves that no byte was received. Every other
    error may have occurred after the upstream started to run the call.
    """
    origin = ResponseOrigin()
    try:
        yield origin
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        raise UpstreamError(
            AttemptFault.CONNECT,
            f"{name}: {error}",
            may_have_run=False,
            was_sent=False,
            upstream=name,
            is_gone=is_refused(error),
        ) from error
    except TimeoutError as error:
        raise UpstreamError(
            AttemptFault.SILENT, f"{name}: timed out waiting for data", upstream=name
        ) from error
    except OverBoundError as error:
        log_over_bound(name, error)
        raise UpstreamError(
            AttemptFault.BAD_ANSWER, f"{name}: {error}", upstream=name
        ) from error
    except MalformedHeadError as error:
        raise UpstreamError(
            AttemptFault.BAD_ANSWER, f"{name}: {error}", upstream=name
        ) from error
    except (HttpProcessingError, aiohttp.ClientResponseError) as error:
        # aiohttp stops reading an overlong event with an error that is not a
        # subclass of ClientError, and raises the other one for an invalid head.
        raise UpstreamError(
            AttemptFault.BAD_ANSWER, f"{name}: {error!r}", upstream=name
        ) from error
    except (aiohttp.ClientError, OSError) as error:
        raise UpstreamError(
            AttemptFault.BROKEN,
            f"{name}: {error!r}",
            upstream=name,
            incarnation=origin.incarnation,
        ) from error


def is_refused(error: BaseException) -> bool:
    """:returns: whether a connection failed since nothing listens at the address"""
    return isinstance(error, aiohttp.ClientConnectorError) and isinstance(
        error.os_error, ConnectionRefusedError
    )


def check_status(name: str, response: aiohttp.ClientResponse) -> None:
    """Check the status of an engine's response.

    :raises UpstreamError: if the engine refused the call or failed
    """
    status = response.status
    if status < HTTP_CLIENT_ERROR:
        return
    retry_after_ms = read_retry_after_ms(response.headers)
    if status == HTTP_CONFLICT:
        fault = AttemptFault.NO_ROOM
    elif status == HTTP_TOO_LARGE:
        fault = AttemptFault.TOO_LONG
    elif status == HTTP_FAILED_DEPENDENCY:
        fault = AttemptFault.BAD_ANSWER
    elif status in (HTTP_TOO_MANY_REQUESTS, HTTP_UNAVAILABLE):
        fault = AttemptFault.OVERLOADED
        if retry_after_ms:
            fault, retry_after_ms = AttemptFault.RESTING, None
    elif status < HTTP_SERVER_ERROR:
        fault = AttemptFault.REFUSED
    else:
        fault = AttemptFault.FAILED
    raise UpstreamError(
        fault,
        f"{name}: HTTP status {status}",
        may_have_run=fault is not AttemptFault.NO_ROOM,
        upstream=name,
        retry_after_ms=retry_after_ms,
    )


def read_said(response: aiohttp.ClientResponse) -> Said:
    """:returns: what an upstream says of itself with a response"""
    rest_ms = None
    if response.status in (HTTP_TOO_MANY_REQUESTS, HTTP_UNAVAILABLE):
        rest_ms = read_retry_after_ms(response.headers) or None
    return Said(
        response.headers.get(INCARNATION_HEADER, ""),
        rest_ms,
        response.headers.get(LEAVING_HEADER, "").strip() == "1",
    )


__all__ = (
    "INCARNATION_HEADER",
    "ResponseOrigin",
    "Said",
    "build_timeout",
    "check_status",
    "is_refused",
    "read_said",
    "translate_faults",
)
