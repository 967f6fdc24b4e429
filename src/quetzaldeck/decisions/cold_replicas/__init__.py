"""Replicas that are cold, and the rate at which permits for them are issued."""

from __future__ import annotations

from quetzaldeck.decisions.cold_replicas.claim import ColdClaim, ColdSource
from quetzaldeck.decisions.cold_replicas.effective_limit import EffectiveLimit
from quetzaldeck.decisions.cold_replicas.rate import (
    COLD_LATENESS_MS,
    compute_cold_rate,
)
from quetzaldeck.decisions.cold_replicas.registry import ColdReplicas

__all__ = (
    "COLD_LATENESS_MS",
    "ColdClaim",
    "ColdReplicas",
    "ColdSource",
    "EffectiveLimit",
    "compute_cold_rate",
)
