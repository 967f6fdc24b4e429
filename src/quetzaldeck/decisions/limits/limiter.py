"""Limits of each customer over the whole fleet, held by each VM for its part.

Load pattern: a customer with a limit sends to all VMs, or all its calls arrive at
one, or it begins at all of them in the same second. With a fixed part for each VM
the second case gets a seventh of what was bought; with the whole limit at each VM
the third gets seven times as much.

Each VM may always use an equal share. It may also use what the others leave, by what
they said last, divided among the VMs that use up their share, and only after the
customer has been there for longer than news travel. A VM that was idle for the
customer can use its share at once, whatever the others borrowed.

Bound, for a limit L and n VMs: no VM uses more than L, and all together use less
than (2 - 1/n) L, which happens when one VM has borrowed all and the customer then
begins at all others at once; it lasts until the requests that were borrowed for
end. A customer that begins at all VMs at once stays within L. In a partition each
part, once it counts only its own VMs, keeps to the same bound by itself. One request
passes at each VM where the customer has none, if the fleet leaves anything, so that
prompts larger than a share are served: at most n - 1 requests more.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.limits.bounds import LimitBounds
from quetzaldeck.decisions.limits.customer_state import CustomerState
from quetzaldeck.decisions.limits.share import compute_allowance, may_use
from quetzaldeck.decisions.limits.usage import Usage, UsageUpdate
from quetzaldeck.outcomes import Failure, Ran, Reason

if TYPE_CHECKING:
    import random

    from quetzaldeck.bundle.document import Bundle
    from quetzaldeck.decisions.limits.share import Allowance
    from quetzaldeck.decisions.request import Request

MIN_RETRY_AFTER_MS = 200.0
MAX_RETRY_AFTER_MS = 30_000.0
"""Bounds of what callers over a limit are told: some requests of theirs have ended
after the first, and they should notice a new limit within the second."""
DEFAULT_STAY_MS = 1_000.0
"""Time that a request is taken to hold its place before any has ended."""
JITTER = 0.2
"""Part of the time that is random, so that callers do not return in step."""


class CustomerLimiter:
    """One VM's part of the limits of all customers.

    Customers without limits cost nothing, and no step looks at other customers.

    :param random_state: source of jitter
    """

    def __init__(
        self, *, random_state: random.Random, bounds: LimitBounds | None = None
    ) -> None:
        self._random_state = random_state
        self._bounds = bounds or LimitBounds()
        self._states: dict[str, CustomerState] = {}
        self._changed: set[str] = set()
        self.n_vms = 1

    @property
    def bounds(self) -> LimitBounds:
        """:returns: figures"""
        return self._bounds

    def configure(self, bundle: Bundle, now_ms: float) -> None:
        """Take the limits of the bundle in force; keep what is in use."""
        states = {}
        for customer in bundle.customers:
            if any(customer.limits):
                state = self._states.get(customer.name)
                states[customer.name] = state or CustomerState(customer.limits, now_ms)
                states[customer.name].limits = customer.limits
        self._states = states

    def observe(self, vm: str, news: UsageUpdate, now_ms: float) -> None:
        """Take what another VM says of its usage."""
        state = self._states.get(news.customer)
        if state is not None:
            state.observe(vm, news.usage, now_ms)

    def check(self, request: Request, now_ms: float) -> Failure | None:
        """:returns: the refusal of a request over a limit, ``None`` if it is within"""
        state = self._states.get(request.customer)
        if state is None:
            return None
        state.note_wanted(now_ms, self._bounds.want_ms)
        wait_ms = self._wait_ms(state, request, now_ms)
        if wait_ms is None:
            return None
        wait_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms))
        wait_ms *= 1.0 + self._random_state.uniform(0.0, JITTER)
        return Failure(Reason.CUSTOMER_LIMIT, Ran.NO, wait_ms)

    def admit(self, request: Request, now_ms: float) -> None:
        """Count a request that was admitted."""
        state = self._states.get(request.customer)
        if state is not None:
            state.admit(request, now_ms)
            self._changed.add(request.customer)

    def release(self, request: Request, now_ms: float) -> None:
        """Count a request that ended; call it once for each admitted one."""
        state = self._states.get(request.customer)
        if state is not None and state.n_requests > 0:
            state.release(request, now_ms)
            self._changed.add(request.customer)

    def take_updates(self, now_ms: float) -> list[UsageUpdate]:
        """:returns: usage that other VMs should know and have not been told"""
        news = []
        for customer in sorted(self._changed):
            state = self._states.get(customer)
            if state is None:
                self._changed.discard(customer)
                continue
            usage = state.usage(now_ms)
            if not self._is_worth_telling(state, usage, now_ms):
                continue
            state.told, state.told_ms = usage, now_ms
            news.append(UsageUpdate(customer, usage))
            if not usage.n_requests and usage.tokens_per_s < 1.0:
                self._changed.discard(customer)
        return news

    def _wait_ms(
        self, state: CustomerState, request: Request, now_ms: float
    ) -> float | None:
        """:returns: time until the request may pass; ``None``: now"""
        limits = state.limits
        peers = state.list_peers(now_ms, self._bounds.expiry_ms)
        checks = (
            (limits.requests_in_flight, state.n_requests, 1, 0),
            (limits.tokens_in_flight, state.n_tokens, request.n_kv_tokens, 1),
        )
        for limit, own, cost, index in checks:
            if not limit:
                continue
            allowance = self._allowance(
                state, limit, own, [peer[index] for peer in peers], now_ms
            )
            is_first = not state.n_requests and allowance.left > 0
            if not is_first and not may_use(allowance, own, cost):
                stay_ms = state.stay_ms.value or DEFAULT_STAY_MS
                return stay_ms / max(1, state.n_requests)
        return self._rate_wait_ms(state, peers, now_ms)

    def _rate_wait_ms(
        self, state: CustomerState, peers: list[Usage], now_ms: float
    ) -> float | None:
        limit = state.limits.tokens_per_second
        if not limit:
            return None
        own = state.rate.tokens_per_s(now_ms)
        rates = [peer.tokens_per_s for peer in peers]
        allowance = self._allowance(state, limit, own, rates, now_ms)
        rate = max(allowance.share, min(allowance.most, allowance.left + own))
        return state.rate.wait_ms(rate, self._bounds.burst_ms, now_ms) or None

    def _allowance(
        self,
        state: CustomerState,
        limit: float,
        own: float,
        peers: list[float],
        now_ms: float,
    ) -> Allowance:
        bounds = self._bounds
        return compute_allowance(
            limit,
            own=own,
            peers=peers,
            n_vms=self.n_vms,
            borrower_share=bounds.borrower_share,
            may_borrow=now_ms - state.wanted_since_ms >= bounds.slow_start_ms,
        )

    def _is_worth_telling(
        self, state: CustomerState, usage: Usage, now_ms: float
    ) -> bool:
        told = state.told
        age_ms = now_ms - state.told_ms
        if told is None or age_ms >= self._bounds.refresh_ms:
            return True
        if age_ms < self._bounds.news_interval_ms:
            return False
        return any(
            abs(new - old) > self._bounds.min_change * max(new, old)
            for new, old in zip(usage, told, strict=True)
        )


__all__ = ("CustomerLimiter",)
