"""The task that reads the bundle from the configuration service."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzaldeck.bundle.signing import SignatureError, decode_envelope
from quetzaldeck.bundle.store import OfferResult
from quetzaldeck.directory import PlatformError
from quetzaldeck.telemetry import log_event

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from quetzaldeck.agent.bundle_exchange import BundleExchange
    from quetzaldeck.agent.settings import PlatformSettings
    from quetzaldeck.clock import Clock
    from quetzaldeck.directory import ConfigurationService, Published
    from quetzaldeck.telemetry import AgentMetrics

# Interval of full reads; all other calls ask for newer revisions only. A bundle may
# have a megabyte, so full reads must be rare.
FULL_READ_INTERVAL_MS = 3_600_000.0
_WATCHER_CHECK_MS = 1_000.0


class BundleTask:
    """Watches the bundle's key, or polls it rarely while other VMs watch it.

    :param service: the configuration service
    :param exchange: receives the envelopes read, and distributes them to peers
    :param is_watcher: whether this VM is currently one of the few that watch
    """

    def __init__(
        self,
        service: ConfigurationService,
        exchange: BundleExchange,
        settings: PlatformSettings,
        metrics: AgentMetrics,
        *,
        clock: Clock,
        is_watcher: Callable[[], bool],
        random_state: random.Random,
    ) -> None:
        self._service = service
        self._exchange = exchange
        self._settings = settings
        self._metrics = metrics
        self._is_watcher = is_watcher
        self._random = random_state
        self._clock = clock
        self._revision = 0
        self._full_read_due_ms = clock.now_ms()

    async def run(self) -> None:
        """Watch or read until cancelled."""
        while True:
            is_watcher = self._is_watcher()
            try:
                await self._call(is_watcher=is_watcher)
            except PlatformError as error:
                self._metrics.platform_errors.labels("bundle").inc()
                log_event("bundle_watch_failed", level="WARNING", error=error)
                # A service restored from a backup may have lower revisions than
                # before; a watch for newer ones would then never return.
                self._full_read_due_ms = self._clock.now_ms()
                await asyncio.sleep(self._settings.retry_ms / 1_000)
                continue
            if not is_watcher:
                await self._wait_as_non_watcher()

    async def _call(self, *, is_watcher: bool) -> None:
        key = self._settings.bundle_key
        self._metrics.platform_calls.labels("bundle").inc()
        if self._clock.now_ms() >= self._full_read_due_ms:
            published = await self._service.read(key)
            self._full_read_due_ms = self._clock.now_ms() + FULL_READ_INTERVAL_MS
            self._revision = 0 if published is None else published.revision
        else:
            timeout_ms = self._settings.watch_timeout_ms if is_watcher else 0
            published = await self._service.watch(key, self._revision, timeout_ms)
        if published is not None:
            self._process(published)
        elif is_watcher:
            await asyncio.sleep(self._settings.retry_ms / 1_000)

    async def _wait_as_non_watcher(self) -> None:
        # Randomised so that VMs started together do not read at the same time; ends
        # early if this VM becomes a watcher.
        remaining_ms = self._settings.read_interval_ms * self._random.uniform(0.5, 1.5)
        while remaining_ms > 0 and not self._is_watcher():
            await asyncio.sleep(min(remaining_ms, _WATCHER_CHECK_MS) / 1_000)
            remaining_ms -= _WATCHER_CHECK_MS

    def _process(self, published: Published) -> None:
        self._revision = published.revision
        try:
            envelope = decode_envelope(published.value)
        except SignatureError as error:
            self._exchange.report_refusal(OfferResult.BAD_SIGNATURE, str(error))
            return
        self._exchange.offer_to_store(envelope, "service")


__all__ = ("BundleTask",)
