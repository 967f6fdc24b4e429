"""Where callers were served late or not at all, from the lines of a log.

A caller's answer is late by its first event, by a pause between two events, or by both;
these have different causes. A first event is late where a request waited or was read
slowly, a pause where something else was read between the steps of a stream.
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
LATE_PAUSE = "late_pause"
LATE_BOTH = "late_both"
OK_STATUS = "200"


class Outcome(NamedTuple):
    """What one caller received.

    :param route: name of its route; ``""`` if none was found for it
    :param what: in time, how it was late, or the reason of the failure
    :param began_ms: wall time of its arrival
    """

    route: str
    what: str
    began_ms: float


class Moment(NamedTuple):
    """A short time in which callers lost something.

    :param began_ms: wall time of its begin
    :param n_all: requests that arrived in it
    :param n_lost: by what they received, those of them that were not in time
    """

    began_ms: float
    n_all: int
    n_lost: Counter[str]


def read_outcomes(lines: Iterable[str]) -> list[Outcome]:
    """:returns: what the callers in a log received; faulty lines are passed over"""
    outcomes = []
    for fields in read_events(lines, "request_answered", "request_failed"):
        try:
            outcomes.append(_read_outcome(fields))
        except (KeyError, ValueError):
            # A line may be cut off at the end of its process.
            continue
    return outcomes


def count_outcomes(outcomes: Iterable[Outcome]) -> dict[str, Counter[str]]:
    """:returns: by route, how many received what"""
    counts: dict[str, Counter[str]] = {}
    for outcome in outcomes:
        counts.setdefault(outcome.route, Counter())[outcome.what] += 1
    return counts


def find_moments(outcomes: Iterable[Outcome], length_ms: float) -> list[Moment]:
    """:returns: times of one length, the one in which most callers lost first

    :param length_ms: length of each
    """
    all_by_slot: Counter[int] = Counter()
    lost_by_slot: dict[int, Counter[str]] = {}
    for outcome in outcomes:
        slot = int(outcome.began_ms // length_ms)
        all_by_slot[slot] += 1
        if outcome.what != IN_TIME:
            lost_by_slot.setdefault(slot, Counter())[outcome.what] += 1
    moments = [
        Moment(slot * length_ms, all_by_slot[slot], lost)
        for slot, lost in lost_by_slot.items()
    ]
    return sorted(moments, key=lambda moment: (-moment.n_lost.total(), moment.began_ms))


def _read_outcome(fields: dict[str, str]) -> Outcome:
    ended_ms = datetime.fromisoformat(fields["time"]).timestamp() * MS_PER_SECOND
    began_ms = ended_ms - float(fields["elapsed_ms"])
    route = fields["route"].strip('"')
    if fields["event"] == "request_failed":
        return Outcome(route, fields["reason"], began_ms)
    if fields["status"] != OK_STATUS:
        return Outcome(route, f"status_{fields['status']}", began_ms)
    return Outcome(route, _judge_answer(fields), began_ms)


def _judge_answer(fields: dict[str, str]) -> str:
    first = fields["first_event_ms"]
    first_ms = float(fields["elapsed_ms"] if first == "None" else first)
    target_ms = float(fields["target_ms"])
    target_gap_ms = float(fields["target_gap_ms"])
    is_first_late = 0 < target_ms < first_ms
    is_pause_late = 0 < target_gap_ms < float(fields["max_gap_ms"])
    if is_first_late and is_pause_late:
        return LATE_BOTH
    if is_first_late:
        return LATE_FIRST
    return LATE_PAUSE if is_pause_late else IN_TIME


__all__ = (
    "IN_TIME",
    "LATE_BOTH",
    "LATE_FIRST",
    "LATE_PAUSE",
    "Moment",
    "Outcome",
    "count_outcomes",
    "find_moments",
    "read_outcomes",
)
