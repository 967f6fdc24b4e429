"""Changes to an engine's prefix cache, as published by the engine."""

from __future__ import annotations

from typing import NamedTuple


class CacheEvent(NamedTuple):
    """A prefix was added to or evicted from the cache.

    :param sequence: number of the event within the incarnation, starting at 1
    :param is_cached: whether the prefix was added; otherwise it was evicted
    """

    sequence: int
    is_cached: bool
    prefix_hash: int


class CacheEvents(NamedTuple):
    """Events of one engine, oldest first; may be late, duplicated or incomplete."""

    upstream: str
    incarnation: str
    events: tuple[CacheEvent, ...]


class CacheCursor(NamedTuple):
    """Position of a reader in the event stream: the last event it has seen."""

    incarnation: str = ""
    sequence: int = 0

    def after(self, events: CacheEvents) -> CacheCursor:
        """:returns: the cursor after processing ``events``"""
        if not events.events:
            return self
        sequence = events.events[-1].sequence
        if events.incarnation == self.incarnation:
            sequence = max(sequence, self.sequence)
        return CacheCursor(events.incarnation, sequence)


__all__ = ("CacheCursor", "CacheEvent", "CacheEvents")
