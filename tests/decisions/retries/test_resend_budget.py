"""Tests that the bound on resends holds over all VMs, which share no counter."""

from __future__ import annotations

import random

import pytest

from quetzaldeck.decisions.retries import ResendBudget
from quetzaldeck.decisions.retries.resend_budget import MIN_RESENDS

WINDOW_MS = 10_000.0
RATIO = 0.2


@pytest.mark.parametrize("n_vms", [1, 7, 84])
def test_resends_of_all_vms_keep_to_the_ratio(n_vms: int) -> None:
    """Guards against replicas overloaded by resends of requests that they rejected.

    The load balancer spreads requests unevenly over the VMs; every request fails and is
    resent as often as the budget allows, for six windows.
    """
    random_state = random.Random(1)
    budgets = [ResendBudget(ratio=RATIO, window_ms=WINDOW_MS) for _ in range(n_vms)]
    weights = [random_state.paretovariate(1.5) for _ in budgets]
    requests: list[float] = []
    resends: list[float] = []
    now_ms = 0.0
    while now_ms < 6 * WINDOW_MS:
        now_ms += random_state.expovariate(1 / 10.0)
        budget = random_state.choices(budgets, weights)[0]
        budget.record_request("plans", now_ms)
        requests.append(now_ms)
        while budget.try_spend("plans", now_ms):
            resends.append(now_ms)
    for begin in range(0, int(5 * WINDOW_MS), 500):
        end = begin + WINDOW_MS
        n_resends = sum(begin <= at < end for at in resends)
        n_before = sum(begin - WINDOW_MS <= at < begin for at in requests)
        n_within = sum(begin <= at < end for at in requests)
        assert n_resends <= RATIO * (n_before + n_within) + MIN_RESENDS * n_vms


def test_each_service_has_its_own_budget() -> None:
    budget = ResendBudget(ratio=0.0, window_ms=WINDOW_MS, min_resends=1)
    assert budget.try_spend("plans", 0.0)
    assert not budget.try_spend("plans", 1.0)
    assert budget.try_spend("desk", 1.0)
    assert budget.try_spend("plans", WINDOW_MS + 1)
