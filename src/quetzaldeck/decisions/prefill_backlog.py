"""Estimates how long an engine still needs to prefill the prompts sent to it.

Load pattern: prompts of 100,000 to 600,000 tokens, each prefilled for seconds by
several engines, arrive in bursts through several VMs. A VM knows at once what was sent,
but learns only from the first token that a prompt has been prefilled. If a prompt
counted in full until then, an engine that has nearly finished it would seem to have the
whole prompt left to prefill, and a moment later none. All requests that wait for
capacity at several VMs would then start at the same moment.

So prompts are assumed to be prefilled one after the other at the configured speed. If
that takes longer, because the engine also generates tokens or is slow, a share of the
prompts without a first token continues to count.
"""

from __future__ import annotations

MIN_REMAINING_SHARE = 0.25
"""Share of the work without a first token that counts at the least, even if the
configured speed implies that it is finished."""


class PrefillBacklog:
    """Prefill work of one engine, in milliseconds."""

    def __init__(self) -> None:
        self._finish_ms = 0.0

    def add(self, work_ms: float, now_ms: float) -> None:
        """Append work, which starts when all earlier work is finished."""
        self._finish_ms = max(self._finish_ms, now_ms) + work_ms

    def remaining_ms(self, unprefilled_ms: float, now_ms: float) -> float:
        """:returns: estimated time until all prompts are prefilled

        :param unprefilled_ms: work of all prompts sent that have no first token yet
        """
        expected_remaining_ms = max(0.0, self._finish_ms - now_ms)
        return min(
            unprefilled_ms,
            max(expected_remaining_ms, MIN_REMAINING_SHARE * unprefilled_ms),
        )


__all__ = ("MIN_REMAINING_SHARE", "PrefillBacklog")
