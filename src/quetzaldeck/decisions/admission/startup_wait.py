"""What a VM does with requests before it knows any configuration.

Load pattern: all VMs lose power, or are killed, in the same moment, and start again
under full load. The balancer has none that is ready, so it uses all of them. A VM
listens some tenths of a second before it has read the first configuration.

Without this module it refuses what comes in that time and sends callers elsewhere at
once. They find another VM that starts, are refused again within milliseconds, and do
not come a third time: 97 refusals in one restart of 58 VMs, none of them needed.

So a request waits for the first configuration, for a part of its deadline. One that
still cannot be served is told to come back when most VMs will have started.
"""

from __future__ import annotations

MAX_STARTUP_WAIT_MS = 1_000.0
"""Half of 58 VMs that start at once, with half a core and 2,000 routes, know their
configuration 480 ms after they listen, the last one after 940 ms."""

STARTUP_WAIT_SHARE = 1.0 / 3.0
"""Part of its deadline that a request waits; the rest is for running it, or for coming
back to another VM."""

STARTUP_RETRY_AFTER_MS = 500.0
"""When to come back to a fleet that starts: half of its VMs serve by then."""


def startup_wait_ms(deadline_ms: float | None) -> float:
    """:returns: how long a request waits for the first configuration

    :param deadline_ms: how long its caller waits; ``None``: it does not say
    """
    if deadline_ms is None:
        return MAX_STARTUP_WAIT_MS
    return min(MAX_STARTUP_WAIT_MS, STARTUP_WAIT_SHARE * deadline_ms)


__all__ = (
    "MAX_STARTUP_WAIT_MS",
    "STARTUP_RETRY_AFTER_MS",
    "STARTUP_WAIT_SHARE",
    "startup_wait_ms",
)
