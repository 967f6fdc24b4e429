"""Replay protection by sequence numbers of one sender."""

from __future__ import annotations

WINDOW_SIZE = 1_024


class ReplayWindow:
    """Accepts each sequence number once, in any order within the window.

    Sequence numbers, unlike timestamps, need no synchronised clocks, and leave no
    period in which a replayed message is accepted.
    """

    def __init__(self) -> None:
        self._highest = 0
        self._seen = 0

    def accept(self, number: int) -> bool:
        """Mark ``number`` as seen.

        :returns: whether it had not been seen before
        """
        if number <= 0:
            return False
        if number > self._highest:
            shift = min(number - self._highest, WINDOW_SIZE)
            self._seen = ((self._seen << shift) | 1) & ((1 << WINDOW_SIZE) - 1)
            self._highest = number
            return True
        bit = 1 << (self._highest - number)
        # A number below the window may have been seen and is therefore refused.
        if self._highest - number >= WINDOW_SIZE or self._seen & bit:
            return False
        self._seen |= bit
        return True


__all__ = ("WINDOW_SIZE", "ReplayWindow")
