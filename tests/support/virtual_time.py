"""An event loop whose clock advances only when nothing else is left to do.

Several VMs, their replicas and callers share one event loop in many tests. In real
time a busy machine delays all of them together, in whatever order their timers come.
In virtual time processor time costs nothing, and timers fire in their order.
"""

from __future__ import annotations

import asyncio
import os
import selectors
import time
from typing import TYPE_CHECKING, Any, TypeVar
from unittest import mock

import uvloop

from quetzaldeck.clock import Clock
from quetzaldeck.clock.clock import MS_PER_SECOND

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from contextvars import Context

Result = TypeVar("Result")

IS_DEFAULT = os.environ.get("QUETZALDECK_REAL_TIME") != "1"
"""Whether tests of sites and fleets run in virtual time unless they say otherwise."""

BEGIN_S = 100_000.0
"""Virtual time at the start of a loop: that of a machine that booted a day ago."""

GRACE_S = 50e-6
"""Real time for which the kernel may deliver what was sent on the loopback device,
before the clock advances."""

RESOLUTION_S = time.get_clock_info("monotonic").resolution
"""How early the base class fires timers."""

WALL_OFFSET_MS = 1.7e12


class VirtualSelector(selectors.DefaultSelector):
    """Advances the time in place of waiting, once no file is ready.

    While a thread works for the loop its result is awaited in real time.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_s = BEGIN_S
        self.n_threads = 0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """:returns: the files that are ready; see the base class"""
        if timeout is not None and timeout <= 0:
            return super().select(0)
        if timeout is None or self.n_threads:
            return super().select(None)
        ready = super().select(0)
        if ready:
            return ready
        time.sleep(GRACE_S)
        ready = super().select(0)
        if not ready:
            self.now_s += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time."""

    def __init__(self) -> None:
        self._virtual = VirtualSelector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """:returns: the virtual time, in seconds"""
        return self._virtual.now_s

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Callable[..., object],
        *args: Any,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        """Call a function at a time, not before the clock has advanced.

        A timer that fires early leaves a rest of the wait. Who waits for the rest would
        do so for ever if that took no time.
        """
        when = max(when, self.time() + RESOLUTION_S)
        return super().call_at(when, callback, *args, context=context)

    def run_in_executor(  # type: ignore[override]
        self, executor: Any, func: Callable[..., Result], *args: Any
    ) -> asyncio.Future[Result]:
        """Run a function in a thread, for which the virtual time stands still."""
        future = super().run_in_executor(executor, func, *args)
        self._virtual.n_threads += 1
        future.add_done_callback(self._note_done)
        return future

    def _note_done(self, _: asyncio.Future[Any]) -> None:
        self._virtual.n_threads -= 1


def run_virtual(main: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine in virtual time, which every clock returns.

    :returns: its result
    """
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        loop = runner.get_loop()

        def now_ms(_: Clock) -> float:
            return loop.time() * MS_PER_SECOND

        def wall_ms(clock: Clock) -> float:
            return now_ms(clock) + WALL_OFFSET_MS

        with (
            # aiohttp reads the time for which connections are idle from another clock.
            mock.patch("aiohttp.connector.monotonic", loop.time),
            mock.patch.object(Clock, "now_ms", now_ms),
            mock.patch.object(Clock, "uptime_ms", now_ms),
            mock.patch.object(Clock, "wall_ms", wall_ms),
        ):
            return runner.run(main)


def run_by_default(main: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine in virtual time, unless the whole run is in real time.

    :returns: its result
    """
    return run_virtual(main) if IS_DEFAULT else uvloop.run(main)


__all__ = ("VirtualLoop", "run_by_default", "run_virtual")
