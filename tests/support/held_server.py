"""A server that answers while the event loop of the test is blocked."""

from __future__ import annotations

import asyncio
import threading
import time
from typing import TYPE_CHECKING, TypeVar

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine
    from types import TracebackType

    Answer = Callable[[web.Request], Awaitable[web.StreamResponse]]

Result = TypeVar("Result")

POLL_S = 0.001
STALL_FACTOR = 1.2
"""Length of a stall of the event loop, in timeouts."""
MAX_LATE_S = 1.0
"""How late the end of a timeout may be on a busy machine."""


class HeldServer:
    """HTTP server in a thread of its own, which holds its answers if told so.

    :param answer: answers any request, in that thread
    """

    def __init__(self, answer: Answer) -> None:
        self._answer = answer
        self._is_listening = threading.Event()
        self._has_arrived = threading.Event()
        self._is_released = threading.Event()
        self._is_released.set()
        self._loop = asyncio.new_event_loop()
        self._stop = asyncio.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._address = ""

    def __enter__(self) -> HeldServer:
        self._thread.start()
        self._is_listening.wait()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._is_released.set()
        self._loop.call_soon_threadsafe(self._stop.set)
        self._thread.join()

    @property
    def address(self) -> str:
        """:returns: host and port"""
        return self._address

    async def ask_beside_stall(
        self,
        asking: Coroutine[object, object, Result],
        timeout_ms: float,
        *,
        is_silent: bool = False,
    ) -> Result:
        """Block the event loop for longer than a timeout once a request has arrived.

        :param asking: sends one request; its timeout is ``timeout_ms``
        :param is_silent: whether the server never answers; otherwise its answer
            arrives while the event loop is blocked
        :returns: the result of ``asking``
        """
        self._has_arrived.clear()
        self._is_released.clear()
        task = asyncio.create_task(asking)
        while not self._has_arrived.is_set():
            await asyncio.sleep(POLL_S)
        if not is_silent:
            self._is_released.set()
        time.sleep(stall_s(timeout_ms))  # noqa: ASYNC251 - blocks the event loop
        return await task

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        self._has_arrived.set()
        while not self._is_released.is_set():
            await asyncio.sleep(POLL_S)
        return await self._answer(request)

    def _run(self) -> None:
        self._loop.run_until_complete(self._serve())
        self._loop.close()

    async def _serve(self) -> None:
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._handle)
        runner = web.AppRunner(app, shutdown_timeout=0.0)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        host, port = runner.addresses[0]
        self._address = f"{host}:{port}"
        self._is_listening.set()
        await self._stop.wait()
        await runner.cleanup()


def stall_s(timeout_ms: float) -> float:
    """:returns: for how long the event loop is blocked"""
    return timeout_ms / 1_000 * STALL_FACTOR


def check_silence_found(began_s: float, timeout_ms: float) -> None:
    """Check that a silent server was found in the timeout plus the stall.

    :param began_s: monotonic time at which the request was sent
    """
    spent_s = time.monotonic() - began_s - stall_s(timeout_ms)
    assert timeout_ms / 1_000 * 0.9 < spent_s < timeout_ms / 1_000 + MAX_LATE_S


__all__ = ("HeldServer", "check_silence_found")
