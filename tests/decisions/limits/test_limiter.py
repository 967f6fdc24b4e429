"""Limits over a fleet whose VMs tell each other late, or not at all."""

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
NEWS_LAG_MS = 600.0
STEP_MS = 100.0
STAY_MS = 2_000.0


class LimitedFleet:
    """Limiters of all VMs, steps of time, and news that travel with a lag."""

    def __init__(self, limits: CustomerLimits, make_request: MakeRequest) -> None:
        bundle = Bundle(1, 1, customers=(CustomerSpec("gym", (), limits=limits),))
        self.now_ms = 0.0
        self.most = 0
        self.n_passed_tokens = 0
        self.cut: set[int] = set()
        self._make_request = make_request
        self._news: list[tuple[float, int, UsageUpdate]] = []
        self._ends: list[tuple[float, int, Request]] = []
        self.limiters = [
            CustomerLimiter(random_state=random.Random(vm)) for vm in range(N_VMS)
        ]
        for limiter in self.limiters:
            limiter.configure(bundle, 0.0)
            limiter.n_vms = N_VMS

    @property
    def n_running(self) -> int:
        """:returns: requests in flight on the whole fleet"""
        return len(self._ends)

    def run(self, vms: set[int], duration_ms: float, n_tries: int = 20) -> None:
        """Let the customer try all it can at some VMs for a time."""
        for _ in range(round(duration_ms / STEP_MS)):
            self.now_ms += STEP_MS
            self._end_requests()
            self._deliver_news()
            for vm in sorted(vms):
                for _ in range(n_tries):
                    self._try(vm)
            self._spread_news()
            self.most = max(self.most, self.n_running)

    def _try(self, vm: int) -> None:
        request = self._make_request(990, arrived_ms=self.now_ms)
        if self.limiters[vm].check(request, self.now_ms) is None:
            self.limiters[vm].admit(request, self.now_ms)
            self.n_passed_tokens += request.n_kv_tokens
            self._ends.append((self.now_ms + STAY_MS, vm, request))

    def _end_requests(self) -> None:
        for end in [e for e in self._ends if e[0] <= self.now_ms]:
            self._ends.remove(end)
            self.limiters[end[1]].release(end[2], self.now_ms)

    def _deliver_news(self) -> None:
        due = [item for item in self._news if item[0] <= self.now_ms]
        self._news = [item for item in self._news if item[0] > self.now_ms]
        for _, teller, news in due:
            for vm, limiter in enumerate(self.limiters):
                if vm != teller and (vm in self.cut) == (teller in self.cut):
                    limiter.observe(f"vm-{teller}", news, self.now_ms)

    def _spread_news(self) -> None:
        for vm, limiter in enumerate(self.limiters):
            for news in limiter.take_updates(self.now_ms):
                self._news.append((self.now_ms + NEWS_LAG_MS, vm, news))


@pytest.fixture
def fleet(make_request: MakeRequest) -> LimitedFleet:
    return LimitedFleet(CustomerLimits(requests_in_flight=LIMIT), make_request)


def test_limit_holds_when_a_customer_begins_everywhere_at_once(
    fleet: LimitedFleet,
) -> None:
    """The balancer spreads a burst over all VMs before any has heard of it."""
    fleet.run(set(range(N_VMS)), 20_000)
    assert 0.9 * LIMIT <= fleet.most <= LIMIT


def test_limit_is_nearly_reached_at_one_vm_alone(fleet: LimitedFleet) -> None:
    """All calls of a customer arrive at one VM: it gets what it has bought."""
    fleet.run({3}, 1_000)
    assert fleet.most == LIMIT // N_VMS
    fleet.run({3}, 9_000)
    assert 0.9 * LIMIT <= fleet.most <= LIMIT


def test_limit_is_overshot_within_its_bound_when_others_begin(
    fleet: LimitedFleet,
) -> None:
    """One VM has borrowed all when the customer begins at the other six.

    Each of them owns a share and may use it at once. The first one gives back as
    its requests end.
    """
    fleet.run({0}, 10_000)
    fleet.run(set(range(N_VMS)), 1_000)
    assert fleet.most <= (2 - 1 / N_VMS) * LIMIT
    fleet.most = 0
    fleet.run(set(range(N_VMS)), 3 * STAY_MS)
    fleet.most = 0
    fleet.run(set(range(N_VMS)), 10_000)
    assert 0.9 * LIMIT <= fleet.most <= LIMIT


def test_limit_holds_in_a_partition_until_the_list_drops_the_others(
    fleet: LimitedFleet,
) -> None:
    """Two parts hear nothing of each other, and both go on counting seven VMs.

    Each part borrows what it believes the other leaves: both reach the limit.
    """
    fleet.run(set(range(N_VMS)), 5_000)
    fleet.cut = {0, 1, 2}
    fleet.most = 0
    fleet.run(set(range(N_VMS)), 40_000)
    assert fleet.most <= 2 * LIMIT
    fleet.cut = set()
    fleet.run(set(range(N_VMS)), 10_000)
    fleet.most = 0
    fleet.run(set(range(N_VMS)), 10_000)
    assert fleet.most <= LIMIT


def test_rate_is_kept_by_all_vms_together(make_request: MakeRequest) -> None:
    limits = CustomerLimits(tokens_per_second=70_000)
    fleet = LimitedFleet(limits, make_request)
    fleet.run(set(range(N_VMS)), 30_000)
    burst = limits.tokens_per_second * 2
    assert fleet.n_passed_tokens <= 30 * limits.tokens_per_second + burst + 7_000
    assert fleet.n_passed_tokens >= 0.8 * 30 * limits.tokens_per_second


def test_rate_reaches_the_limit_at_one_vm(make_request: MakeRequest) -> None:
    limits = CustomerLimits(tokens_per_second=70_000)
    fleet = LimitedFleet(limits, make_request)
    fleet.run({2}, 10_000, n_tries=50)
    before = fleet.n_passed_tokens
    fleet.run({2}, 20_000, n_tries=50)
    passed = fleet.n_passed_tokens - before
    assert 0.8 * 20 * 70_000 <= passed <= 1.1 * 20 * 70_000


def test_check_lets_one_request_larger_than_a_share_pass(
    make_request: MakeRequest,
) -> None:
    """A season history has more tokens than a seventh of the customer's limit."""
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


def test_release_gives_back_what_admit_took(fleet: LimitedFleet) -> None:
    fleet.run({0, 1}, 10_000)
    fleet.run(set(), 3 * STAY_MS)
    assert fleet.n_running == 0
    fleet.run({0}, 10_000)
    assert fleet.n_running >= 0.9 * LIMIT
    assert all(limiter._states["gym"].n_requests == 0 for limiter in fleet.limiters[1:])


def test_check_costs_nothing_for_customers_without_limits(
    make_request: MakeRequest,
) -> None:
    limiter = CustomerLimiter(random_state=random.Random(1))
    limiter.configure(Bundle(1, 1, customers=(CustomerSpec("gym", ()),)), 0.0)
    request = make_request()
    for _ in range(100):
        assert limiter.check(request, 0.0) is None
        limiter.admit(request, 0.0)
    assert limiter.take_updates(0.0) == []
