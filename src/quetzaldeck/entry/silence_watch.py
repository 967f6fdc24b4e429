"""Waits for an upstream's next bytes until the scheduler abandons the attempt."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

from quetzaldeck.clock.clock import MS_PER_SECOND
from quetzaldeck.decisions.retries.silence import SILENCE_RECHECK_MS, SilenceVerdict
from quetzaldeck.telemetry import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from quetzaldeck.clock import Clock
    from quetzaldeck.gateway.ticket import Ticket

Result = TypeVar("Result")


class NoWatch:
    """Waits without a bound, where somebody else watches for silence."""

    async def wait(
        self, start: Callable[[], Coroutine[object, object, Result]]
    ) -> Result:
        """:returns: the result of the coroutine that ``start`` creates"""
        return await start()


class SilenceWatch:
    """Bounds the time for which one attempt waits on a silent upstream.

    :param ticket: the scheduler's handle for the request
    :param attempt_id: the attempt
    :param call_id: the caller's id of the request, for the logs
    :param bound_ms: silence after which the scheduler is consulted; ``None``: never
    """

    def __init__(
        self,
        ticket: Ticket,
        clock: Clock,
        attempt_id: str,
        call_id: str,
        bound_ms: float | None,
    ) -> None:
        self._ticket = ticket
        self._clock = clock
        self._attempt_id = attempt_id
        self._call_id = call_id
        self._bound_ms = bound_ms

    async def wait(
        self, start: Callable[[], Coroutine[object, object, Result]]
    ) -> Result:
        """Await a coroutine, which is cancelled if the scheduler abandons the attempt.

        :param start: creates the coroutine
        :raises TimeoutError: if the attempt is abandoned
        """
        if self._bound_ms is None:
            return await start()
        task = asyncio.create_task(start())
        started_ms = self._clock.now_ms()
        wait_ms = self._bound_ms
        try:
            while True:
                await asyncio.wait((task,), timeout=wait_ms / MS_PER_SECOND)
                if task.done():
                    return task.result()
                silent_ms = self._clock.now_ms() - started_ms
                verdict = await self._ticket.judge_silence(self._attempt_id, silent_ms)
                is_abandoned = verdict is SilenceVerdict.ABANDON
                if task.done():
                    # The result came while the scheduler was consulted. Dropping it
                    # would leave its connection open and the upstream working in vain.
                    return task.result()
                if wait_ms == self._bound_ms or is_abandoned:
                    self._log_verdict(silent_ms, verdict)
                if is_abandoned:
                    raise TimeoutError
                wait_ms = SILENCE_RECHECK_MS
        finally:
            if not task.done():
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)

    def _log_verdict(self, silent_ms: float, verdict: SilenceVerdict) -> None:
        """Log a verdict: the first one, or the one that abandons the attempt."""
        log_event(
            "attempt_silent",
            request=self._call_id,
            silent_ms=silent_ms,
            verdict=verdict.value,
        )


__all__ = ("NoWatch", "SilenceWatch")
