"""When something last happened to each request, for a limited number of requests."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


class RecentTimes:
    """Latest time by fingerprint; those that were noted longest ago are dropped.

    :param max_entries: maximum number of requests remembered
    """

    def __init__(self, max_entries: int) -> None:
        self._max_entries = max_entries
        self._times_ms: OrderedDict[int, float] = OrderedDict()

    def find(self, fingerprint: int) -> float:
        """:returns: the time, in milliseconds; minus infinity if there is none"""
        return self._times_ms.get(fingerprint, -math.inf)

    def note(self, fingerprint: int, at_ms: float) -> None:
        """Record a time, unless a later one is known."""
        self._times_ms[fingerprint] = max(at_ms, self.find(fingerprint))
        self._times_ms.move_to_end(fingerprint)
        while len(self._times_ms) > self._max_entries:
            self._times_ms.popitem(last=False)

    def list_since(self, begin_ms: float) -> Iterator[int]:
        """:returns: fingerprints with a later time"""
        return (f for f, at_ms in self._times_ms.items() if at_ms > begin_ms)


__all__ = ("RecentTimes",)
