"""When something last happened to each key, for a limited number of keys."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterator

Key = TypeVar("Key")


class RecentTimes(Generic[Key]):
    """Latest time by key; those that were noted longest ago are dropped.

    :param max_entries: maximum number of keys remembered
    """

    def __init__(self, max_entries: int) -> None:
        self._max_entries = max_entries
        self._times_ms: OrderedDict[Key, float] = OrderedDict()

    def find(self, key: Key) -> float:
        """:returns: the time, in milliseconds; minus infinity if there is none"""
        return self._times_ms.get(key, -math.inf)

    def note(self, key: Key, at_ms: float) -> None:
        """Record a time, unless a later one is known."""
        self._times_ms[key] = max(at_ms, self.find(key))
        self._times_ms.move_to_end(key)
        while len(self._times_ms) > self._max_entries:
            self._times_ms.popitem(last=False)

    def list_since(self, begin_ms: float) -> Iterator[Key]:
        """:returns: keys with a later time"""
        return (key for key, at_ms in self._times_ms.items() if at_ms > begin_ms)


__all__ = ("RecentTimes",)
