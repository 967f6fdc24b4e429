"""Memory for the bodies of all requests, or of all answers, in progress together.

Load pattern: many callers send long bodies at once, each of which is allowed, or ask
for long answers that they do not read. A VM holds a body until its call has ended, as
it may have to be sent again, and an answer until its caller has taken it. So together
they exceed the memory, and all calls end with the process.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from aiohttp import web

from quetzaldeck.running_timeout import RunningTimeout

if TYPE_CHECKING:
    from types import TracebackType

MAX_WAIT_MS = 500.0
"""Half of the second after which callers give up a request that is not read."""

SMALL_BYTES = 65_536
SMALL_SHARE = 0.25
"""Part of the memory that is kept for small ones; these do not wait for long ones."""


class NoMemoryError(Exception):
    """There is no memory for a body."""


class _Waiting(NamedTuple):
    n_bytes: int
    granted: asyncio.Future[None]


class MemoryPool:
    """Grants memory, long ones in the order in which they ask for it.

    :param max_bytes: of all together; a longer one is held alone
    :param max_wait_ms: how long one waits; ``None``: until it is cancelled
    """

    def __init__(
        self, max_bytes: int, *, max_wait_ms: float | None = MAX_WAIT_MS
    ) -> None:
        self._max_bytes = max_bytes
        self._max_wait_ms = max_wait_ms
        self._n_held = 0
        self._n_awaited = 0
        self._waiting: deque[_Waiting] = deque()

    @property
    def n_held(self) -> int:
        """:returns: bytes granted"""
        return self._n_held

    @property
    def is_awaited(self) -> bool:
        """:returns: whether somebody waits for memory"""
        return bool(self._waiting)

    def set_max_bytes(self, max_bytes: int) -> None:
        """Change the limit for what is granted from now on."""
        self._max_bytes = max_bytes
        self._grant()

    def open(self) -> HeldMemory:
        """:returns: the memory of one call, which is released on exit"""
        return HeldMemory(self)

    async def acquire(self, n_bytes: int) -> None:
        """Wait for memory.

        :raises NoMemoryError: if there is none in time, or so many wait already that
            there can be none
        """
        is_small = n_bytes <= SMALL_BYTES
        if (is_small or not self._waiting) and self._has_room(n_bytes):
            self._n_held += n_bytes
            return
        if self._max_wait_ms is not None and self._n_awaited > self._max_bytes:
            raise self._build_error(n_bytes)
        granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiting = _Waiting(n_bytes, granted)
        self._waiting.append(waiting)
        self._n_awaited += n_bytes
        try:
            await self._wait(granted)
        except BaseException as error:
            if granted.done() and not granted.cancelled():
                self.release(n_bytes)
            elif waiting in self._waiting:
                self._waiting.remove(waiting)
                self._n_awaited -= n_bytes
                self._grant()
            if isinstance(error, TimeoutError):
                raise self._build_error(n_bytes) from None
            raise

    def acquire_now(self, n_bytes: int) -> None:
        """Take memory for a body that grows.

        It does not wait: bodies that each wait for the rest of the others' memory would
        never go on.

        :raises NoMemoryError: if there is none
        """
        if not self._has_room(n_bytes):
            raise self._build_error(n_bytes)
        self._n_held += n_bytes

    def release(self, n_bytes: int) -> None:
        """Return memory."""
        self._n_held -= n_bytes
        self._grant()

    async def _wait(self, granted: asyncio.Future[None]) -> None:
        if self._max_wait_ms is None:
            await granted
            return
        async with RunningTimeout(self._max_wait_ms):
            await granted

    def _has_room(self, n_bytes: int) -> bool:
        share = 1.0 if n_bytes <= SMALL_BYTES else 1.0 - SMALL_SHARE
        n_after = self._n_held + n_bytes
        return not self._n_held or n_after <= self._max_bytes * share

    def _grant(self) -> None:
        while self._waiting and self._has_room(self._waiting[0].n_bytes):
            waiting = self._waiting.popleft()
            self._n_awaited -= waiting.n_bytes
            if not waiting.granted.cancelled():
                self._n_held += waiting.n_bytes
                waiting.granted.set_result(None)

    def _build_error(self, n_bytes: int) -> NoMemoryError:
        msg = (
            f"no memory for {n_bytes} bytes of a body: {self._n_held} of "
            f"{self._max_bytes} are held"
        )
        return NoMemoryError(msg)


class HeldMemory:
    """The memory of one call; a context manager that releases it."""

    def __init__(self, memory: MemoryPool) -> None:
        self._memory = memory
        self._n_held = 0
        self._is_closed = False

    def __enter__(self) -> HeldMemory:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._is_closed = True
        n_held, self._n_held = self._n_held, 0
        if n_held:
            self._memory.release(n_held)

    async def reserve(self, n_bytes: int) -> None:
        """Wait for memory, in addition to what is held.

        A call that goes on without its caller holds none.

        :raises NoMemoryError: if there is none in time
        """
        if self._is_closed:
            return
        await self._memory.acquire(n_bytes)
        if self._is_closed:
            self._memory.release(n_bytes)
        else:
            self._n_held += n_bytes

    def grow_to(self, n_bytes: int) -> None:
        """Take memory for what has arrived of a body whose length is not known.

        :raises NoMemoryError: if there is none
        """
        if n_bytes > self._n_held:
            self._memory.acquire_now(n_bytes - self._n_held)
            self._n_held = n_bytes


ANSWER_MEMORY = web.RequestKey("answer_memory", HeldMemory)
"""Where the memory of the answer to a request is found."""

__all__ = ("ANSWER_MEMORY", "HeldMemory", "MemoryPool", "NoMemoryError")
