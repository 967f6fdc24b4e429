"""Tests of the analysis of late, refused and failed requests in logs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from quetzaldeck.cli.operator import main
from quetzaldeck.telemetry.losses import (
    IN_TIME,
    LATE_BOTH,
    LATE_FIRST,
    LATE_GAP,
    count_outcomes,
    find_loss_windows,
    read_outcomes,
)

if TYPE_CHECKING:
    from pathlib import Path


def build_answer(second: int = 10, **changes: object) -> str:
    fields = {
        "request": "1f",
        "route": "notes",
        "status": 200,
        "first_event_ms": 90.0,
        "target_ms": 300.0,
        "max_gap_ms": 80.0,
        "target_gap_ms": 250.0,
        "elapsed_ms": 900.0,
        **changes,
    }
    pairs = " ".join(f"{name}={value}" for name, value in fields.items())
    time = f"2026-01-01T00:00:{second:02d}.500+00:00"
    return f"vm-a time={time} level=INFO event=request_answered {pairs}"


def build_failure(second: int = 10, route: str = "notes") -> str:
    return (
        f"time=2026-01-01T00:00:{second:02d}.500+00:00 level=INFO event=request_failed "
        f'request=2f route={route} reason=deadline_exceeded elapsed_ms=1.0 detail="a=b"'
    )


@pytest.mark.parametrize(
    ("changes", "result"),
    [
        ({}, IN_TIME),
        ({"first_event_ms": 301.0}, LATE_FIRST),
        ({"max_gap_ms": 251.0}, LATE_GAP),
        ({"first_event_ms": 301.0, "max_gap_ms": 251.0}, LATE_BOTH),
        ({"first_event_ms": None}, LATE_FIRST),
        ({"first_event_ms": None, "elapsed_ms": 200.0}, IN_TIME),
        ({"max_gap_ms": 9e9, "target_gap_ms": 0.0}, IN_TIME),
        ({"status": 404}, "status_404"),
    ],
)
def test_answer_is_classified_by_targets_of_its_route(
    changes: dict[str, Any], result: str
) -> None:
    (outcome,) = read_outcomes([build_answer(**changes)])
    assert outcome.result == result


def test_failures_are_counted_by_reason_and_truncated_lines_skipped() -> None:
    lines = [build_answer(), build_failure(), build_failure(route='""')]
    counts = count_outcomes(read_outcomes([*lines, build_answer()[:-25]]))
    assert counts["notes"] == {IN_TIME: 1, "deadline_exceeded": 1}
    assert counts[""] == {"deadline_exceeded": 1}


def test_window_with_most_losses_comes_first() -> None:
    lines = [build_failure(2), build_failure(9), build_failure(9)]
    lines.append(build_answer(9, elapsed_ms=1.0))
    worst, other = find_loss_windows(read_outcomes(lines), 1_000.0)
    assert (worst.n_lost.total(), worst.n_all) == (2, 3)
    assert worst.started_ms - other.started_ms == 7_000.0


def test_command_prints_routes_and_windows(tmp_path: Path) -> None:
    path = tmp_path / "entry.log"
    path.write_text("\n".join([build_answer(), build_failure(12)]))
    result = CliRunner().invoke(main, ["logs", "losses", str(path)])
    assert result.exit_code == 0
    assert result.output.splitlines() == [
        "notes                     2  0.500  in_time=1 deadline_exceeded=1",
        "00:00:12 1 of 1: deadline_exceeded=1",
    ]


@given(st.lists(st.text(max_size=80)))
def test_malformed_lines_are_skipped(lines: list[str]) -> None:
    events = ("event=request_answered ", "event=request_failed ")
    assert read_outcomes([event + line for line in lines for event in events]) == []
