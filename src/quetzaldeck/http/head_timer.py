"""The time that the head of a request may take."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.clock.clock import MS_PER_SECOND

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

N_STEPS = 20
"""Steps in which the time is waited; one that ends late counts as one, as the rest of
the head may have arrived while this process was paused. There is one more, as a head
that takes all the time it has arrives a little later."""


class HeadTimer:
    """Ends a head that does not.

    :param read_timeout_ms: returns the time that a head may take
    :param is_serving: whether a response is under way, which must not be cut off
    :param on_end: called when the time is over
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        *,
        read_timeout_ms: Callable[[], float],
        is_serving: Callable[[], bool],
        on_end: Callable[[], object],
    ) -> None:
        self._loop = loop
        self._read_timeout_ms = read_timeout_ms
        self._is_serving = is_serving
        self._on_end = on_end
        self._timer: asyncio.TimerHandle | None = None
        self._n_steps_left = 0

    @property
    def is_running(self) -> bool:
        """:returns: whether a head arrives"""
        return self._timer is not None

    def start(self) -> None:
        """Start with the first byte of a head; does nothing while it runs."""
        if self._timer is None:
            self._n_steps_left = N_STEPS + 1
            self._wait_step()

    def cancel(self) -> None:
        """Stop, as the head is complete or its connection closed."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def close(self) -> None:
        """Stop for good, and forget the callbacks: they refer to the connection."""
        self.cancel()
        self._is_serving = self._on_end = _do_nothing

    def _wait_step(self) -> None:
        step_s = self._read_timeout_ms() / N_STEPS / MS_PER_SECOND
        self._timer = self._loop.call_later(step_s, self._end_step)

    def _end_step(self) -> None:
        if self._is_serving():
            self._n_steps_left = N_STEPS + 1
        self._n_steps_left -= 1
        if self._n_steps_left:
            self._wait_step()
            return
        self._timer = None
        self._on_end()


def _do_nothing() -> bool:
    """Take the place of a callback that is not called any more."""
    return False


__all__ = ("HeadTimer",)
