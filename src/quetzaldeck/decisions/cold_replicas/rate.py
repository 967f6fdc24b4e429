"""The rate at which permits for a cold replica are issued.

The tolerance holds for all VMs together within any second, also while two VMs consider
themselves the issuer, the deputy issues too, and permits are used late. A schedule
without bursts grants at most one permit more than its rate times the length of an
interval, and the permits used within a second were due within that second or the
lateness before it.
"""

from __future__ import annotations

import math
from functools import lru_cache

from quetzaldeck.clock.clock import MS_PER_SECOND
from quetzaldeck.decisions.rate_limits.permit_issuer import DEPUTY_RATE_SHARE

COLD_LATENESS_MS = 250.0
"""Time after its turn for which a permit for a cold replica is valid. Less than for
other limits, as each millisecond lowers the rate; it covers a round trip between two
zones and a VM that is paused for a moment."""

N_ISSUERS = 2
"""VMs that may consider themselves the issuer at a time: the one of before and the one
of after a change of the fleet."""

TIMER_MARGIN = 0.98
"""Part of the rate that is issued. Timers of the VMs may fire a little early."""


@lru_cache(maxsize=256)
def compute_cold_rate(
    requests_per_s: float, overshoot: float, slack: float
) -> float | None:
    """Compute the highest rate that stays within the tolerance in the worst case.

    :param requests_per_s: requests a second that a cold replica tolerates
    :param overshoot: multiple of that rate which is tolerated in one second
    :param slack: requests beyond that multiple
    :returns: requests a second of one issuer; ``None``: not even the first permits of
        all that may issue stay within the tolerance, so none is issued
    """
    n_allowed = math.floor(requests_per_s * overshoot + slack)
    window_s = 1.0 + COLD_LATENESS_MS / MS_PER_SECOND
    best: float | None = None
    for n_intervals in range(1, n_allowed + 2):
        # Just below n / window, a schedule grants n permits within the window.
        rate = n_intervals / window_s * TIMER_MARGIN
        if _count_worst(rate, window_s) > n_allowed:
            break
        best = rate
    return best


def _count_worst(rate: float, window_s: float) -> int:
    """:returns: most permits of all that may issue, used within one second"""
    n_issued = math.floor(rate * window_s) + 1
    n_deputy = math.floor(rate * DEPUTY_RATE_SHARE * window_s) + 1
    return N_ISSUERS * n_issued + n_deputy


__all__ = ("COLD_LATENESS_MS", "compute_cold_rate")
