"""When an upstream that says nothing is left for another one.

Load pattern: two that look alike. An upstream hangs and will never answer: the sooner
its request goes elsewhere the better. Or all upstreams are busy, and parts of long
prompts go before what waits: then a request that is cut off has been read in vain, is
read again elsewhere, and makes all others wait for longer.

A fixed time limit cuts off attempts on busy engines though none hangs, and where the
retry budget is spent the caller gets an error in place of an answer that is on its way.

So an attempt is left only if what was to be read at its engines before it does not
explain the silence, and only if there is another upstream to which the request may be
sent: attempts, patience and budgets bear it. Else it goes on waiting, and is looked at
again. What engines are given later explains nothing: at one that is dead it only grows,
and would have all its callers wait until they hang up. Nor does anything explain a
silence of half a caller's patience: after that another upstream would be too late.
Whether another upstream has room at the moment does not count: what waits here goes to
the first that has.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzaldeck.decisions.placement.placer import Placer
    from quetzaldeck.decisions.retries.policy import RetryPolicy
    from quetzaldeck.decisions.tracked import TrackedRequest

FIRST_BYTE_TARGETS = 2.0
"""A first token that takes this many times its target is late for its caller twice
over; where another upstream may still be asked, it is."""

MIN_FIRST_BYTE_MS = 500.0
"""Least wait for a first byte: below it, a busy upstream looks like a silent one."""

GAP_TARGETS = 4.0
"""A stream that pauses for this many times the pause its caller bears has stopped, and
may go on elsewhere; callers leave after eight times."""

MIN_GAP_MS = 1_000.0
"""Least pause taken for a stop: an engine that reads a long prompt, or waits for a
helper that died, pauses for less."""

SILENCE_BACKLOGS = 3.0
"""A silence of this many times what was to be read at an engine is not explained by it.
In a burst of long prompts all engines are busy for seconds."""

MAX_PATIENCE_SHARE = 0.5
"""Part of a caller's patience that a backlog may take; the rest is for another one."""

LOOK_AGAIN_MS = 100.0
"""Time between two looks at an attempt that is silent for too long: a fifth of the
least wait, so that it adds little where an upstream hangs."""


def first_byte_bound_ms(target_ms: float) -> float:
    """:returns: silence before the first byte that is looked into"""
    return max(MIN_FIRST_BYTE_MS, FIRST_BYTE_TARGETS * target_ms)


def gap_bound_ms(max_gap_ms: float) -> float | None:
    """:returns: silence within a stream that is looked into; ``None``: none is"""
    return max(MIN_GAP_MS, GAP_TARGETS * max_gap_ms) if max_gap_ms else None


class SilenceVerdict(StrEnum):
    """What becomes of an attempt that is silent."""

    LEFT = "left"
    BACKLOG = "backlog"
    NO_RETRY = "no_retry"
    NO_OTHER = "no_other"


class SilenceJudge:
    """Tells silent upstreams from busy ones.

    :param placer: knows whether there is another upstream
    :param retries: knows whether the request may be sent again
    """

    def __init__(self, *, placer: Placer, retries: RetryPolicy) -> None:
        self._placer = placer
        self._retries = retries

    @staticmethod
    def is_unanswered(tracked: TrackedRequest, now_ms: float) -> bool:
        """:returns: whether an attempt runs that has said nothing for too long"""
        if not tracked.attempt_id or tracked.first_token_ms is not None:
            return False
        silent_ms = now_ms - tracked.dispatched_ms
        return silent_ms >= first_byte_bound_ms(tracked.request.target_ms)

    def judge(
        self, tracked: TrackedRequest, silent_ms: float, now_ms: float
    ) -> SilenceVerdict:
        """:returns: whether the running attempt is left, or why it is waited for

        :param silent_ms: time since the attempt last said anything, or began
        """
        request = tracked.request
        explained_ms = SILENCE_BACKLOGS * tracked.backlog_ms
        if request.caller_idle_timeout_ms:
            patience_ms = MAX_PATIENCE_SHARE * request.caller_idle_timeout_ms
            explained_ms = min(explained_ms, patience_ms)
        if silent_ms < explained_ms:
            return SilenceVerdict.BACKLOG
        if tracked.first_token_ms is not None:
            request = request._replace(last_token_ms=now_ms)
        if not self._retries.may_retry(request, tracked.history, now_ms):
            return SilenceVerdict.NO_RETRY
        avoided = (*tracked.history.avoided, *tracked.upstreams)
        if not self._placer.has_other(request, avoided):
            return SilenceVerdict.NO_OTHER
        return SilenceVerdict.LEFT


__all__ = (
    "LOOK_AGAIN_MS",
    "SilenceJudge",
    "SilenceVerdict",
    "first_byte_bound_ms",
    "gap_bound_ms",
)
