"""A timeout for what arrives at this process, whose event loop may be late."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzaldeck.clock.clock import MS_PER_SECOND, Clock

if TYPE_CHECKING:
    from types import TracebackType

N_STEPS = 20
"""Several times the iterations of the event loop in which a connection is established
and the head of a short response is read."""


class RunningTimeout:
    """Cancels its body after a time during which the event loop has run.

    If the processor of a VM is busy elsewhere, both the response and the end of the
    timeout are overdue once the event loop runs again, and the timer may come first: a
    sound upstream would seem to be unreachable. So the time is waited in steps, and a
    step that ends late counts as one. Between two steps the event loop processes what
    has arrived; if the last one ends late by more than its length, one more follows.

    :param timeout_ms: time after which the body is cancelled if no step is late
    """

    def __init__(self, timeout_ms: float) -> None:
        self._clock = Clock()
        self._step_ms = timeout_ms / N_STEPS
        self._due_ms = 0.0
        self._n_left = N_STEPS
        self._timeout = asyncio.timeout(None)
        self._timer: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> None:
        await self._timeout.__aenter__()
        self._wait_step()

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._timer is not None:
            self._timer.cancel()
        await self._timeout.__aexit__(exc_type, exc, traceback)

    def _wait_step(self) -> None:
        loop = asyncio.get_running_loop()
        self._due_ms = self._clock.now_ms() + self._step_ms
        self._timer = loop.call_later(self._step_ms / MS_PER_SECOND, self._end_step)

    def _end_step(self) -> None:
        self._n_left -= 1
        is_late = self._clock.now_ms() > self._due_ms + self._step_ms
        if self._n_left > 0 or (self._n_left == 0 and is_late):
            self._wait_step()
        else:
            self._timeout.reschedule(asyncio.get_running_loop().time())


__all__ = ("RunningTimeout",)
