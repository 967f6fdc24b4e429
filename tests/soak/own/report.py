"""Figures of fault runs, from what callers received."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.history.events import (
    CallEnded,
    CallOutcome,
    CallSent,
    FaultInjected,
)
from quetzaldeck.outcomes import Ran

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzaldeck.history import Violation
    from quetzaldeck.history.events import Event

TABLE_HEAD = (
    "| fault | calls | answered | refused (ran: no) | failed | broken | lost | doubled "
    "| false refusals | other violations | worst TTFT ms | recovery ms |\n"
    "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
)


class RunReport(NamedTuple):
    """One row of the table in docs/RELIABILITY.md.

    :param n_broken: calls whose connection broke, allowed only if their VM was killed
    :param n_lost: calls that never ended, ended too late, or broke off without a kill
    :param n_doubled: executions of a booking after its first
    :param n_false_refusals: calls refused with ``ran: no`` that reached an upstream
    :param worst_ttft_ms: longest time to the first token
    :param recovery_ms: from the end of the last fault until the last call was sent
        that got no answer; 0 if there was none
    :param reasons: refusals and failures by reason
    """

    fault: str
    n_calls: int
    n_answered: int
    n_refused: int
    n_failed: int
    n_broken: int
    n_lost: int
    n_doubled: int
    n_false_refusals: int
    n_other_violations: int
    worst_ttft_ms: float
    recovery_ms: float
    reasons: dict[str, int]

    def render_row(self) -> str:
        """:returns: the row as Markdown"""
        cells = (
            self.fault,
            self.n_calls,
            self.n_answered,
            self.n_refused,
            self.n_failed,
            self.n_broken,
            self.n_lost,
            self.n_doubled,
            self.n_false_refusals,
            self.n_other_violations,
            round(self.worst_ttft_ms),
            round(self.recovery_ms),
        )
        return "| " + " | ".join(str(cell) for cell in cells) + " |"


_LOST = ("I1_calls_end", "I3_whole_answer")
_DOUBLED = "I5_at_most_once"
_FALSE_REFUSAL = "I4_true_refusals"


def build_run_report(
    fault: str, events: Sequence[Event], violations: Sequence[Violation]
) -> RunReport:
    """:returns: the figures of one run"""
    ends = [event for event in events if isinstance(event, CallEnded)]
    outcomes = Counter(event.outcome for event in ends)
    n_refused = sum(1 for event in ends if event.ran == Ran.NO)
    checks = Counter(violation.check for violation in violations)
    n_lost = sum(checks[name] for name in _LOST)
    n_categorised = n_lost + checks[_DOUBLED] + checks[_FALSE_REFUSAL]
    reasons = Counter(
        f"{event.reason} (ran: {event.ran or 'not stated'})"
        for event in ends
        if event.reason
    )
    return RunReport(
        fault=fault,
        n_calls=sum(1 for event in events if isinstance(event, CallSent)),
        n_answered=outcomes[CallOutcome.ANSWERED],
        n_refused=n_refused,
        n_failed=outcomes[CallOutcome.FAILED] - n_refused,
        n_broken=outcomes[CallOutcome.BROKEN],
        n_lost=n_lost,
        n_doubled=checks[_DOUBLED],
        n_false_refusals=checks[_FALSE_REFUSAL],
        n_other_violations=len(violations) - n_categorised,
        worst_ttft_ms=max((event.ttft_ms or 0.0 for event in ends), default=0.0),
        recovery_ms=_compute_recovery_ms(events),
        reasons=dict(reasons),
    )


def _compute_recovery_ms(events: Sequence[Event]) -> float:
    fault_end_ms = max(
        (e.at_ms for e in events if isinstance(e, FaultInjected) and e.is_over),
        default=0.0,
    )
    failed = {
        event.call_id
        for event in events
        if isinstance(event, CallEnded) and event.outcome != CallOutcome.ANSWERED
    }
    last_failed_ms = max(
        (e.at_ms for e in events if isinstance(e, CallSent) and e.call_id in failed),
        default=0.0,
    )
    return max(0.0, last_failed_ms - fault_end_ms)


__all__ = ("TABLE_HEAD", "RunReport", "build_run_report")
