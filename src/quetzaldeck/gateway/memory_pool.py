"""Memory for the bodies of all requests in progress together.

Load pattern: many callers send long bodies at once, each of which is allowed. A VM
holds a body until its call has ended, as it may have to be sent again, so that together
they exceed the memory, and all calls end with the process.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.running_timeout import RunningTimeout

if TYPE_CHECKING:
    from types import TracebackType

MAX_WAIT_MS = 500.0
"""Half of the second after which callers give up a request that is not read."""


class BodyMemoryError(Exception):
    """There is no memory for a body."""


class _Waiting(NamedTuple):
    n_bytes: int
    granted: asyncio.Future[None]


class BodyMemory:
    """Grants memory in the order in which requests ask for it.

    :param max_bytes: of all bodies together; a longer one is held alone
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._n_held = 0
        self._waiting: deque[_Waiting] = deque()

    @property
    def n_held(self) -> int:
        """:returns: bytes granted"""
        return self._n_held

    def open(self) -> HeldBody:
        """:returns: the memory of one body, which is released on exit"""
        return HeldBody(self)

    async def acquire(self, n_bytes: int) -> None:
        """Wait for memory.

        :raises BodyMemoryError: if there is none in time
        """
        if not self._waiting and self._has_room(n_bytes):
            self._n_held += n_bytes
            return
        granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiting = _Waiting(n_bytes, granted)
        self._waiting.append(waiting)
        try:
            async with RunningTimeout(MAX_WAIT_MS):
                await granted
        except BaseException as error:
            if granted.done() and not granted.cancelled():
                self.release(n_bytes)
            else:
                self._waiting.remove(waiting)
                self._grant()
            if isinstance(error, TimeoutError):
                raise self._build_error(n_bytes) from None
            raise

    def acquire_now(self, n_bytes: int) -> None:
        """Take memory for a body that grows.

        It does not wait: bodies that each wait for the rest of the others' memory would
        never go on.

        :raises BodyMemoryError: if there is none
        """
        if not self._has_room(n_bytes):
            raise self._build_error(n_bytes)
        self._n_held += n_bytes

    def release(self, n_bytes: int) -> None:
        """Return memory."""
        self._n_held -= n_bytes
        self._grant()

    def _has_room(self, n_bytes: int) -> bool:
        return not self._n_held or self._n_held + n_bytes <= self._max_bytes

    def _grant(self) -> None:
        while self._waiting and self._has_room(self._waiting[0].n_bytes):
            waiting = self._waiting.popleft()
            self._n_held += waiting.n_bytes
            waiting.granted.set_result(None)

    def _build_error(self, n_bytes: int) -> BodyMemoryError:
        msg = (
            f"no memory for {n_bytes} bytes of a body: {self._n_held} of "
            f"{self._max_bytes} are held"
        )
        return BodyMemoryError(msg)


class HeldBody:
    """The memory of one body; a context manager that releases it."""

    def __init__(self, memory: BodyMemory) -> None:
        self._memory = memory
        self._n_held = 0

    def __enter__(self) -> HeldBody:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._n_held:
            self._memory.release(self._n_held)

    async def reserve(self, n_bytes: int) -> None:
        """Wait for the memory of a body whose length is known.

        :raises BodyMemoryError: if there is none in time
        """
        await self._memory.acquire(n_bytes)
        self._n_held = n_bytes

    def grow_to(self, n_bytes: int) -> None:
        """Take memory for what has arrived of a body whose length is not known.

        :raises BodyMemoryError: if there is none
        """
        if n_bytes > self._n_held:
            self._memory.acquire_now(n_bytes - self._n_held)
            self._n_held = n_bytes


__all__ = ("BodyMemory", "BodyMemoryError", "HeldBody")
