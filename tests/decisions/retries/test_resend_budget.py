"""The bound on repeated sends holds over all VMs, which share nothing."""

from __future__ import annotations

import random

import pytest

from quetzaldeck.decisions.retries import ResendBudget
from quetzaldeck.decisions.retries.resend_budget import FLOOR

WINDOW_MS = 10_000.0
RATIO = 0.2


@pytest.mark.parametrize("n_vms", [1, 7, 84])
def test_sum_over_all_vms_keeps_to_the_ratio(n_vms: int) -> None:
    """Replicas of a service are overrun by repeats of what they rejected.

    Load: the balancer gives VMs unlike parts of the traffic, and every request fails
    and is drawn for as often as the budget allows, for six windows.
    """
    random_state = random.Random(1)
    budgets = [ResendBudget(ratio=RATIO, window_ms=WINDOW_MS) for _ in range(n_vms)]
    weights = [random_state.paretovariate(1.5) for _ in budgets]
    arrivals: list[float] = []
    draws: list[float] = []
    now_ms = 0.0
    while now_ms < 6 * WINDOW_MS:
        now_ms += random_state.expovariate(1 / 10.0)
        vm = random_state.choices(budgets, weights)[0]
        vm.admit("plans", now_ms)
        arrivals.append(now_ms)
        while vm.draw("plans", now_ms):
            draws.append(now_ms)
    for begin in range(0, int(5 * WINDOW_MS), 500):
        end = begin + WINDOW_MS
        n_draws = sum(begin <= at < end for at in draws)
        n_before = sum(begin - WINDOW_MS <= at < begin for at in arrivals)
        n_within = sum(begin <= at < end for at in arrivals)
        assert n_draws <= RATIO * (n_before + n_within) + FLOOR * n_vms


def test_services_have_budgets_of_their_own() -> None:
    budget = ResendBudget(ratio=0.0, window_ms=WINDOW_MS, floor=1)
    assert budget.draw("plans", 0.0)
    assert not budget.draw("plans", 1.0)
    assert budget.draw("desk", 1.0)
    assert budget.draw("plans", WINDOW_MS + 1)
