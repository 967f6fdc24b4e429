"""Calls that continue after their caller disconnected."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzaldeck.telemetry import log_event

if TYPE_CHECKING:
    from types import TracebackType

    from quetzaldeck.gateway.in_flight import InFlightRequests


class DetachedCalls:
    """Keeps non-repeatable calls running until they end.

    A caller that gets no response in time disconnects and resends the call through
    another VM. If the first call were aborted then, its answer would be lost: the
    caller could neither receive it nor learn whether the call has run.

    :param in_flight: tracks the calls, so that a shutdown waits for them
    """

    def __init__(self, in_flight: InFlightRequests) -> None:
        self._in_flight = in_flight
        self._tasks: set[asyncio.Task[object]] = set()

    async def __aenter__(self) -> DetachedCalls:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def add(self, request_id: str, task: asyncio.Task[object]) -> None:
        """Keep ``task`` running although the caller of ``request_id`` disconnected."""
        tracked = self._in_flight.track(f"{request_id}/late", task=task)
        tracked.__enter__()
        self._tasks.add(task)

        def note_end(ended: asyncio.Task[object]) -> None:
            tracked.__exit__(None, None, None)
            self._tasks.discard(ended)
            is_answered = not ended.cancelled() and ended.exception() is None
            log_event("late_call", request=request_id, is_answered=is_answered)

        task.add_done_callback(note_end)


__all__ = ("DetachedCalls",)
