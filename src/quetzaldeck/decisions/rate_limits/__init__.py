"""Limits that upstreams name for the requests a second that they take from all VMs."""

from __future__ import annotations

from quetzaldeck.decisions.rate_limits.registry import RateLimitRegistry
from quetzaldeck.decisions.rate_limits.statement import RateLimitStatement

__all__ = ("RateLimitRegistry", "RateLimitStatement")
