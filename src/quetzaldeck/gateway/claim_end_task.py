"""The task that reports the ends of claimed calls to the agent until it confirms."""

from __future__ import annotations

import asyncio
from collections import deque
from contextlib import suppress
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from quetzaldeck.running_timeout import RunningTimeout
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
MAX_UNCONFIRMED = 10_000
"""Reports that wait for an agent; the oldest is dropped for a further one."""
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
        self._unconfirmed: deque[ClaimEnd] = deque()
        self._has_unconfirmed = asyncio.Event()

    @property
    def n_unconfirmed(self) -> int:
        """:returns: number of reports to which the agent has not responded yet"""
        return len(self._unconfirmed)

    async def report(self, end: ClaimEnd) -> None:
        """Report an end; returns after the first try, later ones follow unattended."""
        if await self._try_report(end, FIRST_TIMEOUT_MS):
            return
        if len(self._unconfirmed) >= MAX_UNCONFIRMED:
            dropped = self._unconfirmed.popleft()
            log_event(
                "claim_end_given_up",
                level="WARNING",
                claim_request=dropped.claim_request_id,
                has_run=dropped.has_run,
            )
        self._unconfirmed.append(end)
        self._has_unconfirmed.set()

    async def run(self) -> None:
        """Repeat reports until cancelled, then try for a while to finish them."""
        try:
            while True:
                await self._has_unconfirmed.wait()
                await self._repeat_all()
        finally:
            with suppress(TimeoutError):
                async with asyncio.timeout(STOP_TIMEOUT_MS / 1_000):
                    await self._repeat_all()

    async def _repeat_all(self) -> None:
        """Repeat one report at a time: an agent that is late is not loaded further."""
        backoff_ms = INITIAL_BACKOFF_MS
        while self._unconfirmed:
            # It stays in the queue meanwhile, so that a shutdown does not lose it.
            end = self._unconfirmed[0]
            if await self._try_report(end, RETRY_TIMEOUT_MS):
                if self._unconfirmed and self._unconfirmed[0] is end:
                    self._unconfirmed.popleft()
                backoff_ms = INITIAL_BACKOFF_MS
                continue
            self._unconfirmed.rotate(-1)
            await asyncio.sleep(backoff_ms / 1_000)
            backoff_ms = min(2 * backoff_ms, MAX_BACKOFF_MS)
        self._has_unconfirmed.clear()

    async def _try_report(self, end: ClaimEnd, timeout_ms: float) -> bool:
        try:
            async with (
                RunningTimeout(timeout_ms),
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
