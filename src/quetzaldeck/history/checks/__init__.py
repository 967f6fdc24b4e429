"""The checks of the invariants I1 to I7."""

from __future__ import annotations

from quetzaldeck.history.checks.at_most_once import AtMostOnce
from quetzaldeck.history.checks.bundles_advance import BundleRegression, BundleRollout
from quetzaldeck.history.checks.calls_end import CallsEnd, CompleteAnswer
from quetzaldeck.history.checks.leaving import GracefulStops, LeavingUpstreams
from quetzaldeck.history.checks.memory_returns import MemoryReturns
from quetzaldeck.history.checks.own_answer import OwnAnswer
from quetzaldeck.history.checks.true_refusals import TrueRefusals

__all__ = (
    "AtMostOnce",
    "BundleRegression",
    "BundleRollout",
    "CallsEnd",
    "CompleteAnswer",
    "GracefulStops",
    "LeavingUpstreams",
    "MemoryReturns",
    "OwnAnswer",
    "TrueRefusals",
)
