"""Decides when another attempt is to replace one on a silent upstream.

Load pattern: two cases that look alike. An upstream hangs and will never respond; its
request should go elsewhere as soon as possible. Or all upstreams are busy, and parts of
long prompts are prefilled before waiting requests; abandoning a request then wastes its
prefill, which is repeated elsewhere and delays all other requests.

A fixed timeout abandons attempts on busy engines though none hangs, and when the retry
budget is spent, the caller gets an error instead of an answer that was under way.

So an attempt is replaced only if the prefill backlog of its engines at dispatch does
not explain the silence, and only if another upstream may get the request: the bounds on
attempts, the caller's idle timeout and the budgets must allow it. Otherwise the attempt
goes on and is rechecked later. Prompts that engines get after the dispatch do not count
as an explanation: on a dead engine that backlog only grows, and all its callers would
wait until they disconnect. No backlog explains a silence of half the caller's idle
timeout: a retry after that would come too late. It does not matter whether the other
upstream has capacity right now, since the request goes to the first one that has.

Healthy upstreams are occasionally silent for a second. So an attempt that is replaced
keeps running, and the first of the two that writes ends the other.

A request that is suspected of crashing upstreams runs once at a time. Its retry has to
wait until it is known whether the upstream has survived the attempt that is abandoned,
so the attempt keeps running for as long as that would take. If it is answered in that
time, the request is cleared.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.silence.verdict import SilenceVerdict
from quetzaldeck.decisions.silence_thresholds import (
    first_byte_threshold_ms,
    stream_gap_threshold_ms,
)

if TYPE_CHECKING:
    from quetzaldeck.decisions.attempts.tracked import TrackedRequest
    from quetzaldeck.decisions.placement.path_verdicts import PathVerdicts
    from quetzaldeck.decisions.placement.placer import Placer
    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.retries.policy import RetryPolicy

BACKLOG_FACTOR = 3.0
"""Multiple of the prefill backlog up to which it explains a silence. In a burst of long
prompts all engines are busy for seconds."""

MAX_BACKLOG_SHARE = 0.5
"""Part of the caller's idle timeout that a backlog may use up; the rest is left for a
retry on another upstream."""


class SilencePolicy:
    """Distinguishes hanging upstreams from busy ones.

    :param placer: finds whether there is another upstream
    :param paths: which services this VM reaches
    :param retries: decides whether the request may be retried
    """

    def __init__(
        self, *, placer: Placer, paths: PathVerdicts, retries: RetryPolicy
    ) -> None:
        self._placer = placer
        self._paths = paths
        self._retries = retries

    @staticmethod
    def is_first_token_overdue(tracked: TrackedRequest, now_ms: float) -> bool:
        """:returns: whether the running attempt exceeds its first-byte threshold

        False if no attempt runs.
        """
        if not tracked.attempt_id or tracked.first_token_ms is not None:
            return False
        silent_ms = now_ms - tracked.dispatched_ms
        return silent_ms >= first_byte_threshold_ms(tracked.request.target_ms)

    def judge(
        self, tracked: TrackedRequest, silent_ms: float, now_ms: float
    ) -> SilenceVerdict:
        """:returns: whether another attempt may replace the running one, or why not

        :param silent_ms: time since the last byte from the attempt, or since it began
        """
        request = tracked.request
        if self._paths.check(request) is not None:
            may_leave = request.is_repeatable
            return SilenceVerdict.NO_PATH if may_leave else SilenceVerdict.NO_RETRY
        explained_ms = BACKLOG_FACTOR * tracked.backlog_ms
        if request.connection_idle_ms:
            # Upstreams that are busy send heartbeats.
            explained_ms = 0.0
        if request.caller_idle_timeout_ms:
            max_explained_ms = MAX_BACKLOG_SHARE * request.caller_idle_timeout_ms
            explained_ms = min(explained_ms, max_explained_ms)
        if silent_ms < explained_ms:
            return SilenceVerdict.BACKLOG
        hold_ms = self._placer.retry_hold_ms(request, tracked.upstreams, now_ms)
        if hold_ms and silent_ms < _threshold_ms(tracked) + hold_ms:
            return SilenceVerdict.HELD
        if tracked.first_token_ms is not None:
            request = request._replace(last_token_ms=now_ms)
        if not self._retries.may_retry(request, tracked.history, now_ms):
            return SilenceVerdict.NO_RETRY
        avoided = (*tracked.history.avoided, *tracked.upstreams)
        if _may_have_lost_connection(request, silent_ms):
            # The same upstream may answer on another connection.
            avoided = ()
        if not self._placer.has_alternative(request, avoided):
            return SilenceVerdict.NO_OTHER
        return SilenceVerdict.REPLACE


def _may_have_lost_connection(request: Request, silent_ms: float) -> bool:
    return 0.0 < request.connection_idle_ms <= silent_ms


def _threshold_ms(tracked: TrackedRequest) -> float:
    """:returns: silence after which an attempt is checked for the first time"""
    request = tracked.request
    if tracked.first_token_ms is None:
        return first_byte_threshold_ms(request.target_ms)
    return stream_gap_threshold_ms(request.max_gap_ms) or 0.0


__all__ = ("SilencePolicy",)
