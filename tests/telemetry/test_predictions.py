"""Tests of the comparison of predicted and measured times in logs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from quetzaldeck.cli.operator import main
from quetzaldeck.telemetry.predictions import PredictionRow, compare_predictions

if TYPE_CHECKING:
    from pathlib import Path


def build_line(measured_ms: object, predicted_ms: object, **changes: object) -> str:
    fields = {
        "request": "1f",
        "n_attempts": 1,
        "n_prompt_tokens": 5_000,
        "first_event_ms": measured_ms,
        "predicted_first_event_ms": predicted_ms,
        **changes,
    }
    pairs = " ".join(f"{name}={value}" for name, value in fields.items())
    return f"time=2026-01-01 level=INFO event=request_answered {pairs}"


def test_ratios_cover_answers_of_one_attempt() -> None:
    lines = [
        *(build_line(100.0 + n, 100.0) for n in range(21)),
        build_line(900.0, 100.0, n_attempts=2),
        build_line(None, None),
        "event=dispatched request=1f first_event_ms=4.0",
        build_line(100.0, 100.0)[:-20],
    ]
    (row,) = compare_predictions(lines)
    assert row == PredictionRow("medium", 21, 110.0, 1.1, 1.19, 10.0)


def test_command_prints_a_row_per_length_class(tmp_path: Path) -> None:
    lines = [build_line(100.0, 80.0), build_line(9.0, 9.0, n_prompt_tokens=300_000)]
    path = tmp_path / "entry.log"
    path.write_text("\n".join(lines))
    result = CliRunner().invoke(main, ["logs", "predictions", str(path)])
    assert result.exit_code == 0
    assert len(result.output.splitlines()) == 3
    assert "1.25" in result.output


@given(st.lists(st.text(max_size=80)))
def test_malformed_lines_are_skipped(lines: list[str]) -> None:
    assert (
        compare_predictions(["event=request_answered " + line for line in lines])
        is not None
    )
