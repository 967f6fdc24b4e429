"""Tracks whether this VM's gateway is running, so that the agent stops after it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzaldeck.clock import Clock
    from quetzaldeck.exchange import GatewayReport

POLL_MS = 50.0


class GatewayWatch:
    """Keeps the gateway's last report and the time it arrived.

    Both programs of a VM are stopped at the same time. The agent has to end last:
    requests still in progress need it, e.g. to claim a key or to learn of a leaving
    upstream. A crashed gateway sends no final report, so the wait also ends when
    reports have stopped arriving.

    :param quiet_ms: time without a report after which the gateway counts as gone
    """

    def __init__(self, clock: Clock, *, quiet_ms: float) -> None:
        self._clock = clock
        self._quiet_ms = quiet_ms
        self._last_report: GatewayReport | None = None
        self._last_report_ms = 0.0
        self._is_wait_cancelled = False

    @property
    def is_gone(self) -> bool:
        """:returns: whether the gateway has stopped, crashed, or never reported"""
        if (
            self._last_report is None
            or self._last_report.is_stopped
            or self._is_wait_cancelled
        ):
            return True
        return self._clock.now_ms() - self._last_report_ms > self._quiet_ms

    def note_report(self, report: GatewayReport) -> None:
        """Record a report of the gateway."""
        self._last_report = report
        self._last_report_ms = self._clock.now_ms()

    def cancel_wait(self) -> None:
        """Consider the gateway gone from now on."""
        self._is_wait_cancelled = True

    async def wait_gone(self) -> None:
        """Wait until the gateway is gone."""
        while not self.is_gone:
            await asyncio.sleep(POLL_MS / 1_000)


__all__ = ("GatewayWatch",)
