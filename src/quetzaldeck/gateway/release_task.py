"""The task that releases the allocations of abandoned attempts at engines."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.telemetry import log_event
from quetzaldeck.upstreams import UpstreamError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from quetzaldeck.telemetry import UpstreamMetrics

RELEASE_TIMEOUT_MS = 1_000.0
"""Timeout of one release. The response is due within milliseconds, and no request waits
for it."""
INITIAL_BACKOFF_MS = 100.0
MAX_TRIES = 6
"""Maximum number of tries. The backoff doubles after each: six seconds in all, which is
longer than an upstream takes to restart, and a restart frees its memory as well."""
REPEAT_INTERVAL_MS = 2_000.0
"""Shorter than the time for which unused memory may stay allocated."""
STOP_TIMEOUT_MS = 1_000.0
"""Timeout of running releases at shutdown; allocations that remain are freed when their
leases end."""


class Release(NamedTuple):
    """Release a sequence at an engine, or a reservation with its exports.

    :param upstream: name of the engine
    :param held_id: id of the allocation
    :param repeat_ms: time for which the release is repeated, since a request that got
        no response may be executed after the release that should undo it
    """

    upstream: str
    held_id: str
    repeat_ms: float = 0.0


class ReleaseTask:
    """Releases allocations at engines, and retries if an engine does not respond.

    Closing a connection is not enough: the engine may not notice it if the network
    drops the packets. The handler cannot release either, since it is cancelled when its
    caller disconnects. The memory would stay allocated until the engine's own timeout.

    :param cancel: releases one allocation
    :param metrics: counts the releases
    """

    def __init__(
        self, cancel: Callable[[Release], Awaitable[None]], metrics: UpstreamMetrics
    ) -> None:
        self._cancel = cancel
        self._metrics = metrics
        self._mailbox: asyncio.Queue[Release] = asyncio.Queue()
        self._running: set[asyncio.Task[None]] = set()

    def send(self, release: Release) -> None:
        """Add a release to the task's mailbox."""
        self._mailbox.put_nowait(release)

    async def run(self) -> None:
        """Handle releases until cancelled, then finish those already requested."""
        try:
            while True:
                self._start(await self._mailbox.get())
        finally:
            while not self._mailbox.empty():
                self._start(self._mailbox.get_nowait())
            if self._running:
                await asyncio.wait(self._running, timeout=STOP_TIMEOUT_MS / 1_000)

    def _start(self, release: Release) -> None:
        task = asyncio.create_task(self._release(release))
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    async def _release(self, release: Release) -> None:
        await self._release_once(release)
        n_repeats = math.ceil(release.repeat_ms / REPEAT_INTERVAL_MS)
        for _ in range(n_repeats):
            await asyncio.sleep(REPEAT_INTERVAL_MS / 1_000)
            await self._try_release(release)

    async def _release_once(self, release: Release) -> None:
        backoff_ms = INITIAL_BACKOFF_MS
        for _ in range(MAX_TRIES):
            if await self._try_release(release):
                self._metrics.releases.labels("done").inc()
                return
            await asyncio.sleep(backoff_ms / 1_000)
            backoff_ms *= 2
        self._metrics.releases.labels("given_up").inc()
        log_event("release_given_up", level="WARNING", **release._asdict())

    async def _try_release(self, release: Release) -> bool:
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_MS / 1_000):
                await self._cancel(release)
        except (UpstreamError, TimeoutError):
            return False
        return True


__all__ = ("Release", "ReleaseTask")
