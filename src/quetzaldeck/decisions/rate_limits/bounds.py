"""Bounds on the rates of limited upstreams."""

from __future__ import annotations

from quetzaldeck.clock.clock import MS_PER_SECOND

MIN_REQUESTS_PER_S = 0.1
"""Lowest rate that is applied. Only the answer to a request shows that a limit has
risen or ended, so even an upstream that takes none is tried now and then."""


MAX_TURN_WAIT_SHARE = 0.5
"""Part of a request's time that it may wait for its turn. In a lasting overload the
queue for turns is always as long as is allowed, so that a caller would otherwise get
its turn when hardly any time is left for the answer."""

MAX_OPTIONAL_PERMITS = 2
"""Refused permits after which a request goes to an upstream without a limit or, if all
limit their rate, queues for its turn. Each refusal costs a round trip to another VM."""


def interval_ms(requests_per_s: float) -> float:
    """:returns: time between two requests at a rate"""
    return MS_PER_SECOND / max(requests_per_s, MIN_REQUESTS_PER_S)


def latest_turn_ms(latest_start_ms: float, now_ms: float) -> float:
    """:returns: latest time at which a request may get its turn at a limited upstream

    :param latest_start_ms: time after which even the fastest answer would be too late
    """
    return now_ms + MAX_TURN_WAIT_SHARE * max(0.0, latest_start_ms - now_ms)


__all__ = (
    "MAX_OPTIONAL_PERMITS",
    "MIN_REQUESTS_PER_S",
    "interval_ms",
    "latest_turn_ms",
)
