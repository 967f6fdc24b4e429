"""The task that reads the platform's list of VMs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzaldeck.directory import PlatformError
from quetzaldeck.telemetry import log_event

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from quetzaldeck.agent.settings import PlatformSettings
    from quetzaldeck.directory import VmEntry, VmList
    from quetzaldeck.telemetry import AgentMetrics

# Up to this many entry VMs read the list at every interval; in a larger fleet each
# reads more rarely, so that the total rate stays the same. The list grows with the
# fleet: at 410 VMs and 780 upstreams it has about 120 KB, far more than a VM may spend
# on control traffic per second.
N_FULL_RATE_VMS = 4


class VmListTask:
    """Polls the platform's list of VMs.

    :param vm_list: the platform's list
    :param on_read: called with the VMs after each read
    :param count_live: returns the number of live entry VMs, which divide the reads
    """

    def __init__(
        self,
        vm_list: VmList,
        settings: PlatformSettings,
        metrics: AgentMetrics,
        *,
        on_read: Callable[[tuple[VmEntry, ...]], None],
        count_live: Callable[[], int],
        random_state: random.Random,
    ) -> None:
        self._vm_list = vm_list
        self._settings = settings
        self._metrics = metrics
        self._on_read = on_read
        self._count_live = count_live
        self._random = random_state

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            self._metrics.platform_calls.labels("vm_list").inc()
            try:
                self._on_read(await self._vm_list.read())
            except PlatformError as error:
                self._metrics.platform_errors.labels("vm_list").inc()
                log_event("vm_list_failed", level="WARNING", error=error)
            await asyncio.sleep(self._choose_wait_ms() / 1_000)

    def _choose_wait_ms(self) -> float:
        factor = max(1.0, self._count_live() / N_FULL_RATE_VMS)
        # Random, so that the VMs do not all read at the same time.
        jitter = self._random.uniform(0.5, 1.5) if factor > 1 else 1.0
        return self._settings.vm_list_interval_ms * factor * jitter


__all__ = ("N_FULL_RATE_VMS", "VmListTask")
