"""What watches an upstream while its next bytes are awaited."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol, TypeVar

from quetzaldeck.running_timeout import RunningTimeout

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

Result = TypeVar("Result")


class Watch(Protocol):
    """Awaits the next bytes of an upstream, and acts while none come."""

    async def wait(
        self, start: Callable[[], Coroutine[object, object, Result]]
    ) -> Result:
        """:returns: the result of the coroutine that ``start`` creates"""


class ProgressWatch(Watch, Protocol):
    """A watch for which bytes that bring no progress do not end a silence."""

    async def wait(
        self,
        start: Callable[[], Coroutine[object, object, Result]],
        *,
        goes_on: bool = False,
    ) -> Result:
        """:returns: the result of the coroutine that ``start`` creates

        :param goes_on: whether the last wait brought bytes, but no progress
        """


class NoWatch:
    """Waits without a bound, where somebody else watches for silence."""

    async def wait(
        self,
        start: Callable[[], Coroutine[object, object, Result]],
        *,
        goes_on: bool = False,
    ) -> Result:
        """:returns: the result of the coroutine that ``start`` creates"""
        return await start()


class IdleTimeout:
    """Ends a wait; stalls of this process do not count as silence of the upstream.

    :param idle_ms: for the next bytes
    """

    def __init__(self, idle_ms: float) -> None:
        self._idle_ms = idle_ms

    async def wait(
        self, start: Callable[[], Coroutine[object, object, Result]]
    ) -> Result:
        """:returns: the result of the coroutine that ``start`` creates

        :raises TimeoutError: if it takes longer
        """
        async with RunningTimeout(self._idle_ms):
            return await start()


__all__ = ("IdleTimeout", "NoWatch", "ProgressWatch", "Watch")
