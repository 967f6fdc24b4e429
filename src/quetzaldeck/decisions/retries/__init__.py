"""Retries: which failed attempts are retried, when, and within which budgets."""

from __future__ import annotations

from quetzaldeck.decisions.retries.bounds import RetryBounds
from quetzaldeck.decisions.retries.budget import RetryBudget
from quetzaldeck.decisions.retries.charge import NO_CHARGE, RetryCharge
from quetzaldeck.decisions.retries.delayed import DelayedRequests
from quetzaldeck.decisions.retries.history import AttemptHistory
from quetzaldeck.decisions.retries.policy import Retry, RetryPolicy, grow_estimate
from quetzaldeck.decisions.retries.resend_budget import ResendBudget

__all__ = (
    "NO_CHARGE",
    "AttemptHistory",
    "DelayedRequests",
    "ResendBudget",
    "Retry",
    "RetryBounds",
    "RetryBudget",
    "RetryCharge",
    "RetryPolicy",
    "grow_estimate",
)
