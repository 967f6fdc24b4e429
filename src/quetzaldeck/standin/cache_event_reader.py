"""Serves the cache events of a stand-in engine, subject to its faults."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzaldeck.clock import Clock
    from quetzaldeck.standin.cache_events import CacheEventLog
    from quetzaldeck.standin.faults import EngineFaults
    from quetzaldeck.upstreams.wire import (
        CacheCursorBody,
        CacheEventBody,
        CacheEventsBody,
    )

MAX_EVENTS_IN_ANSWER = 64


class CacheEventReader:
    """Reads the cache events of one incarnation of an engine.

    :param incarnation: id of the incarnation
    :param read_faults: returns the current persistent faults
    """

    def __init__(
        self,
        incarnation: str,
        events: CacheEventLog,
        clock: Clock,
        read_faults: Callable[[], EngineFaults],
    ) -> None:
        self._incarnation = incarnation
        self._events = events
        self._clock = clock
        self._read_faults = read_faults

    def read(self, after: int) -> list[CacheEventBody]:
        """:returns: the events after the sequence number ``after``"""
        faults = self._read_faults()
        events = self._events.read(
            after,
            until_ms=self._clock.now_ms() - faults.cache_event_lag_ms,
            gap=faults.cache_event_gap,
        )
        return [event.to_body() for event in events]

    def read_newest(self, cursor: CacheCursorBody) -> CacheEventsBody:
        """:returns: the last ``MAX_EVENTS_IN_ANSWER`` events after ``cursor``"""
        is_same = cursor["incarnation"] == self._incarnation
        events = self.read(cursor["sequence"] if is_same else 0)
        return {
            "incarnation": self._incarnation,
            "events": events[-MAX_EVENTS_IN_ANSWER:],
        }


__all__ = ("MAX_EVENTS_IN_ANSWER", "CacheEventReader")
