"""Waits for an upstream's next bytes, and consults the scheduler while none come."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING, TypeVar

from quetzaldeck.clock.clock import MS_PER_SECOND
from quetzaldeck.decisions.silence.verdict import SilenceVerdict
from quetzaldeck.decisions.silence_thresholds import SILENCE_RECHECK_MS
from quetzaldeck.telemetry import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from quetzaldeck.clock import Clock
    from quetzaldeck.gateway.ticket import Ticket

Result = TypeVar("Result")


class SilenceWatch:
    """Asks the scheduler what to do about one attempt while its upstream is silent.

    The attempt keeps running whatever the verdict, as a healthy upstream may be silent
    for a second. Of several attempts, the first that writes ends the others.

    :param ticket: the scheduler's handle for the request
    :param attempt_id: the attempt
    :param call_id: the caller's id of the request, for the logs
    :param bound_ms: silence after which the scheduler is consulted; ``None``: never
    :param on_verdict: called with each verdict
    """

    def __init__(
        self,
        ticket: Ticket,
        clock: Clock,
        attempt_id: str,
        call_id: str,
        bound_ms: float | None,
        on_verdict: Callable[[SilenceVerdict], None],
    ) -> None:
        self._ticket = ticket
        self._clock = clock
        self._attempt_id = attempt_id
        self._call_id = call_id
        self._bound_ms = bound_ms
        self._on_verdict = on_verdict
        # Of the waits since the last progress.
        self._waited_ms = 0.0
        self._next_check_ms = bound_ms or 0.0
        self._logged: SilenceVerdict | None = None

    async def wait(
        self,
        start: Callable[[], Coroutine[object, object, Result]],
        *,
        goes_on: bool = False,
    ) -> Result:
        """Await a coroutine, and consult the scheduler until the attempt is replaced.

        A verdict that is under way when the coroutine ends is still awaited: it may
        have queued another attempt.

        :param start: creates the coroutine
        :param goes_on: whether the last wait brought bytes, but no progress: the
            silence goes on, and the attempt is not replaced twice
        """
        if self._bound_ms is None:
            return await start()
        if not goes_on:
            self._waited_ms = 0.0
            self._next_check_ms = self._bound_ms
            self._logged = None
        elif self._logged is SilenceVerdict.REPLACE:
            return await start()
        judging: asyncio.Task[None] | None = None
        has_ended = asyncio.Event()
        begun_ms = self._clock.now_ms()
        started_ms = begun_ms - self._waited_ms

        def judge() -> None:
            nonlocal judging
            judging = asyncio.create_task(self._judge(started_ms, has_ended))

        loop = asyncio.get_running_loop()
        delay_ms = max(0.0, self._next_check_ms - self._waited_ms)
        timer = loop.call_later(delay_ms / MS_PER_SECOND, judge)
        try:
            return await start()
        except asyncio.CancelledError:
            if judging is not None:
                judging.cancel()
            raise
        finally:
            timer.cancel()
            has_ended.set()
            self._waited_ms += self._clock.now_ms() - begun_ms
            if judging is not None:
                await judging

    async def _judge(self, started_ms: float, has_ended: asyncio.Event) -> None:
        """Consult the scheduler until the wait ends, or the attempt is replaced."""
        while not has_ended.is_set():
            silent_ms = self._clock.now_ms() - started_ms
            verdict = await self._ticket.judge_silence(self._attempt_id, silent_ms)
            is_replaced = verdict is SilenceVerdict.REPLACE
            self._next_check_ms = silent_ms + SILENCE_RECHECK_MS
            if self._logged is None or (is_replaced and self._logged is not verdict):
                self._logged = verdict
                self._log_verdict(silent_ms, verdict)
            self._on_verdict(verdict)
            if is_replaced:
                return
            with suppress(TimeoutError):
                async with asyncio.timeout(SILENCE_RECHECK_MS / MS_PER_SECOND):
                    await has_ended.wait()

    def _log_verdict(self, silent_ms: float, verdict: SilenceVerdict) -> None:
        """Log a verdict: the first one, or the one that replaces the attempt."""
        log_event(
            "attempt_silent",
            request=self._call_id,
            silent_ms=silent_ms,
            verdict=verdict.value,
        )


__all__ = ("SilenceWatch",)
