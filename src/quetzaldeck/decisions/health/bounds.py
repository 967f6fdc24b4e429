"""Thresholds and times for judging the health of an upstream."""

from __future__ import annotations

from typing import NamedTuple


class HealthBounds(NamedTuple):
    """Thresholds and times for judging the health of an upstream.

    :param n_silent: consecutive silent reads, each on a new connection pool, after
        which the upstream itself counts as silent. A single silent read is more likely
        a fault of the network path.
    :param n_broken: consecutive broken attempts, without a success in between, after
        which the upstream counts as dead; one refused connection is enough
    :param first_hold_ms: time without requests after the first ejection; of the order
        of a connection timeout, so that a false ejection costs little
    :param max_hold_ms: longest time without a probe
    :param n_crashes: restarts within ``crash_window_ms`` that make a crash loop
    :param crash_window_ms: period over which restarts are counted
    :param stable_ms: uptime after which a crash-looping upstream may be probed again
    :param warm_up_ms: time in which a new or recovered upstream is ramped up to its
        full load
    :param slow_ratio: an upstream counts as slow if its time to first token is this
        many times that of its peers
    :param n_latencies: answers needed before latency is judged. A VM is one of many
        and sees few answers of one upstream; slowness only raises the placement cost,
        so an error costs little.
    :param slow_half_life_ms: half-life of a measured slowness; an upstream that gets
        no requests yields no latencies that could correct it
    """

    n_silent: int = 2
    n_broken: int = 2
    first_hold_ms: float = 1_000.0
    max_hold_ms: float = 15_000.0
    n_crashes: int = 3
    crash_window_ms: float = 60_000.0
    stable_ms: float = 20_000.0
    warm_up_ms: float = 10_000.0
    slow_ratio: float = 1.5
    n_latencies: int = 2
    slow_half_life_ms: float = 10_000.0


__all__ = ("HealthBounds",)
