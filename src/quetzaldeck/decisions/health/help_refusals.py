"""Engines that answer requests but refuse to prefill parts of other engines' prompts.

Failure scenario: a quarter of the engines shuts down while the store is unavailable.
Until they stop they answer the requests sent to them, but refuse to act as helpers. A
long prompt names sixteen helpers, so each attempt includes some of these engines, is
refused as a whole, and is retried with others of them until its retries are spent.

A refusal names the engine that refused. This VM, and the VMs that it informs, do not
choose that engine as a helper for a while. A helper at capacity refuses as well, but
only briefly: if the VMs know of many parts queued at it, the refusal is ignored.
"""

from __future__ import annotations

HELP_REFUSAL_HOLD_MS = 4_000.0
"""Time for which an engine is not chosen as a helper after it refused. By then an
engine that shuts down has stopped or is known to be leaving; skipping an engine that
does not shut down costs little."""

FULL_LOAD_SHARE = 0.5
"""Share of an engine's prompt-part capacity that must be known to be in use for a
refusal to count as overload. It is less than 1 since this VM does not know yet what
other VMs have just sent."""


class HelpRefusals:
    """The last refusal of one engine to act as a helper, as seen by this VM."""

    def __init__(self) -> None:
        self._until_ms = float("-inf")

    def note(self, n_parts: int, max_parts: int, now_ms: float) -> None:
        """Record a refusal unless the engine was busy.

        :param n_parts: prompt parts queued at the engine, as far as is known
        :param max_parts: prompt parts that it prefills at a time
        """
        if n_parts < FULL_LOAD_SHARE * max_parts:
            self._until_ms = now_ms + HELP_REFUSAL_HOLD_MS

    def is_refusing(self, now_ms: float) -> bool:
        """:returns: whether the engine must not be chosen as a helper"""
        return now_ms < self._until_ms


__all__ = ("FULL_LOAD_SHARE", "HELP_REFUSAL_HOLD_MS", "HelpRefusals")
