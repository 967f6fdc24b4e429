"""Scheduling decisions, free of I/O; the clock and random state are passed in."""

from __future__ import annotations

from quetzaldeck.decisions.decision import (
    AttemptEnd,
    AttemptFault,
    Decision,
    Dispatch,
    Rejection,
)
from quetzaldeck.decisions.load_report import LoadReport
from quetzaldeck.decisions.request import LengthClass, Request, classify_length
from quetzaldeck.decisions.scheduler import Scheduler
from quetzaldeck.decisions.scheduler_bounds import SchedulerBounds

__all__ = (
    "AttemptEnd",
    "AttemptFault",
    "Decision",
    "Dispatch",
    "LengthClass",
    "LoadReport",
    "Rejection",
    "Request",
    "Scheduler",
    "SchedulerBounds",
    "classify_length",
)
