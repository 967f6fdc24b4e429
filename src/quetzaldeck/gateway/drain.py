"""Graceful shutdown of a gateway or an entry."""

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
    """Phase in the life cycle of a gateway."""

    SERVING = "serving"
    LEAVING = "leaving"
    DRAINING = "draining"
    STOPPED = "stopped"


class Drain:
    """Shuts a gateway down without aborting requests.

    Leaving: the gateway reports that it is not ready, but still accepts requests, since
    the load balancer notices this with a delay and sends requests until then. If the
    gateway refused them at once, callers that another VM could serve would be rejected.

    Draining: no new requests are accepted. Those in progress end on their own, at the
    latest at their deadlines. A second signal, or the time limit of the settings,
    aborts the remaining ones: each is counted and logged, and its caller receives an
    error.
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
        self._must_abort = asyncio.Event()
        self._n_aborted = 0

    @property
    def phase(self) -> Phase:
        """:returns: the current phase"""
        return self._phase

    @property
    def is_leaving(self) -> bool:
        """:returns: whether the load balancer should stop sending requests"""
        return self._phase is not Phase.SERVING

    @property
    def refuses(self) -> bool:
        """:returns: whether new requests are refused"""
        return self._phase in (Phase.DRAINING, Phase.STOPPED)

    async def run(self) -> int:
        """Shut down gracefully.

        :returns: number of aborted requests
        """
        self._enter(Phase.LEAVING)
        await self._wait_unless_aborted(self._settings.balancer_lag_ms)
        self._enter(Phase.DRAINING)
        finished = asyncio.ensure_future(self._in_flight.wait_empty())
        aborted = asyncio.ensure_future(self._must_abort.wait())
        max_drain_ms = self._settings.max_drain_ms
        await asyncio.wait(
            {finished, aborted},
            timeout=max_drain_ms / 1_000 if max_drain_ms else None,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not finished.done():
            self._abort_remaining()
            await asyncio.wait({finished}, timeout=self._settings.farewell_ms / 1_000)
            self._record_unfinished()
        finished.cancel()
        aborted.cancel()
        self._enter(Phase.STOPPED)
        return self._n_aborted

    def abort(self) -> None:
        """Stop waiting and abort the requests that are still in progress."""
        self._must_abort.set()

    def _abort_remaining(self) -> None:
        call_ids = dict(self._in_flight.list_calls())
        request_ids = self._in_flight.abort_all()
        self._n_aborted = len(request_ids)
        self._metrics.requests_aborted.inc(len(request_ids))
        for request_id in request_ids:
            log_event(
                "request_cut_off",
                level="ERROR",
                request=request_id,
                call=call_ids[request_id],
            )

    def _record_unfinished(self) -> None:
        """Record the aborted requests that the process does not wait for any more."""
        for request_id, call_id in self._in_flight.list_calls():
            log_event(
                "request_unfinished", level="ERROR", request=request_id, call=call_id
            )

    async def _wait_unless_aborted(self, duration_ms: float) -> None:
        waiting = asyncio.ensure_future(self._must_abort.wait())
        await asyncio.wait({waiting}, timeout=duration_ms / 1_000)
        waiting.cancel()

    def _enter(self, phase: Phase) -> None:
        self._phase = phase
        log_event("shutdown_phase", phase=phase.value, n_in_flight=len(self._in_flight))


__all__ = ("Drain", "Phase")
