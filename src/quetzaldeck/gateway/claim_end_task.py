"""The task that reports the ends of claimed calls to the agent until it confirms."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from quetzaldeck.telemetry import log_event

if TYPE_CHECKING:
    from quetzaldeck.exchange.claim_messages import ClaimEnd

CLAIM_END_PATH = "/v1/claims/end"

FIRST_TIMEOUT_MS = 250.0
"""Timeout of the first try, for which the caller's answer waits. A running agent
responds within milliseconds."""
RETRY_TIMEOUT_MS = 1_000.0
INITIAL_BACKOFF_MS = 100.0
MAX_BACKOFF_MS = 2_000.0
MAX_REPORT_MS = 120_000.0
"""Time after which a report is given up; an agent restarts sooner, and it has lost the
claim then."""
STOP_TIMEOUT_MS = 1_000.0
"""Timeout of unconfirmed reports at shutdown."""

_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


class ClaimEndTask:
    """Reports the ends of claimed calls, and retries if the agent does not respond.

    An agent that misses a report considers the call as running until the claim's window
    has passed. Callers that resend the call would be told for that long that nobody
    knows whether it ran, although this gateway does. The agent ignores a report that it
    has processed already.

    :param client: HTTP client for the agent, owned by the creator of this object
    :param agent_address: base URL of the agent
    """

    def __init__(self, client: aiohttp.ClientSession, agent_address: str) -> None:
        self._client = client
        self._agent_address = agent_address
        self._running: set[asyncio.Task[None]] = set()

    async def report(self, end: ClaimEnd) -> None:
        """Report an end; returns after the first try, later ones follow unattended."""
        if not await self._try_report(end, FIRST_TIMEOUT_MS):
            task = asyncio.create_task(self._repeat(end))
            self._running.add(task)
            task.add_done_callback(self._running.discard)

    async def run(self) -> None:
        """Wait until cancelled, then finish the reports that are not confirmed."""
        try:
            await asyncio.get_running_loop().create_future()
        finally:
            if self._running:
                _, pending = await asyncio.wait(
                    self._running, timeout=STOP_TIMEOUT_MS / 1_000
                )
                for task in pending:
                    task.cancel()

    async def _repeat(self, end: ClaimEnd) -> None:
        backoff_ms = INITIAL_BACKOFF_MS
        try:
            async with asyncio.timeout(MAX_REPORT_MS / 1_000):
                while True:
                    await asyncio.sleep(backoff_ms / 1_000)
                    if await self._try_report(end, RETRY_TIMEOUT_MS):
                        return
                    backoff_ms = min(2 * backoff_ms, MAX_BACKOFF_MS)
        except TimeoutError:
            log_event(
                "claim_end_given_up",
                level="WARNING",
                claim_request=end.claim_request_id,
                has_run=end.has_run,
            )

    async def _try_report(self, end: ClaimEnd, timeout_ms: float) -> bool:
        try:
            async with (
                asyncio.timeout(timeout_ms / 1_000),
                self._client.post(
                    self._agent_address + CLAIM_END_PATH,
                    data=msgspec.json.encode(end),
                ) as response,
            ):
                response.raise_for_status()
        except _ERRORS as error:
            log_event("claim_end_not_told", level="WARNING", error=repr(error))
            return False
        return True


__all__ = ("CLAIM_END_PATH", "ClaimEndTask")
