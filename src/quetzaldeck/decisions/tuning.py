"""Figures that the bundle's profile moves.

Operators weigh the same measures differently: the profile ``short_requests`` weighs the
slowdown of short requests more, ``first_token`` the time to first token over all
lengths. Both profiles are points on one line, so that explicit weights mean something
in between. docs/design/queueing.md has the runs behind the ends of each range.
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
    """Figures of the queue and of head-of-line protection.

    :param stretch: a request is due after this many times its own prefill time; the
        higher, the longer short requests go before long ones
    :param long_share: share of the engines on which long prompts go first
    :param max_short_share: most that is kept free of long prompts for short ones
    :param short_headroom: engines kept for short requests, against the share of the
        work that they bring
    """

    stretch: float
    long_share: float
    max_short_share: float
    short_headroom: float


def tune(bundle: Bundle) -> Tuning:
    """:returns: the figures for the profile or the explicit weights of ``bundle``"""
    weights = PROFILE_WEIGHTS.get(bundle.profile, bundle.weights)
    total = weights.short_slowdown + weights.ttft
    share = weights.short_slowdown / total if total > 0 else 0.5

    def between(at_first_token: float, at_short_requests: float) -> float:
        slope = (at_short_requests - at_first_token) / (
            _SHORT_REQUESTS_SHARE - _FIRST_TOKEN_SHARE
        )
        return max(0.0, at_first_token + slope * (share - _FIRST_TOKEN_SHARE))

    return Tuning(
        stretch=max(1.0, between(4.0, 12.0)),
        long_share=min(0.5, between(0.35, 0.15)),
        max_short_share=min(0.7, between(0.55, 0.6)),
        short_headroom=between(1.0, 1.4),
    )


__all__ = ("PROFILE_WEIGHTS", "Tuning", "tune")
