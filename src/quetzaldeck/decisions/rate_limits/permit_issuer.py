"""Issues permits for requests to limited upstreams on behalf of all VMs.

Load pattern: seven to two hundred VMs, each with a small part of the traffic, in front
of upstreams that take less than one request a second from all of them together. If each
VM kept an equal share, hundreds of VMs would all send their first request at once, and
afterwards most of the limit would go unused, as requests do not arrive where the shares
are. So one VM issues all permits of an upstream. All VMs choose the issuer by
rendezvous hashing, without messages; it keeps a schedule in memory, and nobody else
needs to know it.

If the issuer does not answer, VMs ask its deputy, the next in the ranking. The deputy
issues at half the rate, so that both together stay within one and a half times the
limit while some VMs reach the issuer and others do not.

A VM that has just started, or has just found the first other VM, may rank itself first
because it does not know the issuer yet. It issues nothing until it has had time to
learn of the other VMs, and they of it. An issuer that restarts has forgotten its
schedule and starts a new one without unused time to make up for, which cannot exceed
the limit together with the permits issued before.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from quetzaldeck.decisions.rate_limits.fleet_size import FleetSize
from quetzaldeck.decisions.rate_limits.issuer_ranking import IssuerRanking
from quetzaldeck.decisions.rate_limits.send_schedule import Permit, SendSchedule

if TYPE_CHECKING:
    from collections.abc import Container, Sequence

    from quetzaldeck.decisions.rate_limits.issuer_bounds import IssuerBounds

DEPUTY_RATE_SHARE = 0.5
"""The tolerance of upstreams is one and a half times their limit."""


class PermitIssuer:
    """Issues permits for the upstreams that this VM is the issuer or deputy of.

    :param own: address of this VM
    :param bounds: how fast the VMs learn of each other
    """

    def __init__(self, own: str, bounds: IssuerBounds) -> None:
        self._own = own
        self._bounds = bounds
        self._ranking = IssuerRanking(own)
        self._schedules: dict[tuple[str, str], SendSchedule] = {}
        self._cold_schedules: dict[str, SendSchedule] = {}
        self._fleet_size = FleetSize()
        self._alone_since_ms: float | None = None
        self._alone_until_ms = float("-inf")

    def note_fleet(self, n_peers: int, now_ms: float) -> None:
        """Record that this VM expects other VMs and knows ``n_peers`` of them now."""
        self._fleet_size.note(n_peers + 1, now_ms)
        if n_peers:
            self._alone_since_ms = None
            return
        if self._alone_since_ms is None:
            self._alone_since_ms = now_ms
        self._alone_until_ms = now_ms

    def issue(
        self,
        upstream: str,
        incarnation: str,
        requests_per_s: float,
        max_wait_ms: float,
        peers: Sequence[str],
        now_ms: float,
    ) -> Permit | None:
        """Answer a VM that wants to send a request to an upstream.

        :param requests_per_s: the limit in force
        :param max_wait_ms: how long the request can wait for its turn
        :param peers: addresses of the other VMs
        :param now_ms: uptime of this VM, which goes on while the VM is suspended
        :returns: ``None`` if this VM issues no permits for the upstream
        """
        share = self._rate_share(upstream, peers, now_ms)
        if not share:
            return None
        key = (upstream, incarnation)
        schedule = self._schedules.get(key)
        if schedule is None:
            schedule = SendSchedule(requests_per_s * share, now_ms)
            self._schedules[key] = schedule
        schedule.set_rate(requests_per_s * share, now_ms)
        return schedule.reserve(max_wait_ms, now_ms)

    def issue_cold(
        self,
        upstream: str,
        requests_per_s: float | None,
        max_wait_ms: float,
        peers: Sequence[str],
        now_ms: float,
    ) -> Permit | None:
        """Answer a VM that wants to send a request to a cold upstream.

        Parts of a partitioned fleet do not know of each other's permits, so only one
        with more than half of the VMs issues any. There is one schedule for all
        incarnations, since VMs may not know yet which one is running, and no unused
        time is made up for.

        :param requests_per_s: the limit in force; ``None``: no request may be sent
        :param max_wait_ms: how long the request can wait for its turn
        :returns: ``None`` if this VM issues no permits for the upstream
        """
        share = self._rate_share(upstream, peers, now_ms)
        if not share or not self._has_majority(len(peers) + 1, now_ms):
            return None
        if requests_per_s is None:
            return Permit(is_granted=False, wait_ms=math.inf)
        rate = requests_per_s * share
        schedule = self._cold_schedules.get(upstream)
        if schedule is None:
            schedule = SendSchedule(rate, now_ms)
            self._cold_schedules[upstream] = schedule
        schedule.set_rate(rate, now_ms)
        return schedule.reserve(max_wait_ms, now_ms, max_burst_ms=0.0)

    def is_settled(self, n_peers: int, now_ms: float) -> bool:
        """Check whether this VM and the others have had time to learn of each other.

        A VM that knows no other for so long that the others have removed it issues
        permits to itself, since no other VM does.

        :param n_peers: number of other VMs known
        """
        bounds = self._bounds
        if self._alone_since_ms is not None:
            return now_ms - self._alone_since_ms >= bounds.removal_ms
        is_small = n_peers < bounds.n_small_fleet
        settling_ms = bounds.settling_ms if is_small else bounds.large_settling_ms
        return now_ms - self._alone_until_ms >= settling_ms

    def rank(self, upstream: str, peers: Sequence[str]) -> tuple[str, ...]:
        """Rank the VMs that may issue an upstream's permits.

        :param peers: addresses of the other VMs
        :returns: the issuer and, if there is another VM, its deputy
        """
        return self._ranking.rank(upstream, peers)

    def expire(self, upstreams: Container[str]) -> None:
        """Forget the schedules of upstreams that are gone."""
        for key in [key for key in self._schedules if key[0] not in upstreams]:
            del self._schedules[key]
        for name in [name for name in self._cold_schedules if name not in upstreams]:
            del self._cold_schedules[name]

    def _has_majority(self, n_vms: int, now_ms: float) -> bool:
        """:returns: whether this part of the fleet is larger than all others together

        A VM that expects others and knows none cannot tell.
        """
        if self._alone_since_ms is not None:
            return False
        return 2 * n_vms > self._fleet_size.find_largest(n_vms, now_ms)

    def _rate_share(self, upstream: str, peers: Sequence[str], now_ms: float) -> float:
        """:returns: share of the limit that this VM issues; 0: none"""
        if not self.is_settled(len(peers), now_ms):
            return 0.0
        ranked = self.rank(upstream, peers)
        if self._own == ranked[0]:
            return 1.0
        return DEPUTY_RATE_SHARE if self._own == ranked[1] else 0.0


__all__ = ("PermitIssuer",)
