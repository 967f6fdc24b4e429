"""The load generator: sends a mix of calls and reports what their callers receive."""

from __future__ import annotations

from quetzaldeck.load.generator import read_executions, run_load
from quetzaldeck.load.report import LoadReport, build_report, render_report
from quetzaldeck.load.settings import KindSettings, LoadSettings

__all__ = (
    "KindSettings",
    "LoadReport",
    "LoadSettings",
    "build_report",
    "read_executions",
    "render_report",
    "run_load",
)
