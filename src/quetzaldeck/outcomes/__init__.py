"""Outcomes reported to callers: reasons, failures and whether a request ran."""

from __future__ import annotations

from quetzaldeck.outcomes.failure import ErrorBody, Failure, build_error_body
from quetzaldeck.outcomes.ran import PROMISE_STATUSES, Ran
from quetzaldeck.outcomes.reason import REASON_INFO, Reason

__all__ = (
    "PROMISE_STATUSES",
    "REASON_INFO",
    "ErrorBody",
    "Failure",
    "Ran",
    "Reason",
    "build_error_body",
)
