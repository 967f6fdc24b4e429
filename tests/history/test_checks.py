"""Each history check finds the violation that it is for, and no other."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from quetzaldeck.config import FindingsError
from quetzaldeck.history import check_history, read_history, write_history
from quetzaldeck.history.events import (
    BundlePublished,
    BundleSeen,
    CallEnded,
    CallOutcome,
    CallSent,
    Event,
    Executed,
    MemoryHeld,
    SequenceEnded,
    SequenceStarted,
    UpstreamLeaving,
    VmKilled,
    VmPaused,
    VmResumed,
    VmStopping,
)

if TYPE_CHECKING:
    from pathlib import Path

SENT = CallSent(0, "c1", "vm-1", "club", "k1", "d1", False, 1_000)  # noqa: FBT003
ANSWERED = CallEnded(500, "c1", CallOutcome.ANSWERED, "r1", answer="a", expected="a")
REFUSED_AS_NOT_RUN = CallEnded(500, "c1", CallOutcome.FAILED, "r1", "no_quorum", "no")
BROKEN = CallEnded(500, "c1", CallOutcome.BROKEN)
TIMED_OUT = CallEnded(1_500, "c1", CallOutcome.FAILED, reason="caller_timeout")
EXECUTED = Executed(100, "desk-1", "k1", "d1", "r1")
STARTED = SequenceStarted(100, "engine-1", "r1.1", "vm-1", "i1")
ENDED = SequenceEnded(200, "engine-1", "r1.1")

VALID: list[Event] = [
    BundlePublished(0, 1),
    SENT,
    BundleSeen(50, "vm-1", 1),
    EXECUTED,
    STARTED,
    ENDED,
    ANSWERED,
    UpstreamLeaving(600, "engine-1"),
    MemoryHeld(9_000, "engine-1", 0),
]

VIOLATIONS: list[tuple[str, list[Event]]] = [
    ("I1_calls_end", [SENT]),
    ("I1_calls_end", [SENT, ANSWERED._replace(at_ms=2_001)]),
    ("I2_memory_returns", [MemoryHeld(9_000, "engine-1", 10)]),
    ("I2_memory_returns", [STARTED, MemoryHeld(9_000, "engine-1", 0)]),
    ("I3_own_answer", [SENT, ANSWERED._replace(answer="b")]),
    ("I3_own_answer", [SENT, ANSWERED, ANSWERED]),
    ("I4_true_refusals", [SENT, EXECUTED, REFUSED_AS_NOT_RUN]),
    ("I4_true_refusals", [SENT, STARTED, ENDED, REFUSED_AS_NOT_RUN]),
    ("I5_at_most_once", [SENT, EXECUTED, EXECUTED, ANSWERED]),
    ("I6_leaving_upstreams", [UpstreamLeaving(-3_000, "engine-1"), STARTED]),
    ("I3_whole_answer", [SENT, BROKEN]),
    ("I1_calls_end", [SENT, TIMED_OUT]),
    ("I1_calls_end", [SENT, VmPaused(1, "vm-2"), TIMED_OUT]),
    ("I1_calls_end", [VmPaused(-9, "vm-1"), VmResumed(-1, "vm-1"), SENT, TIMED_OUT]),
    ("I7_never_back", [BundleSeen(1, "vm-1", 2), BundleSeen(2, "vm-1", 1)]),
    (
        "I7_in_force_soon",
        [
            BundlePublished(0, 1),
            BundlePublished(1, 2),
            BundleSeen(18_002, "vm-1", 1),
        ],
    ),
]


def test_check_history_accepts_a_valid_history() -> None:
    assert check_history(VALID) == []


@pytest.mark.parametrize(("check", "events"), VIOLATIONS)
def test_check_history_finds_the_violation(check: str, events: list[Event]) -> None:
    violations = check_history(events)
    assert {violation.check for violation in violations} == {check}
    assert all(1 <= violation.line <= len(events) for violation in violations)


def test_check_history_reports_both_violations_of_an_aborting_shutdown() -> None:
    violations = check_history([SENT, VmStopping(10, "vm-1"), BROKEN])
    checks = {violation.check for violation in violations}
    assert checks == {"I3_whole_answer", "I6_graceful_stops"}


def test_calls_end_allows_a_paused_vm_to_be_late() -> None:
    assert check_history([SENT, VmPaused(10, "vm-1"), TIMED_OUT]) == []


def test_graceful_stops_allows_a_killed_vm_to_break_calls() -> None:
    assert check_history([SENT, VmKilled(10, "vm-1"), BROKEN]) == []


def test_read_history_round_trips_write_history(tmp_path: Path) -> None:
    path = tmp_path / "history.jsonl"
    write_history(path, VALID)
    assert read_history(path) == VALID


def test_read_history_reports_every_undecodable_line(tmp_path: Path) -> None:
    path = tmp_path / "history.jsonl"
    path.write_bytes(b'["Executed",1]\n["Unheard",1]\n{}\n')
    with pytest.raises(FindingsError) as caught:
        read_history(path)
    assert [finding.line for finding in caught.value.findings] == [1, 2, 3]
