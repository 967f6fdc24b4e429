"""Histories of concurrent runs, and checks of the invariants I1 to I7 on them."""

from __future__ import annotations

import quetzaldeck.history.checks  # noqa: F401 - registers the checks
from quetzaldeck.history.api import (
    Bounds,
    HistoryCheck,
    Violation,
    check_history,
    history_checks,
)
from quetzaldeck.history.codec import read_history, write_history
from quetzaldeck.history.recorder import Recorder

__all__ = (
    "Bounds",
    "HistoryCheck",
    "Recorder",
    "Violation",
    "check_history",
    "history_checks",
    "read_history",
    "write_history",
)
