"""Health of upstreams: distinguishes slow, silent, dead and crash-looping ones."""

from __future__ import annotations

from quetzaldeck.decisions.health.bounds import HealthBounds
from quetzaldeck.decisions.health.state import HealthState
from quetzaldeck.decisions.health.upstream_health import (
    UpstreamHealth,
    compute_ms_per_token,
)

__all__ = (
    "HealthBounds",
    "HealthState",
    "UpstreamHealth",
    "compute_ms_per_token",
)
