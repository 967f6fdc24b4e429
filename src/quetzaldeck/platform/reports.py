"""Reports that engines return about themselves on request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from multidict import CIMultiDict

from quetzaldeck.decisions import AttemptFault
from quetzaldeck.json_decoder import JsonDecoder
from quetzaldeck.platform.headers import (
    EXPECTED_REPLICA,
    ignore_head,
    read_response_head,
)
from quetzaldeck.running_timeout import RunningTimeout
from quetzaldeck.upstreams import UpstreamError
from quetzaldeck.upstreams.http import translate_faults

if TYPE_CHECKING:
    import aiohttp

    from quetzaldeck.entry.upstream_client import UpstreamClient
    from quetzaldeck.platform.headers import OnHead
    from quetzaldeck.routing import Replica

REPORT_TIMEOUT_MS = 500.0
"""The answer normally takes a few milliseconds and needs no slot. The timeout is
shorter than the polling interval, so that requests do not pile up at an engine that
hangs."""

MAX_REPORT_BYTES = 65_536
"""Hundreds of times the size of a report; an endless body would exhaust the memory."""

OK_STATUS = 200


class _Report(msgspec.Struct, frozen=True):
    pace: float | None = None
    """Slowdown factor against the configured figures; not every engine reports it."""
    born: int = 0
    """Start time in Unix milliseconds; not every engine reports it."""


_DECODER = JsonDecoder(_Report)


class ReplicaReports:
    """Requests reports from engines.

    :param client: connections to the engines
    :param on_head: called with the head of each response
    """

    def __init__(self, client: UpstreamClient, on_head: OnHead = ignore_head) -> None:
        self._client = client
        self._on_head = on_head

    async def read_pace(self, replica: Replica) -> float | None:
        """Request the pace of an engine.

        :returns: the slowdown factor against the configured figures; ``None`` if the
            engine does not report it, or has restarted since its entry was read
        :raises UpstreamError: if there was no valid answer
        """
        name = replica.replica_id
        headers = CIMultiDict({EXPECTED_REPLICA: name})
        async with (
            translate_faults(name),
            RunningTimeout(REPORT_TIMEOUT_MS),
        ):
            response = await self._client.send(
                replica.address, "GET", "/report", headers, None
            )
            async with response:
                head = read_response_head(response.status, response.headers)
                self._on_head(replica, head)
                body = await _read_body(name, response)
        if response.status != OK_STATUS:
            raise _fault(name, f"report request answered with status {response.status}")
        try:
            report = _DECODER.decode(body)
        except msgspec.DecodeError as error:
            raise _fault(name, f"invalid report: {error}") from error
        is_known_incarnation = report.born in (0, replica.started_ms)
        return report.pace if is_known_incarnation else None


async def _read_body(name: str, response: aiohttp.ClientResponse) -> bytes:
    body = b""
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > MAX_REPORT_BYTES:
            raise _fault(name, f"report exceeds {MAX_REPORT_BYTES} bytes")
    return body


def _fault(name: str, detail: str) -> UpstreamError:
    return UpstreamError(AttemptFault.BAD_ANSWER, f"{name}: {detail}", upstream=name)


__all__ = ("ReplicaReports",)
