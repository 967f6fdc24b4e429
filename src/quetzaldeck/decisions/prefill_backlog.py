"""How long an engine still needs for the prompts that it was sent.

Load pattern: prompts of 100,000 to 600,000 tokens, each read for seconds by several
engines, come in bursts through as many VMs. What was sent is known at once, but that it
is read only by its first token: counted whole until then, an engine seems to have all
of a prompt before it while it reads the end of it, and nothing a moment later. All that
waited for room at several VMs then begins in the same moment.

So what was sent is taken to be read one after the other at the speed that the operator
states. If it takes longer, since the engine writes as well or is slow, a part of what
has no first token yet goes on counting.
"""

from __future__ import annotations

MIN_REMAINING_SHARE = 0.25
"""Part of what has no first token yet that counts at the least, though by the stated
speed it should be read."""


class PrefillBacklog:
    """Work of one engine, in milliseconds of reading."""

    def __init__(self) -> None:
        self._done_ms = 0.0

    def add(self, work_ms: float, now_ms: float) -> None:
        """Take work that was sent; it begins when all before it is done."""
        self._done_ms = max(self._done_ms, now_ms) + work_ms

    def left_ms(self, unread_ms: float, now_ms: float) -> float:
        """:returns: how long the engine needs for what is left

        :param unread_ms: all that was sent and has no first token yet
        """
        expected_ms = max(0.0, self._done_ms - now_ms)
        return min(unread_ms, max(expected_ms, MIN_REMAINING_SHARE * unread_ms))


__all__ = ("MIN_REMAINING_SHARE", "PrefillBacklog")
