"""Engines that answer requests but refuse to read parts of prompts that others answer.

Load pattern: a quarter of the engines leaves while the store is away. They answer what
is sent to them until they are gone, and refuse to help. A long prompt names sixteen
helpers, so that each attempt has some of them among it, is refused as a whole, and is
sent again with others of them, until its retries are spent.

A refusal names the engine that refused, which is named no more for a while, by this VM
and by those that it tells. A helper that is full refuses as well, but not for long: if
it has many parts to read by what VMs told each other, nothing is concluded.
"""

from __future__ import annotations

HELP_REFUSAL_HOLD_MS = 4_000.0
"""Time for which an engine is not named as a helper after it refused. One that leaves
is gone or known to leave by then; leaving out one that is not costs little."""

FULL_LOAD_SHARE = 0.5
"""Part of the parts that an engine takes at a time, from which a refusal is explained
by them: what other VMs have sent meanwhile is not known yet."""


class HelpRefusals:
    """The last refusal of one engine, as this VM saw it."""

    def __init__(self) -> None:
        self._until_ms = float("-inf")

    def note(self, n_parts: int, max_parts: int, now_ms: float) -> None:
        """Take a refusal.

        :param n_parts: parts that the engine had to read, as far as is known
        :param max_parts: parts that it reads at a time
        """
        if n_parts < FULL_LOAD_SHARE * max_parts:
            self._until_ms = now_ms + HELP_REFUSAL_HOLD_MS

    def is_refusing(self, now_ms: float) -> bool:
        """:returns: whether it is not to be named"""
        return now_ms < self._until_ms


__all__ = ("FULL_LOAD_SHARE", "HELP_REFUSAL_HOLD_MS", "HelpRefusals")
