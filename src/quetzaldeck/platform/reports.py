"""What engines report of themselves when they are asked."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
from multidict import CIMultiDict

from quetzaldeck.decisions import AttemptFault
from quetzaldeck.platform.headers import EXPECTED_REPLICA
from quetzaldeck.upstreams import UpstreamError
from quetzaldeck.upstreams.http import translate_faults

if TYPE_CHECKING:
    import aiohttp

    from quetzaldeck.entry.upstream_client import UpstreamClient
    from quetzaldeck.routing import Replica

REPORT_TIMEOUT_MS = 500.0
"""For an answer that is due in a few milliseconds and needs no slot; less than the time
between two questions, so that questions do not pile up at an engine that hangs."""

MAX_REPORT_BYTES = 65_536
"""Hundreds of times what a report has; an answer without end would fill the memory."""

OK_STATUS = 200


class _Report(msgspec.Struct, frozen=True):
    pace: float | None = None
    """How many times longer than stated its work takes; not every engine tells it."""
    born: int = 0
    """When it started, in Unix milliseconds; not all engines tell it."""


class ReplicaReports:
    """Asks engines for reports.

    :param client: the connections to upstreams
    """

    def __init__(self, client: UpstreamClient) -> None:
        self._client = client

    async def read_pace(self, replica: Replica) -> float | None:
        """Ask an engine how fast it works.

        :returns: how many times longer than stated its work takes; ``None`` if it does
            not say so, or has started again since its entry was read
        :raises UpstreamError: if it did not answer as it must
        """
        name = replica.replica_id
        headers = CIMultiDict({EXPECTED_REPLICA: name})
        async with (
            translate_faults(name),
            asyncio.timeout(REPORT_TIMEOUT_MS / 1_000),
        ):
            response = await self._client.send(
                replica.address, "GET", "/report", headers, None
            )
            async with response:
                body = await _read_report(name, response)
        if response.status != OK_STATUS:
            raise _fault(name, f"status {response.status} for a report")
        try:
            report = msgspec.json.decode(body, type=_Report)
        except (msgspec.DecodeError, RecursionError) as error:
            raise _fault(name, f"report: {error}") from error
        is_known_start = report.born in (0, replica.started_ms)
        return report.pace if is_known_start else None


async def _read_report(name: str, response: aiohttp.ClientResponse) -> bytes:
    body = b""
    async for part in response.content.iter_any():
        body += part
        if len(body) > MAX_REPORT_BYTES:
            raise _fault(name, f"a report of over {MAX_REPORT_BYTES} bytes")
    return body


def _fault(name: str, detail: str) -> UpstreamError:
    return UpstreamError(AttemptFault.BAD_ANSWER, f"{name}: {detail}", upstream=name)


__all__ = ("ReplicaReports",)
