"""Served shares of 24 customers of unequal size while one sends a burst.

Load: see ``shared_capacity``. The bound of 0.02 is the requirement of
``docs/design/hard-load.md``.
"""

from __future__ import annotations

import random
from statistics import mean
from typing import NamedTuple

import pytest
from tests.decisions.fair_shares.shared_capacity import N_CUSTOMERS, Fleet

from quetzaldeck.decisions.request import MAX_MEDIUM_TOKENS

MAX_LOSS = 0.02
MIN_USED_SHARE = 0.98
"""Capacity used during the burst, while requests wait; a prompt of up to 200,000 tokens
may begin before its end and be counted within it, or the reverse."""

SEEDS = (1, 2, 3)


class Shares(NamedTuple):
    """Served shares of the burst customer and of all others, means over the seeds."""

    others: float
    burst: float


def measure(n_vms: int, customer: str, *, is_shared: bool, sends_burst: bool) -> Shares:
    burst = customer if sends_burst else ""
    shares = []
    for seed in SEEDS:
        fleet = Fleet(n_vms, is_shared=is_shared, burst=burst, seed=seed)
        fleet.run()
        assert not sends_burst or fleet.used_share() > MIN_USED_SHARE
        shares.append(read_shares(fleet, customer))
    return Shares(*map(mean, zip(*shares, strict=True)))


def read_shares(fleet: Fleet, customer: str) -> Shares:
    return Shares(
        fleet.served_share(lambda request: request.customer != customer),
        fleet.served_share(lambda request: request.customer == customer),
    )


@pytest.mark.parametrize("n_vms", [7, 64, 118])
@pytest.mark.parametrize("customer", ["c1", "c2"])
def test_burst_costs_the_others_little(n_vms: int, customer: str) -> None:
    """Guards against one customer's burst that takes the places of the others.

    The second largest customer sends 13 % of the requests, the third 9 %. The output
    states the shares with fairness within each VM beside those over all VMs.
    """
    usual = measure(n_vms, customer, is_shared=False, sends_burst=False)
    local = measure(n_vms, customer, is_shared=False, sends_burst=True)
    shared = measure(n_vms, customer, is_shared=True, sends_burst=True)
    print(f"{n_vms} VMs, burst of {customer}: {usual=} {local=} {shared=}")
    assert usual.others - shared.others < MAX_LOSS


def test_urgent_before_patient_and_long_prompts_served() -> None:
    """Guards against a kind of request that is served less often than a patient one."""
    fleet = Fleet(118, is_shared=True, burst="c2")
    fleet.run()
    urgent = fleet.served_share(lambda request: request.priority == 0)
    patient = fleet.served_share(lambda request: request.priority == 2)
    longest = fleet.served_share(
        lambda request: request.n_prompt_tokens > MAX_MEDIUM_TOKENS
    )
    assert urgent >= patient > 0.9
    assert longest > 0.9


def test_order_stays_sane_under_faults() -> None:
    """Guards against a customer that starves when sums are lost or a VM restarts.

    A fifth of the announcements is lost, a partition halves the fleet for three seconds
    of the burst, and two VMs restart.
    """
    chance = random.Random(3)

    def loses(sender: int, receiver: int, now_ms: float) -> bool:
        is_partitioned = 17_000 <= now_ms < 20_000
        is_across = sender % 2 != receiver % 2
        return (is_partitioned and is_across) or chance.random() < 0.2

    def restart(now_ms: float) -> None:
        if now_ms in {18_000, 21_000}:
            fleet.restart(int(now_ms) % 64, now_ms)

    fleet = Fleet(64, is_shared=True, burst="c2", loses=loses)
    fleet.run(restart)
    assert read_shares(fleet, "c2").others > 1.0 - MAX_LOSS
    for number in range(N_CUSTOMERS):
        assert read_shares(fleet, f"c{number}").burst > 0.8
