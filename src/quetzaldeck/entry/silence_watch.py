"""Waits for an upstream's next bytes, until the scheduler leaves it for another one."""

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

Answered = TypeVar("Answered")


class SilenceWatch:
    """Bounds the waits of one attempt.

    :param ticket: the request, by which the scheduler is asked
    :param attempt_id: the attempt
    :param call_id: the caller's id of the request, for the logs
    :param bound_ms: silence after which the scheduler is asked; ``None``: it never is
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
        self, begin: Callable[[], Coroutine[object, object, Answered]]
    ) -> Answered:
        """Wait for a coroutine that is not cut off before its attempt is left.

        :param begin: gives the coroutine
        :raises TimeoutError: if the attempt is to be left
        """
        if self._bound_ms is None:
            return await begin()
        task = asyncio.create_task(begin())
        began_ms = self._clock.now_ms()
        wait_ms = self._bound_ms
        try:
            while True:
                await asyncio.wait((task,), timeout=wait_ms / MS_PER_SECOND)
                if task.done():
                    return task.result()
                silent_ms = self._clock.now_ms() - began_ms
                verdict = await self._ticket.judge_silence(self._attempt_id, silent_ms)
                is_left = verdict is SilenceVerdict.ABANDON
                if task.done():
                    # It came while the scheduler was asked; dropped, its connection
                    # would stay open and the upstream at work for nobody.
                    return task.result()
                if wait_ms == self._bound_ms or is_left:
                    self._note(silent_ms, verdict)
                if is_left:
                    raise TimeoutError
                wait_ms = SILENCE_RECHECK_MS
        finally:
            if not task.done():
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)

    def _note(self, silent_ms: float, verdict: SilenceVerdict) -> None:
        """Say what the first look and the last one gave; others change nothing."""
        log_event(
            "attempt_silent",
            request=self._call_id,
            silent_ms=silent_ms,
            verdict=verdict.value,
        )


__all__ = ("SilenceWatch",)
