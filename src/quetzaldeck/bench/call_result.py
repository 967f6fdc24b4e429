"""Result of one call as its caller saw it."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from quetzaldeck.bench.call import Call


class Outcome(StrEnum):
    """How a call ended for its caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    CUT_OFF = "cut_off"
    GONE = "gone"
    LOST = "lost"


class CallResult(NamedTuple):
    """One caller's view of its call.

    :param outcome: ``REFUSED``: refused before any attempt; ``FAILED``: failed after
        an attempt; ``CUT_OFF``: its VM was lost; ``GONE``: the caller disconnected;
        ``LOST``: no outcome although its deadline passed
    :param ttft_ms: from the first submission to the first token
    :param total_ms: from the first submission to the end
    :param longest_gap_ms: longest gap between two tokens
    :param reason: reason of the last refusal or failure
    :param ran: the ``ran`` value of the last refusal or failure
    :param n_executions: attempts that an upstream began to run
    :param n_submissions: first submission and resends
    :param submitted_ms: times of the submissions
    :param upstreams: upstreams of its attempts, in order
    """

    call: Call
    outcome: Outcome
    ended_ms: float
    ttft_ms: float | None = None
    total_ms: float | None = None
    reason: str = ""
    ran: str = ""
    n_executions: int = 0
    n_submissions: int = 1
    retry_after_ms: float | None = None
    upstreams: tuple[str, ...] = ()
    submitted_ms: tuple[float, ...] = ()
    longest_gap_ms: float = 0.0

    @property
    def is_in_time(self) -> bool:
        """:returns: whether the whole answer arrived within the call's time limits

        A call without limits is in time if it is answered.
        """
        if self.outcome is not Outcome.ANSWERED or self.ttft_ms is None:
            return False
        target_ms, gap_ms = self.call.target_ms, self.call.max_gap_ms
        has_begun_in_time = not target_ms or self.ttft_ms <= target_ms
        return has_begun_in_time and (not gap_ms or self.longest_gap_ms <= gap_ms)

    @property
    def waited_ms(self) -> float:
        """:returns: time from the last submission to the end"""
        return self.ended_ms - self.submitted_ms[-1] if self.submitted_ms else 0.0

    @property
    def is_false_refusal(self) -> bool:
        """:returns: whether the refusal said ``ran: no`` although the call had run"""
        return self.ran == "no" and self.n_executions > 0

    @property
    def is_doubled(self) -> bool:
        """:returns: whether a call that is not repeatable ran more than once"""
        return not self.call.is_repeatable and self.n_executions > 1


__all__ = ("CallResult", "Outcome")
