"""Analysis of logs for requests that were answered late or not at all.

An answer is late by its first event, by a gap between two events, or by both. The
causes differ: the first event is late if the request waited or was prefilled slowly; a
gap is too long if the engine prefilled another prompt between two steps of the answer.
"""

from __future__ import annotations

from collections import Counter
from datetime import datetime
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.clock.clock import MS_PER_SECOND
from quetzaldeck.telemetry.log_lines import read_events

if TYPE_CHECKING:
    from collections.abc import Iterable

IN_TIME = "in_time"
LATE_FIRST = "late_first"
LATE_GAP = "late_pause"
LATE_BOTH = "late_both"
OK_STATUS = "200"


class Outcome(NamedTuple):
    """What the caller of one request received.

    :param route: name of the route; empty if none was found
    :param result: ``in_time``, how the answer was late, or the reason of the failure
    :param started_ms: wall time at which the request arrived
    """

    route: str
    result: str
    started_ms: float


class LossWindow(NamedTuple):
    """A time window in which some requests were not answered in time.

    :param started_ms: wall time at which the window starts
    :param n_all: requests that arrived in the window
    :param n_lost: those of them that were not answered in time, by outcome
    """

    started_ms: float
    n_all: int
    n_lost: Counter[str]


def read_outcomes(lines: Iterable[str]) -> list[Outcome]:
    """:returns: outcomes of the requests in a log; malformed lines are skipped"""
    outcomes = []
    for fields in read_events(lines, "request_answered", "request_failed"):
        try:
            outcomes.append(_read_outcome(fields))
        except (KeyError, ValueError):
            # The last line of a process may be truncated.
            continue
    return outcomes


def count_outcomes(outcomes: Iterable[Outcome]) -> dict[str, Counter[str]]:
    """:returns: number of requests by route and outcome"""
    counts: dict[str, Counter[str]] = {}
    for outcome in outcomes:
        counts.setdefault(outcome.route, Counter())[outcome.result] += 1
    return counts


def find_loss_windows(
    outcomes: Iterable[Outcome], length_ms: float
) -> list[LossWindow]:
    """Find the time windows in which requests were not answered in time.

    :param length_ms: length of each window
    :returns: the windows, the one with most such requests first
    """
    all_by_slot: Counter[int] = Counter()
    lost_by_slot: dict[int, Counter[str]] = {}
    for outcome in outcomes:
        slot = int(outcome.started_ms // length_ms)
        all_by_slot[slot] += 1
        if outcome.result != IN_TIME:
            lost_by_slot.setdefault(slot, Counter())[outcome.result] += 1
    windows = [
        LossWindow(slot * length_ms, all_by_slot[slot], lost)
        for slot, lost in lost_by_slot.items()
    ]
    return sorted(
        windows, key=lambda window: (-window.n_lost.total(), window.started_ms)
    )


def _read_outcome(fields: dict[str, str]) -> Outcome:
    ended_ms = datetime.fromisoformat(fields["time"]).timestamp() * MS_PER_SECOND
    started_ms = ended_ms - float(fields["elapsed_ms"])
    route = fields["route"].strip('"')
    if fields["event"] == "request_failed":
        return Outcome(route, fields["reason"], started_ms)
    if fields["status"] != OK_STATUS:
        return Outcome(route, f"status_{fields['status']}", started_ms)
    return Outcome(route, _classify_answer(fields), started_ms)


def _classify_answer(fields: dict[str, str]) -> str:
    first = fields["first_event_ms"]
    first_ms = float(fields["elapsed_ms"] if first == "None" else first)
    target_ms = float(fields["target_ms"])
    target_gap_ms = float(fields["target_gap_ms"])
    is_first_late = 0 < target_ms < first_ms
    is_gap_late = 0 < target_gap_ms < float(fields["max_gap_ms"])
    if is_first_late and is_gap_late:
        return LATE_BOTH
    if is_first_late:
        return LATE_FIRST
    return LATE_GAP if is_gap_late else IN_TIME


__all__ = (
    "IN_TIME",
    "LATE_BOTH",
    "LATE_FIRST",
    "LATE_GAP",
    "LossWindow",
    "Outcome",
    "count_outcomes",
    "find_loss_windows",
    "read_outcomes",
)
