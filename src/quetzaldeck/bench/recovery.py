"""Measures how soon service is back to normal after a disturbance."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.bench.call_result import Outcome
from quetzaldeck.bench.summary import length_class_of, unloaded_ms
from quetzaldeck.bench.tails import compute_tails

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzaldeck.bench.call_result import CallResult
    from quetzaldeck.bench.run_result import RunResult

WINDOW_MS = 10_000.0
MIN_ANSWERED = 0.95
MAX_SLOWDOWN = 2.0
_SECOND_MS = 1_000.0


class Window(NamedTuple):
    """Model calls that arrived within one window of ``WINDOW_MS``.

    :param answered: share of them answered whole
    :param short_slowdown: 95th percentile of the slowdown of short prompts
    """

    start_ms: float
    n_calls: int
    answered: float
    short_slowdown: float


class Recovery(NamedTuple):
    """Service before, during and after a disturbance.

    :param answered_before: share of the calls answered that arrived before it
    :param answered_during: share of the calls answered that arrived while it lasted
    :param recovered_ms: time from its end until, in every later window, at least 95 %
        of the calls are answered and the slowdown of short prompts is at most twice
        that before; ``None`` if the run ends before
    :param peak_per_s: most submissions in one second after its end
    :param usual_per_s: most submissions in one second before it
    """

    answered_before: float
    answered_during: float
    recovered_ms: float | None
    peak_per_s: int
    usual_per_s: int


def measure_recovery(result: RunResult, *, begin_ms: float, end_ms: float) -> Recovery:
    """:returns: recovery from a disturbance from ``begin_ms`` to ``end_ms``"""
    windows = list_windows(result)
    before = [w for w in windows if w.start_ms + WINDOW_MS <= begin_ms]
    during = [w for w in windows if begin_ms <= w.start_ms < end_ms]
    after = [w for w in windows if w.start_ms >= end_ms]
    usual_slowdown = max((w.short_slowdown for w in before), default=1.0)
    bad = [
        w
        for w in after
        if w.answered < MIN_ANSWERED or w.short_slowdown > MAX_SLOWDOWN * usual_slowdown
    ]
    recovered_ms: float | None = 0.0
    if bad:
        last_ms = bad[-1].start_ms + WINDOW_MS
        recovered_ms = None if bad[-1] is after[-1] else last_ms - end_ms
    return Recovery(
        _answered_share(before),
        _answered_share(during),
        recovered_ms,
        _peak_submissions(result, end_ms, float("inf")),
        _peak_submissions(result, 0.0, begin_ms),
    )


def list_windows(result: RunResult) -> list[Window]:
    """:returns: the model calls of a run in windows by arrival time"""
    groups: dict[int, list[CallResult]] = {}
    for item in result.calls:
        if item.call.model:
            groups.setdefault(int(item.call.at_ms // WINDOW_MS), []).append(item)
    return [
        Window(
            index * WINDOW_MS,
            len(group),
            sum(r.outcome is Outcome.ANSWERED for r in group) / len(group),
            _short_slowdown(group, result),
        )
        for index, group in sorted(groups.items())
    ]


def _short_slowdown(group: Sequence[CallResult], result: RunResult) -> float:
    shape = result.scenario.shape
    return compute_tails(
        item.ttft_ms / unloaded_ms(item, shape)[0]
        for item in group
        if length_class_of(item) == "short" and item.ttft_ms is not None
    ).p95


def _answered_share(windows: Sequence[Window]) -> float:
    n_calls = sum(window.n_calls for window in windows)
    return sum(w.answered * w.n_calls for w in windows) / n_calls if n_calls else 1.0


def _peak_submissions(result: RunResult, from_ms: float, until_ms: float) -> int:
    counts: dict[int, int] = {}
    for item in result.calls:
        for at_ms in item.submitted_ms:
            if from_ms <= at_ms < until_ms:
                second = int(at_ms // _SECOND_MS)
                counts[second] = counts.get(second, 0) + 1
    return max(counts.values(), default=0)


__all__ = ("Recovery", "Window", "list_windows", "measure_recovery")
