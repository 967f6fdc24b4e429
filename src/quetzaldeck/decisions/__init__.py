"""Decides which requests of a VM are admitted, and when and where they run.

The scheduler gets requests, events of attempts and loads, and returns dispatches and
failures. It does no I/O; the clock and the random state are passed in.
"""

from __future__ import annotations

from quetzaldeck.decisions.decision import (
    AttemptEnd,
    AttemptFault,
    Decision,
    Dispatch,
    Rejection,
)
from quetzaldeck.decisions.loads.load_report import LoadReport
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
