"""Permits to send requests to upstreams that limit their rate."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.clock.clock import MS_PER_SECOND
from quetzaldeck.decisions import AttemptFault
from quetzaldeck.decisions.cold_replicas import COLD_LATENESS_MS
from quetzaldeck.decisions.rate_limits import IssuerBounds, Permit, PermitIssuer
from quetzaldeck.entry.peers.greetings import GREETING_INTERVAL_MS
from quetzaldeck.entry.peers.permit_client import UNAVAILABLE_MS, PermitClient
from quetzaldeck.entry.peers.table import (
    MAX_SHARED_ADDRESSES,
    PEER_TTL_MS,
    STABLE_AFTER_MS,
)
from quetzaldeck.upstreams import UpstreamError

if TYPE_CHECKING:
    from collections.abc import Container

    from quetzaldeck.clock import Clock
    from quetzaldeck.decisions.cold_replicas import EffectiveLimit
    from quetzaldeck.entry.peers.permit_client import SendRequest
    from quetzaldeck.entry.peers.table import PeerTable
    from quetzaldeck.entry.rate_limits import RateLimits
    from quetzaldeck.telemetry.upstream_metrics import UpstreamMetrics

N_SETTLING_GREETINGS = 6
"""Greetings after which all VMs of a small fleet know a new one."""

ISSUER_BOUNDS = IssuerBounds(
    n_small_fleet=MAX_SHARED_ADDRESSES,
    settling_ms=N_SETTLING_GREETINGS * GREETING_INTERVAL_MS,
    large_settling_ms=STABLE_AFTER_MS,
    removal_ms=PEER_TTL_MS,
)

MAX_LATENESS_MS = 500.0
"""Time after its turn for which a permit is valid. A VM that was paused or suspended
meanwhile must not use it, since the permits of others have followed."""


class HeldPermit(NamedTuple):
    """A request may be sent to an upstream.

    :param cold_turn_ms: uptime of its turn among the requests that the upstream gets
        while it is cold; ``None``: the upstream was warm, as far as this VM knew
    """

    upstream: str
    cold_turn_ms: float | None = None


class Permits:
    """Obtains permits for this VM's requests, and issues those that it has to.

    :param own: address of this VM
    :param limits: the limits that upstreams name
    """

    def __init__(
        self, own: str, limits: RateLimits, clock: Clock, metrics: UpstreamMetrics
    ) -> None:
        self._own = own
        self._limits = limits
        self._clock = clock
        self._metrics = metrics
        self._issuer = PermitIssuer(own, ISSUER_BOUNDS)
        self._client = PermitClient(clock, metrics)
        self._table: PeerTable | None = None

    @property
    def client(self) -> PermitClient:
        """:returns: the client that asks other VMs"""
        return self._client

    @property
    def _peers(self) -> tuple[str, ...]:
        return () if self._table is None else self._table.addresses

    def connect(self, table: PeerTable, send: SendRequest) -> None:
        """Use the connection to the other VMs.

        :param table: the other VMs
        :param send: sends a request to the VM at an address
        """
        self._table = table
        self._client.connect(send)
        self.note_fleet()

    def note_fleet(self) -> None:
        """Record whether this VM knows any of the others that it should know."""
        if self._table is not None and (self._peers or self._table.unknown_seeds):
            self._issuer.note_fleet(len(self._peers), self._clock.uptime_ms())

    def expire(self, upstreams: Container[str]) -> None:
        """Forget upstreams that are gone.

        :param upstreams: names of the upstreams that exist
        """
        self._issuer.expire(upstreams)
        self._client.expire(upstreams)

    async def acquire(self, upstream: str, max_wait_ms: float) -> HeldPermit:
        """Wait until a request may be sent to an upstream.

        :param max_wait_ms: how long the request can wait for its turn
        :returns: the permit, to be checked when the request is sent
        :raises UpstreamError: if it may not be sent in time; it was not sent
        """
        limit = self._limits.find(upstream)
        if limit is None:
            return HeldPermit(upstream)
        asked_ms = self._clock.uptime_ms()
        permit = await self._obtain(limit, max_wait_ms)
        if not permit.is_granted:
            self._metrics.permits.labels("refused").inc()
            raise self._refuse(upstream, permit.wait_ms)
        if permit.wait_ms:
            await asyncio.sleep(permit.wait_ms / MS_PER_SECOND)
        late_ms = self._clock.uptime_ms() - asked_ms - permit.wait_ms
        if late_ms > MAX_LATENESS_MS:
            self._metrics.permits.labels("late").inc()
            raise self._refuse(upstream, 0.0)
        self._metrics.permits.labels("granted").inc()
        turn_ms = asked_ms + permit.wait_ms
        return HeldPermit(upstream, turn_ms if limit.cold is not None else None)

    def check(self, held: HeldPermit) -> None:
        """Check right before a request is sent that its permit is still valid.

        An upstream may have become cold since the permit was issued, or the VM may have
        been suspended or have waited for memory.

        :raises UpstreamError: if the request must not be sent now
        """
        if self._limits.find_cold(held.upstream) is None:
            return
        now_ms = self._clock.uptime_ms()
        turn_ms = held.cold_turn_ms
        if turn_ms is None or now_ms - turn_ms > COLD_LATENESS_MS:
            self._metrics.permits.labels("late").inc()
            raise self._refuse(held.upstream, 0.0)

    def issue(
        self, upstream: str, max_wait_ms: float, *, is_known_cold: bool = False
    ) -> Permit | None:
        """Issue a permit to a VM, if this VM is the one to do so.

        The VM that asks may not know yet that the limit has ended.

        :param is_known_cold: whether that VM knows that the upstream is cold
        :returns: ``None`` if this VM issues no permits for the upstream
        """
        limit = self._limits.find(upstream)
        now_ms = self._clock.uptime_ms()
        if limit is not None and limit.cold is not None:
            permit = self._issuer.issue_cold(
                upstream, limit.requests_per_s, max_wait_ms, self._peers, now_ms
            )
            self._note_issued(upstream, permit)
            return permit
        if is_known_cold:
            # This VM does not know the replica or the rate of its service yet.
            return None
        statement = None if limit is None else limit.stated
        if statement is None or statement.requests_per_s is None:
            return Permit(is_granted=True, wait_ms=0.0)
        permit = self._issuer.issue(
            upstream,
            statement.incarnation,
            statement.requests_per_s,
            max_wait_ms,
            self._peers,
            now_ms,
        )
        self._note_issued(upstream, permit)
        return permit

    def _note_issued(self, upstream: str, permit: Permit | None) -> None:
        if permit is not None and permit.is_granted:
            self._metrics.permits_issued.labels(upstream).inc()

    async def _obtain(self, limit: EffectiveLimit, max_wait_ms: float) -> Permit:
        """:returns: the permit of the issuer or, if it does not answer, its deputy"""
        for vm in self._issuer.rank(limit.upstream, self._peers):
            if vm == self._own:
                permit = self.issue(
                    limit.upstream, max_wait_ms, is_known_cold=limit.cold is not None
                )
            else:
                permit = await self._client.ask(vm, limit, max_wait_ms)
            if permit is not None:
                return permit
        return Permit(is_granted=False, wait_ms=UNAVAILABLE_MS)

    def _refuse(self, upstream: str, wait_ms: float) -> UpstreamError:
        """:returns: the error of a request that may not be sent for some time"""
        cold = self._limits.find_cold(upstream)
        if cold is not None:
            self._metrics.cold_refusals.labels(upstream).inc()
            wait_ms = min(wait_ms, cold.until_ms - self._clock.uptime_ms())
        return _refused(upstream, wait_ms)


def _refused(upstream: str, wait_ms: float) -> UpstreamError:
    return UpstreamError(
        AttemptFault.RATE_LIMITED,
        f"{upstream}: takes no further request for {wait_ms:.0f} ms",
        may_have_run=False,
        was_sent=False,
        upstream=upstream,
        retry_after_ms=wait_ms,
    )


__all__ = ("HeldPermit", "Permits")
