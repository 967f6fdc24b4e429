"""Log of the cache events of a stand-in engine."""

from __future__ import annotations

from collections import deque
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple, TypedDict

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_EVENTS = 10_000


class CacheEventKind(StrEnum):
    """Kind of change of a cached prefix."""

    CACHED = "cached"
    EVICTED = "evicted"


class CacheEventBody(TypedDict):
    """One event in the response of ``GET /v1/cache_events``."""

    sequence: int
    kind: str
    prefix_hash: int


class CacheEvent(NamedTuple):
    """A change of the prefix cache.

    :param sequence: number of the event in this incarnation of the engine, from 1
    """

    sequence: int
    kind: CacheEventKind
    prefix_hash: int
    at_ms: float

    def to_body(self) -> CacheEventBody:
        """:returns: the event as in the response of ``GET /v1/cache_events``"""
        return {
            "sequence": self.sequence,
            "kind": self.kind.value,
            "prefix_hash": self.prefix_hash,
        }


class CacheEventLog:
    """Numbers events and keeps the last ``MAX_EVENTS``; slow readers see a gap."""

    def __init__(self) -> None:
        self._events: deque[CacheEvent] = deque(maxlen=MAX_EVENTS)
        self._n_events = 0

    def add(self, cached: Iterable[int], evicted: Iterable[int], now_ms: float) -> None:
        """Record the changes of the cache in one step."""
        for prefix_hash in cached:
            self._add(CacheEventKind.CACHED, prefix_hash, now_ms)
        for prefix_hash in evicted:
            self._add(CacheEventKind.EVICTED, prefix_hash, now_ms)

    def read(
        self, after: int, *, until_ms: float, gap: int = 0
    ) -> tuple[CacheEvent, ...]:
        """:returns: the events after number ``after``, oldest first

        :param until_ms: later events are left out
        :param gap: events whose number is a multiple of it are left out; 0: none
        """
        return tuple(
            event
            for event in self._events
            if event.sequence > after
            and event.at_ms <= until_ms
            and not (gap and event.sequence % gap == 0)
        )

    def _add(self, kind: CacheEventKind, prefix_hash: int, now_ms: float) -> None:
        self._n_events += 1
        event = CacheEvent(self._n_events, kind, prefix_hash, now_ms)
        self._events.append(event)


__all__ = ("CacheEvent", "CacheEventBody", "CacheEventKind", "CacheEventLog")
