"""Runs services in separate threads, so that the CPU time of each can be measured."""

from __future__ import annotations

import asyncio
import threading
import time
from typing import TYPE_CHECKING

import uvloop

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from types import TracebackType
    from typing import Any, TypeVar

    from quetzaldeck.http import HttpServiceBase

    T = TypeVar("T")


class LoopThread:
    """A thread that runs its own event loop.

    Its CPU time is that of the service alone; time spent waiting for other threads
    does not count.
    """

    def __init__(self) -> None:
        self._loop = uvloop.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)

    def __enter__(self) -> LoopThread:
        self._thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def run(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """:returns: the result of ``coroutine``, run on this thread's event loop"""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()

    def cpu_ms(self) -> float:
        """:returns: CPU time used by the thread, in milliseconds"""
        assert self._thread.ident is not None
        clock_id = time.pthread_getcpuclockid(self._thread.ident)
        return time.clock_gettime(clock_id) * 1_000


class ServiceThread(LoopThread):
    """A thread that runs a service while the context is open."""

    def __init__(self, service: HttpServiceBase) -> None:
        super().__init__()
        self._service = service

    @property
    def service(self) -> HttpServiceBase:
        """:returns: the service"""
        return self._service

    def __enter__(self) -> ServiceThread:
        super().__enter__()
        self.run(self._service.start())
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.run(self._service.stop())
        super().__exit__(exc_type, exc, traceback)


__all__ = ("LoopThread", "ServiceThread")
