"""Parameters of fleet-wide limits and the reasons for their defaults."""

from __future__ import annotations

from typing import NamedTuple


class LimitBounds(NamedTuple):
    """Parameters of fleet-wide limits.

    :param slow_start_ms: time after a customer's first request at a VM during which it
        gets only the VM's own share; longer than an update takes to reach all VMs
    :param idle_reset_ms: time without a request after which the slow start begins again
    :param expiry_ms: age after which the usage at another VM no longer counts, as that
        VM is gone
    :param min_update_interval_ms: minimum time between two updates on a customer
    :param refresh_interval_ms: time after which unchanged usage is sent again
    :param min_relative_change: smallest relative change of the usage that is sent
    :param borrower_threshold: part of its share from which a VM counts as a borrower
    :param burst_ms: size of the token bucket, as time at the allowed rate
    """

    slow_start_ms: float = 2_000.0
    idle_reset_ms: float = 10_000.0
    expiry_ms: float = 10_000.0
    min_update_interval_ms: float = 500.0
    refresh_interval_ms: float = 4_000.0
    min_relative_change: float = 0.1
    borrower_threshold: float = 0.9
    burst_ms: float = 2_000.0


__all__ = ("LimitBounds",)
