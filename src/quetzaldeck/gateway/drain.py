"""Graceful shutdown of the data path."""

from __future__ import annotations

import asyncio
from enum import StrEnum
from typing import TYPE_CHECKING

from quetzaldeck.telemetry import log_event

if TYPE_CHECKING:
    from quetzaldeck.gateway.in_flight import InFlightRequests
    from quetzaldeck.gateway.settings import ShutdownSettings
    from quetzaldeck.telemetry import GatewayMetrics


class Phase(StrEnum):
    """Where a gateway stands between its start and its end."""

    SERVING = "serving"
    LEAVING = "leaving"
    DRAINING = "draining"
    STOPPED = "stopped"


class Drain:
    """Takes a gateway out of service without cutting off a request.

    Leaving: not ready, but still taking work, for the balancer learns it with a
    lag and goes on sending; a gateway that refused at once would turn callers
    away whom another VM could serve. Draining: no new work; what is in progress
    ends by itself, at the latest with its deadline. A second signal, or the bound
    of the settings, cuts off what is left: each is counted, logged, and told to
    its caller.
    """

    def __init__(
        self,
        in_flight: InFlightRequests,
        settings: ShutdownSettings,
        metrics: GatewayMetrics,
    ) -> None:
        self._in_flight = in_flight
        self._settings = settings
        self._metrics = metrics
        self._phase = Phase.SERVING
        self._must_cut_off = asyncio.Event()
        self._n_cut_off = 0

    @property
    def phase(self) -> Phase:
        """:returns: where the gateway stands"""
        return self._phase

    @property
    def is_leaving(self) -> bool:
        """:returns: whether the balancer shall send no more work"""
        return self._phase is not Phase.SERVING

    @property
    def refuses(self) -> bool:
        """:returns: whether new work is refused"""
        return self._phase in (Phase.DRAINING, Phase.STOPPED)

    async def run(self) -> int:
        """Drain.

        :returns: number of requests cut off
        """
        self._enter(Phase.LEAVING)
        await self._wait_unless_cut_off(self._settings.balancer_lag_ms)
        self._enter(Phase.DRAINING)
        finished = asyncio.ensure_future(self._in_flight.wait_empty())
        cut = asyncio.ensure_future(self._must_cut_off.wait())
        bound_ms = self._settings.max_drain_ms
        await asyncio.wait(
            {finished, cut},
            timeout=bound_ms / 1_000 if bound_ms else None,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not finished.done():
            self._cut_off_rest()
            await asyncio.wait({finished}, timeout=self._settings.farewell_ms / 1_000)
        finished.cancel()
        cut.cancel()
        self._enter(Phase.STOPPED)
        return self._n_cut_off

    def cut_off(self) -> None:
        """Wait no longer: cut off what is still in progress."""
        self._must_cut_off.set()

    def _cut_off_rest(self) -> None:
        request_ids = self._in_flight.cut_off()
        self._n_cut_off = len(request_ids)
        self._metrics.requests_aborted.inc(len(request_ids))
        for request_id in request_ids:
            log_event("request_cut_off", level="ERROR", request=request_id)

    async def _wait_unless_cut_off(self, duration_ms: float) -> None:
        waiting = asyncio.ensure_future(self._must_cut_off.wait())
        await asyncio.wait({waiting}, timeout=duration_ms / 1_000)
        waiting.cancel()

    def _enter(self, phase: Phase) -> None:
        self._phase = phase
        log_event("shutdown_phase", phase=phase.value, n_in_flight=len(self._in_flight))


__all__ = ("Drain", "Phase")
