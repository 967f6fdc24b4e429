"""Tests of the trace of one request from the logs of several VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from click.testing import CliRunner

from quetzaldeck.cli.operator import main

if TYPE_CHECKING:
    from pathlib import Path

LINE_FORMAT = "time=2026-03-31T08:04:{} level=INFO event={}"
LOGS = {
    "a-1": (
        ("04.703+00:00", "dispatched request=r1 upstream=e1 readers=e2,e3"),
        ("05.549+00:00", "attempt_failed request=r1 upstream=e1 fault=silent"),
        ("06.635+00:00", "request_answered request=r1 upstream=e4"),
        ("06.700+00:00", "request_answered request=r10 upstream=e4"),
    ),
    "b-1": (
        ("05.100+00:00", "attempt_failed request=r2 upstream=e3 fault=broken"),
        ("05.200+00:00", "attempt_failed request=r3 upstream=e9 fault=broken"),
        ("40.000+00:00", "attempt_failed request=r4 upstream=e1 fault=broken"),
        ("06.000+00:00", "replica_gone replica=e2 why=removed"),
        ("cut+00:00", "attempt_failed upstr"),
    ),
}


@pytest.fixture
def files(tmp_path: Path) -> list[str]:
    for name, lines in LOGS.items():
        text = "\n".join(LINE_FORMAT.format(*line) for line in lines)
        (tmp_path / name).write_text(text)
    return [str(tmp_path / name) for name in LOGS]


def test_trace_shows_request_and_faults_of_its_upstreams(files: list[str]) -> None:
    result = CliRunner().invoke(main, ["logs", "request", "r1", *files])
    assert result.exit_code == 0, result.output
    shown = [line.split("event=")[-1] for line in result.output.splitlines()]
    assert [line.split()[0] for line in shown] == [
        "dispatched",
        "attempt_failed",
        "request_answered",
        "its",
        "attempt_failed",
        "replica_gone",
    ]
    assert "request=r2 upstream=e3" in shown[4]
    assert "1 x " in result.output.splitlines()[4]
    assert files[0] in result.output.splitlines()[0]


def test_unknown_request_is_an_error(files: list[str]) -> None:
    result = CliRunner().invoke(main, ["logs", "request", "r77", *files])
    assert result.exit_code != 0
    assert "no line names request 'r77' in 2 logs" in result.output
