"""The limit that requests to an upstream have to keep to."""

from __future__ import annotations

from typing import NamedTuple

from quetzaldeck.decisions.cold_replicas.claim import ColdClaim
from quetzaldeck.decisions.rate_limits.statement import RateLimitStatement


class EffectiveLimit(NamedTuple):
    """The lower of the limit that an upstream names and the one while it is cold.

    :param requests_per_s: ``None``: no request may be sent
    :param stated: what the upstream said last; ``None``: it names no limit
    :param cold: the claim that it is cold; ``None``: it is warm
    """

    upstream: str
    requests_per_s: float | None
    stated: RateLimitStatement | None = None
    cold: ColdClaim | None = None


__all__ = ("EffectiveLimit",)
