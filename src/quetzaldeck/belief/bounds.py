"""Time limits on a VM's copy of the fleet state."""

from __future__ import annotations

from typing import NamedTuple


class BeliefBounds(NamedTuple):
    """How old the configuration and the replicas of a VM's fleet state may be.

    :param key_revocation_ms: time after which a revoked API key must be rejected; the
        operators guarantee this to their customers
    :param leaving_ms: time after which a leaving replica must get no new requests
    :param source_staleness_ms: longest time for which the source may answer that
        nothing has changed although something has, while it discards its history;
        every confirmation is treated as that much older
    :param reregistration_ms: time within which replicas whose entries expired during
        an outage of the source register again after it
    :param margin_ms: subtracted from each limit, to cover the network delay of a
        request and timers that fire late
    """

    key_revocation_ms: float = 5_000.0
    leaving_ms: float = 2_000.0
    source_staleness_ms: float = 1_000.0
    reregistration_ms: float = 2_000.0
    margin_ms: float = 200.0

    @property
    def max_key_age_ms(self) -> float:
        """:returns: greatest age of the last confirmation at which keys are accepted"""
        return self.key_revocation_ms - self.source_staleness_ms - self.margin_ms

    @property
    def max_lapse_ms(self) -> float:
        """:returns: time for which a replica is still used after its entry expired"""
        return min(self.reregistration_ms, self.leaving_ms) - self.margin_ms


__all__ = ("BeliefBounds",)
