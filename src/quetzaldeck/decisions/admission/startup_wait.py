"""Limits how long requests wait for the first configuration of a starting VM.

Load pattern: all VMs lose power or are killed at the same moment and restart under full
load. No VM is ready, so the load balancer uses all of them. A VM accepts connections
some tenths of a second before it has read its first configuration.

Without this wait a VM refuses requests during that time and sends their callers to
another VM at once. That VM is starting too and refuses again within milliseconds, and
callers do not try a third time: one restart of 58 VMs gave 97 needless refusals.

So a request waits for the first configuration, for a share of its deadline. If it still
cannot be served, the caller is told to retry when about half of the VMs have started.
"""

from __future__ import annotations

MAX_STARTUP_WAIT_MS = 1_000.0
"""Of 58 VMs that start at once, with half a core and 2,000 routes each, half have read
their configuration 480 ms after they accept connections, and all after 940 ms."""

STARTUP_WAIT_SHARE = 1.0 / 3.0
"""Share of its deadline that a request waits; the rest is left to run it, or to retry
at another VM."""

STARTUP_RETRY_AFTER_MS = 500.0
"""Retry delay for a starting fleet: half of its VMs are ready by then."""


def startup_wait_ms(deadline_ms: float | None) -> float:
    """:returns: maximum time that a request waits for the first configuration

    :param deadline_ms: time until the caller's deadline; ``None``: none stated
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
