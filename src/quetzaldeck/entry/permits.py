"""Permits to send requests to upstreams that limit their rate."""

from __future__ import annotations

import asyncio
from itertools import count
from typing import TYPE_CHECKING

from quetzaldeck.clock.clock import MS_PER_SECOND
from quetzaldeck.decisions import AttemptFault
from quetzaldeck.decisions.rate_limits import Permit, PermitIssuer
from quetzaldeck.entry.peers.messages import PermitRequest, build_limit_update
from quetzaldeck.telemetry import log_event
from quetzaldeck.upstreams import UpstreamError

if TYPE_CHECKING:
    from collections.abc import Callable, Container

    from quetzaldeck.clock import Clock
    from quetzaldeck.decisions.rate_limits import RateLimitStatement
    from quetzaldeck.entry.peers.messages import PermitAnswer
    from quetzaldeck.entry.peers.table import PeerTable
    from quetzaldeck.entry.rate_limits import RateLimits
    from quetzaldeck.telemetry.upstream_metrics import UpstreamMetrics

ANSWER_TIMEOUT_MS = 200.0
"""An answer takes a round trip between two availability zones, and the time for which a
VM with half a processor does not run."""

UNAVAILABLE_MS = 1_000.0
"""How long a VM that did not answer, or that issues no permits, is not asked again."""

MAX_LATENESS_MS = 500.0
"""Time after its turn for which a permit is valid. A VM that was paused or suspended
meanwhile must not use it, since the permits of others have followed."""


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
        self._issuer = PermitIssuer(own)
        self._table: PeerTable | None = None
        self._send: Callable[[str, PermitRequest], None] | None = None
        self._numbers = count(1)
        self._answers: dict[int, asyncio.Future[PermitAnswer]] = {}
        self._unavailable_until_ms: dict[tuple[str, str], float] = {}

    @property
    def _peers(self) -> tuple[str, ...]:
        return () if self._table is None else self._table.addresses

    def connect(
        self, table: PeerTable, send: Callable[[str, PermitRequest], None]
    ) -> None:
        """Use the connection to the other VMs.

        :param table: the other VMs
        :param send: sends a request to the VM at an address
        """
        self._table = table
        self._send = send
        self.note_fleet()

    def note_fleet(self) -> None:
        """Record whether this VM knows any of the others that it should know."""
        if self._table is not None and (self._peers or self._table.unknown_seeds):
            self._issuer.note_fleet(len(self._peers), self._clock.uptime_ms())

    def expire(self, upstreams: Container[str]) -> None:
        """Forget upstreams that are gone."""
        self._issuer.expire(upstreams)
        for key in [
            key for key in self._unavailable_until_ms if key[1] not in upstreams
        ]:
            del self._unavailable_until_ms[key]

    async def acquire(self, upstream: str, max_wait_ms: float) -> None:
        """Wait until a request may be sent to an upstream.

        :param max_wait_ms: how long the request can wait for its turn
        :raises UpstreamError: if it may not be sent in time; it was not sent
        """
        statement = self._limits.find(upstream)
        if statement is None:
            return
        asked_ms = self._clock.uptime_ms()
        permit = await self._obtain(statement, max_wait_ms)
        if not permit.is_granted:
            self._metrics.permits.labels("refused").inc()
            raise _refused(upstream, permit.wait_ms)
        if permit.wait_ms:
            await asyncio.sleep(permit.wait_ms / MS_PER_SECOND)
        late_ms = self._clock.uptime_ms() - asked_ms - permit.wait_ms
        if late_ms > MAX_LATENESS_MS:
            self._metrics.permits.labels("late").inc()
            raise _refused(upstream, 0.0)
        self._metrics.permits.labels("granted").inc()

    def issue(self, statement: RateLimitStatement, max_wait_ms: float) -> Permit | None:
        """Issue a permit to a VM, if this VM is the one to do so.

        :param statement: the limit that the VM knows; this VM may know a later one
        :returns: ``None`` if this VM issues no permits for the upstream
        """
        upstream = statement.upstream
        latest = self._limits.find(upstream)
        if latest is None or latest.requests_per_s is None:
            return Permit(is_granted=True, wait_ms=0.0)
        permit = self._issuer.issue(
            upstream,
            latest.incarnation,
            latest.requests_per_s,
            max_wait_ms,
            self._peers,
            self._clock.uptime_ms(),
        )
        if permit is not None and permit.is_granted:
            self._metrics.permits_issued.labels(upstream).inc()
        return permit

    def note_answer(self, answer: PermitAnswer) -> None:
        """Pass on the answer of another VM; an answer that comes too late is unused."""
        future = self._answers.pop(answer.number, None)
        if future is not None and not future.done():
            future.set_result(answer)

    async def _obtain(
        self, statement: RateLimitStatement, max_wait_ms: float
    ) -> Permit:
        """:returns: the permit of the issuer or, if it does not answer, its deputy"""
        for vm in self._issuer.rank(statement.upstream, self._peers):
            if vm == self._own:
                permit = self.issue(statement, max_wait_ms)
            else:
                permit = await self._ask(vm, statement, max_wait_ms)
            if permit is not None:
                return permit
        return Permit(is_granted=False, wait_ms=UNAVAILABLE_MS)

    async def _ask(
        self, vm: str, statement: RateLimitStatement, max_wait_ms: float
    ) -> Permit | None:
        """:returns: the permit of another VM; ``None`` if it issues none"""
        now_ms = self._clock.uptime_ms()
        unavailable_until_ms = self._unavailable_until_ms.get(
            (vm, statement.upstream), 0.0
        )
        if self._send is None or unavailable_until_ms > now_ms:
            return None
        number = next(self._numbers)
        future: asyncio.Future[PermitAnswer] = (
            asyncio.get_running_loop().create_future()
        )
        self._answers[number] = future
        limit = build_limit_update(statement, now_ms)
        self._send(vm, PermitRequest(number, limit, round(max_wait_ms, 1)))
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_MS / MS_PER_SECOND):
                answer = await future
        except TimeoutError:
            self._note_unavailable(vm, statement.upstream, "no_answer")
            return None
        finally:
            self._answers.pop(number, None)
        if not answer.is_issuer:
            self._note_unavailable(vm, statement.upstream, "not_issuer")
            return None
        return Permit(answer.is_granted, answer.wait_ms)

    def _note_unavailable(self, vm: str, upstream: str, why: str) -> None:
        until_ms = self._clock.uptime_ms() + UNAVAILABLE_MS
        self._unavailable_until_ms[vm, upstream] = until_ms
        self._metrics.permits.labels(why).inc()
        log_event("permit_issuer_unavailable", peer=vm, upstream=upstream, why=why)


def _refused(upstream: str, wait_ms: float) -> UpstreamError:
    return UpstreamError(
        AttemptFault.RATE_LIMITED,
        f"{upstream}: takes no further request for {wait_ms:.0f} ms",
        may_have_run=False,
        was_sent=False,
        upstream=upstream,
        retry_after_ms=wait_ms,
    )


__all__ = ("Permits",)
