"""Tests of fleet-wide limits when updates between VMs are delayed or lost."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest

from quetzaldeck.bundle import Bundle, CustomerLimits, CustomerSpec
from quetzaldeck.decisions.limits import CustomerLimiter, UsageUpdate
from quetzaldeck.outcomes import Ran, Reason

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzaldeck.decisions import Request

    MakeRequest = Callable[..., Request]

N_VMS = 7
LIMIT = 70
UPDATE_DELAY_MS = 600.0
STEP_MS = 100.0
IN_FLIGHT_MS = 2_000.0


class LimitedFleet:
    """Simulates the limiters of all VMs in time steps, with delayed updates.

    VMs in ``partition`` and the others get no updates from each other.
    """

    def __init__(self, limits: CustomerLimits, make_request: MakeRequest) -> None:
        bundle = Bundle(1, 1, customers=(CustomerSpec("gym", (), limits=limits),))
        self.now_ms = 0.0
        self.max_running = 0
        self.n_admitted_tokens = 0
        self.partition: set[int] = set()
        self._make_request = make_request
        self._updates: list[tuple[float, int, UsageUpdate]] = []
        self._ends: list[tuple[float, int, Request]] = []
        self.limiters = [
            CustomerLimiter(random_state=random.Random(vm)) for vm in range(N_VMS)
        ]
        for limiter in self.limiters:
            limiter.configure(bundle, 0.0)
            limiter.n_vms = N_VMS

    @property
    def n_running(self) -> int:
        """:returns: requests in flight in the whole fleet"""
        return len(self._ends)

    def run(
        self, vms: set[int], duration_ms: float, n_requests_per_step: int = 20
    ) -> None:
        """Let the customer send as much as possible to the given VMs."""
        for _ in range(round(duration_ms / STEP_MS)):
            self.now_ms += STEP_MS
            self._end_requests()
            self._deliver_updates()
            for vm in sorted(vms):
                for _ in range(n_requests_per_step):
                    self._send_request(vm)
            self._send_updates()
            self.max_running = max(self.max_running, self.n_running)

    def _send_request(self, vm: int) -> None:
        request = self._make_request(990, arrived_ms=self.now_ms)
        if self.limiters[vm].check(request, self.now_ms) is None:
            self.limiters[vm].admit(request, self.now_ms)
            self.n_admitted_tokens += request.n_kv_tokens
            self._ends.append((self.now_ms + IN_FLIGHT_MS, vm, request))

    def _end_requests(self) -> None:
        for end in [e for e in self._ends if e[0] <= self.now_ms]:
            self._ends.remove(end)
            self.limiters[end[1]].release(end[2], self.now_ms)

    def _deliver_updates(self) -> None:
        due = [item for item in self._updates if item[0] <= self.now_ms]
        self._updates = [item for item in self._updates if item[0] > self.now_ms]
        for _, sender, update in due:
            for vm, limiter in enumerate(self.limiters):
                if vm != sender and (vm in self.partition) == (
                    sender in self.partition
                ):
                    limiter.observe(f"vm-{sender}", update, self.now_ms)

    def _send_updates(self) -> None:
        for vm, limiter in enumerate(self.limiters):
            for update in limiter.take_updates(self.now_ms):
                self._updates.append((self.now_ms + UPDATE_DELAY_MS, vm, update))


@pytest.fixture
def fleet(make_request: MakeRequest) -> LimitedFleet:
    return LimitedFleet(CustomerLimits(requests_in_flight=LIMIT), make_request)


def test_limit_holds_when_a_customer_starts_at_all_vms_at_once(
    fleet: LimitedFleet,
) -> None:
    """A burst is balanced over all VMs before any update on it arrives."""
    fleet.run(set(range(N_VMS)), 20_000)
    assert 0.9 * LIMIT <= fleet.max_running <= LIMIT


def test_limit_is_nearly_reached_at_a_single_vm(fleet: LimitedFleet) -> None:
    """All requests of a customer arrive at one VM, which may use the whole limit."""
    fleet.run({3}, 1_000)
    assert fleet.max_running == LIMIT // N_VMS
    fleet.run({3}, 9_000)
    assert 0.9 * LIMIT <= fleet.max_running <= LIMIT


def test_limit_is_exceeded_only_within_the_stated_bound(
    fleet: LimitedFleet,
) -> None:
    """One VM has borrowed the whole limit when the customer starts at the other six.

    Each of the six may use its share at once, while the capacity that the first VM
    borrowed is returned only when the requests there end.
    """
    fleet.run({0}, 10_000)
    fleet.run(set(range(N_VMS)), 1_000)
    assert fleet.max_running <= (2 - 1 / N_VMS) * LIMIT
    fleet.max_running = 0
    fleet.run(set(range(N_VMS)), 3 * IN_FLIGHT_MS)
    fleet.max_running = 0
    fleet.run(set(range(N_VMS)), 10_000)
    assert 0.9 * LIMIT <= fleet.max_running <= LIMIT


def test_usage_stays_within_twice_the_limit_in_a_partition(
    fleet: LimitedFleet,
) -> None:
    """Two parts get no updates from each other but still count all seven VMs.

    Until the VM list drops the other part, each part borrows the shares that seem
    unused there, so each may reach the limit, and both together twice the limit.
    """
    fleet.run(set(range(N_VMS)), 5_000)
    fleet.partition = {0, 1, 2}
    fleet.max_running = 0
    fleet.run(set(range(N_VMS)), 40_000)
    assert fleet.max_running <= 2 * LIMIT
    fleet.partition = set()
    fleet.run(set(range(N_VMS)), 10_000)
    fleet.max_running = 0
    fleet.run(set(range(N_VMS)), 10_000)
    assert fleet.max_running <= LIMIT


def test_token_rate_limit_holds_over_all_vms(make_request: MakeRequest) -> None:
    limits = CustomerLimits(tokens_per_second=70_000)
    fleet = LimitedFleet(limits, make_request)
    fleet.run(set(range(N_VMS)), 30_000)
    burst = limits.tokens_per_second * 2
    assert fleet.n_admitted_tokens <= 30 * limits.tokens_per_second + burst + 7_000
    assert fleet.n_admitted_tokens >= 0.8 * 30 * limits.tokens_per_second


def test_token_rate_limit_is_reached_at_a_single_vm(make_request: MakeRequest) -> None:
    limits = CustomerLimits(tokens_per_second=70_000)
    fleet = LimitedFleet(limits, make_request)
    fleet.run({2}, 10_000, n_requests_per_step=50)
    before = fleet.n_admitted_tokens
    fleet.run({2}, 20_000, n_requests_per_step=50)
    admitted = fleet.n_admitted_tokens - before
    assert 0.8 * 20 * 70_000 <= admitted <= 1.1 * 20 * 70_000


def test_check_admits_one_request_larger_than_a_share(
    make_request: MakeRequest,
) -> None:
    """A very long prompt has more tokens than a seventh of the customer's limit."""
    limits = CustomerLimits(tokens_in_flight=1_000_000)
    fleet = LimitedFleet(limits, make_request)
    request = make_request(900_000)
    assert fleet.limiters[0].check(request, 0.0) is None
    fleet.limiters[0].admit(request, 0.0)
    failure = fleet.limiters[0].check(request, 0.0)
    assert failure is not None
    assert failure.reason is Reason.CUSTOMER_LIMIT
    assert failure.ran is Ran.NO
    assert failure.retry_after_ms is not None


def test_release_returns_the_usage_of_ended_requests(fleet: LimitedFleet) -> None:
    fleet.run({0, 1}, 10_000)
    fleet.run(set(), 3 * IN_FLIGHT_MS)
    assert fleet.n_running == 0
    fleet.run({0}, 10_000)
    assert fleet.n_running >= 0.9 * LIMIT
    assert all(limiter._states["gym"].n_requests == 0 for limiter in fleet.limiters[1:])


def test_customers_without_limits_are_neither_refused_nor_reported(
    make_request: MakeRequest,
) -> None:
    limiter = CustomerLimiter(random_state=random.Random(1))
    limiter.configure(Bundle(1, 1, customers=(CustomerSpec("gym", ()),)), 0.0)
    request = make_request()
    for _ in range(100):
        assert limiter.check(request, 0.0) is None
        limiter.admit(request, 0.0)
    assert limiter.take_updates(0.0) == []
