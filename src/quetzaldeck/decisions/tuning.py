"""Scheduling parameters derived from the profile in the bundle.

Operators weight the same metrics differently: the profile ``short_requests`` favours a
low slowdown of short requests, ``first_token`` a low time to first token over all
lengths. Explicit weights select a point on the straight line through both profiles.
docs/design/queueing.md has the measurements behind the parameters of the profiles.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.bundle.document import Weights

if TYPE_CHECKING:
    from quetzaldeck.bundle.document import Bundle

PROFILE_WEIGHTS = {
    "short_requests": Weights(short_slowdown=4.0, ttft=1.0),
    "first_token": Weights(short_slowdown=1.0, ttft=4.0),
}
_SHORT_REQUESTS_SHARE = 0.8
_FIRST_TOKEN_SHARE = 0.2


class Tuning(NamedTuple):
    """Parameters of the queue and of head-of-line protection.

    :param stretch: a request is due after this many times its own prefill time; with
        higher values, short requests are served before long ones for longer
    :param long_share: share of the engines on which long prompts have priority
    :param max_short_share: maximum share of the engines kept free of long prompts
    :param short_headroom: share of engines kept for short requests, as a multiple of
        the share of the work that short requests make up
    """

    stretch: float
    long_share: float
    max_short_share: float
    short_headroom: float


def tune(bundle: Bundle) -> Tuning:
    """:returns: parameters for the profile or the explicit weights of ``bundle``"""
    weights = PROFILE_WEIGHTS.get(bundle.profile, bundle.weights)
    total = weights.short_slowdown + weights.ttft
    share = weights.short_slowdown / total if total > 0 else 0.5

    def interpolate(at_first_token: float, at_short_requests: float) -> float:
        slope = (at_short_requests - at_first_token) / (
            _SHORT_REQUESTS_SHARE - _FIRST_TOKEN_SHARE
        )
        return max(0.0, at_first_token + slope * (share - _FIRST_TOKEN_SHARE))

    return Tuning(
        stretch=max(1.0, interpolate(4.0, 12.0)),
        long_share=min(0.5, interpolate(0.35, 0.15)),
        max_short_share=min(0.7, interpolate(0.55, 0.6)),
        short_headroom=interpolate(1.0, 1.4),
    )


__all__ = ("PROFILE_WEIGHTS", "Tuning", "tune")
