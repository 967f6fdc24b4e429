"""Records the events of one run in memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzaldeck.clock import Clock
    from quetzaldeck.history.events import Event


class Recorder:
    """Collects events; all of them take their time stamps from its clock."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._events: list[Event] = []

    @property
    def events(self) -> list[Event]:
        """:returns: the events recorded so far, in the order of recording"""
        return list(self._events)

    def now_ms(self) -> float:
        """:returns: time stamp for an event that is recorded now"""
        return self._clock.now_ms()

    def record(self, event: Event) -> None:
        """Append an event."""
        self._events.append(event)


__all__ = ("Recorder",)
