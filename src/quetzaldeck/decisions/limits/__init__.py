"""Fleet-wide limits of customers, enforced by each VM without a shared counter."""

from __future__ import annotations

from quetzaldeck.decisions.limits.bounds import LimitBounds
from quetzaldeck.decisions.limits.limiter import CustomerLimiter
from quetzaldeck.decisions.limits.usage import Usage, UsageUpdate

__all__ = ("CustomerLimiter", "LimitBounds", "Usage", "UsageUpdate")
