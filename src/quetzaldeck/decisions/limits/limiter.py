"""Limits of each customer over the whole fleet; each VM enforces its part.

Load pattern: a customer with a limit sends to all VMs, or all its requests arrive at
one VM, or it starts at all VMs in the same second. With a fixed part of the limit per
VM, a customer at one of seven VMs gets a seventh of what it bought; with the whole
limit at each VM, a customer that starts at all seven gets seven times as much.

Each VM may always use an equal share. It may also borrow what the other VMs leave
unused according to their last updates, divided among the VMs that use up their share,
and only once the customer has been active there for longer than an update takes to
reach all VMs. A VM without recent requests of the customer can use its share at once,
whatever the others have borrowed.

Bound, for a limit L and n VMs: no VM uses more than L, and all together use less than
(2 - 1/n) L. The worst case is one VM that has borrowed everything when the customer
starts at all others at once; it lasts until the requests on borrowed capacity end. A
customer that starts at all VMs at once stays within L. In a network partition each
part, once it counts only its own VMs, keeps to the same bound by itself. A VM where the
customer has no requests admits one of any size if the fleet has anything left, so that
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
"""Bounds of the retry-after of callers over a limit: after the minimum some of their
requests have ended, and within the maximum they should notice a changed limit."""
DEFAULT_IN_FLIGHT_MS = 1_000.0
"""Assumed time in flight of a request until one of the customer has ended."""
JITTER = 0.2
"""Maximum random addition to the retry-after, as a share of it, so that callers do not
retry at the same time."""


class CustomerLimiter:
    """Enforces one VM's part of the limits of all customers.

    Customers without limits have no state, and each decision reads one customer's only.

    :param random_state: source of the jitter
    :param bounds: parameters, the defaults if not given
    """

    def __init__(
        self, *, random_state: random.Random, bounds: LimitBounds | None = None
    ) -> None:
        self._random_state = random_state
        self._bounds = bounds or LimitBounds()
        self._states: dict[str, CustomerState] = {}
        self._active_customers: set[str] = set()
        self.n_vms = 1

    @property
    def bounds(self) -> LimitBounds:
        """:returns: parameters of the limits"""
        return self._bounds

    def configure(self, bundle: Bundle, now_ms: float) -> None:
        """Apply the limits of a bundle; the usage of known customers is kept."""
        states = {}
        for customer in bundle.customers:
            if any(customer.limits):
                state = self._states.get(customer.name)
                states[customer.name] = state or CustomerState(customer.limits, now_ms)
                states[customer.name].limits = customer.limits
        self._states = states

    def observe(self, vm: str, update: UsageUpdate, now_ms: float) -> None:
        """Store an update on the usage at another VM."""
        state = self._states.get(update.customer)
        if state is not None:
            state.observe(vm, update.usage, now_ms)

    def check(self, request: Request, now_ms: float) -> Failure | None:
        """:returns: the refusal of a request over a limit, ``None`` if it is allowed"""
        state = self._states.get(request.customer)
        if state is None:
            return None
        state.note_request(now_ms, self._bounds.idle_reset_ms)
        retry_after_ms = self._retry_after_ms(state, request, now_ms)
        if retry_after_ms is None:
            return None
        retry_after_ms = min(
            MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, retry_after_ms)
        )
        retry_after_ms *= 1.0 + self._random_state.uniform(0.0, JITTER)
        return Failure(Reason.CUSTOMER_LIMIT, Ran.NO, retry_after_ms)

    def admit(self, request: Request, now_ms: float) -> None:
        """Count an admitted request."""
        state = self._states.get(request.customer)
        if state is not None:
            state.admit(request, now_ms)
            self._active_customers.add(request.customer)

    def release(self, request: Request, now_ms: float) -> None:
        """Count the end of a request; called once for each admitted request."""
        state = self._states.get(request.customer)
        if state is not None and state.n_requests > 0:
            state.release(request, now_ms)
            self._active_customers.add(request.customer)

    def take_updates(self, now_ms: float) -> list[UsageUpdate]:
        """:returns: updates that are due to be sent to the other VMs"""
        updates = []
        for customer in sorted(self._active_customers):
            state = self._states.get(customer)
            if state is None:
                self._active_customers.discard(customer)
                continue
            usage = state.usage(now_ms)
            if not self._should_send(state, usage, now_ms):
                continue
            state.last_sent, state.last_sent_ms = usage, now_ms
            updates.append(UsageUpdate(customer, usage))
            if not usage.n_requests and usage.tokens_per_s < 1.0:
                self._active_customers.discard(customer)
        return updates

    def _retry_after_ms(
        self, state: CustomerState, request: Request, now_ms: float
    ) -> float | None:
        """:returns: time until the request may be admitted; ``None``: now"""
        limits = state.limits
        peers = state.list_peers(now_ms, self._bounds.expiry_ms)
        checks = (
            (limits.requests_in_flight, state.n_requests, 1, 0),
            (limits.tokens_in_flight, state.n_tokens, request.n_kv_tokens, 1),
        )
        for limit, own, cost, index in checks:
            if not limit:
                continue
            allowance = self._compute_allowance(
                state, limit, own, [peer[index] for peer in peers], now_ms
            )
            is_only_request = not state.n_requests and allowance.remaining > 0
            if not is_only_request and not may_use(allowance, own, cost):
                in_flight_ms = state.in_flight_ms.value or DEFAULT_IN_FLIGHT_MS
                return in_flight_ms / max(1, state.n_requests)
        return self._rate_retry_after_ms(state, peers, now_ms)

    def _rate_retry_after_ms(
        self, state: CustomerState, peers: list[Usage], now_ms: float
    ) -> float | None:
        limit = state.limits.tokens_per_second
        if not limit:
            return None
        own = state.bucket.tokens_per_s(now_ms)
        rates = [peer.tokens_per_s for peer in peers]
        allowance = self._compute_allowance(state, limit, own, rates, now_ms)
        rate = max(allowance.share, min(allowance.max_usage, allowance.remaining + own))
        return state.bucket.wait_ms(rate, self._bounds.burst_ms, now_ms) or None

    def _compute_allowance(
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
            borrower_threshold=bounds.borrower_threshold,
            may_borrow=now_ms - state.active_since_ms >= bounds.slow_start_ms,
        )

    def _should_send(self, state: CustomerState, usage: Usage, now_ms: float) -> bool:
        last_sent = state.last_sent
        age_ms = now_ms - state.last_sent_ms
        if last_sent is None or age_ms >= self._bounds.refresh_interval_ms:
            return True
        if age_ms < self._bounds.min_update_interval_ms:
            return False
        return any(
            abs(new - old) > self._bounds.min_relative_change * max(new, old)
            for new, old in zip(usage, last_sent, strict=True)
        )


__all__ = ("CustomerLimiter",)
