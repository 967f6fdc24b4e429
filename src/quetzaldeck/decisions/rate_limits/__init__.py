"""Limits that upstreams name for the requests a second that they take from all VMs."""

from __future__ import annotations

from quetzaldeck.decisions.rate_limits.bounds import (
    MAX_OPTIONAL_PERMITS,
    latest_turn_ms,
)
from quetzaldeck.decisions.rate_limits.issuer_bounds import IssuerBounds
from quetzaldeck.decisions.rate_limits.pacing import Pacing
from quetzaldeck.decisions.rate_limits.permit_issuer import PermitIssuer
from quetzaldeck.decisions.rate_limits.registry import RateLimitRegistry
from quetzaldeck.decisions.rate_limits.send_schedule import Permit, SendSchedule
from quetzaldeck.decisions.rate_limits.statement import RateLimitStatement

__all__ = (
    "MAX_OPTIONAL_PERMITS",
    "IssuerBounds",
    "Pacing",
    "Permit",
    "PermitIssuer",
    "RateLimitRegistry",
    "RateLimitStatement",
    "SendSchedule",
    "latest_turn_ms",
)
