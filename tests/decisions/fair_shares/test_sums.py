"""Sums of dispatched tokens: when they are announced and how increases are counted."""

from __future__ import annotations

from quetzaldeck.decisions.fair_shares import DispatchedTokens, FleetShares, ShareSum
from quetzaldeck.decisions.fair_shares.dispatched_tokens import (
    FLEET_SUMS_PER_S,
    FORGET_MS,
    MAX_SUMS,
)
from quetzaldeck.decisions.fair_shares.fleet_shares import RECENT_MS

LATER_MS = FORGET_MS + 1.0
"""A time at which this VM has run for long enough to count sums from their beginning"""


def share(n_tokens: int, customer: str = "c0") -> ShareSum:
    return ShareSum("m/0", customer, n_tokens)


def test_announcements_of_all_vms_are_bounded() -> None:
    """Guards against traffic that grows with the square of the number of VMs."""
    for n_vms in (7, 64, 118, 410):
        own = DispatchedTokens()
        n_sums = 0
        for now_ms in range(0, 60_000, 10):
            own.note_dispatched("m/0", f"c{now_ms % 24}", 1_000, now_ms)
            n_sums += len(own.take_changes(now_ms, n_vms))
        # The first announcement does not wait.
        assert (n_sums - 8) * n_vms / 60 <= FLEET_SUMS_PER_S
        assert n_sums * n_vms / 60 >= FLEET_SUMS_PER_S * 0.6


def test_largest_change_goes_first_and_is_not_repeated() -> None:
    """Guards against a burst that is announced after all small customers."""
    own = DispatchedTokens()
    for customer, n_tokens in (("small", 10), ("burst", 900), ("medium", 100)):
        own.note_dispatched("m/0", customer, n_tokens, 0.0)
    assert own.take_changes(0.0, 410) == [share(900, "burst")]
    assert own.take_changes(499.0, 1) == []
    own.note_dispatched("m/0", "burst", 1, 500.0)
    assert own.take_changes(20_000.0, 2) == [
        share(100, "medium"),
        share(10, "small"),
        share(901, "burst"),
    ]
    assert own.take_changes(21_000.0, 2) == []


def test_number_of_sums_is_bounded() -> None:
    """Guards against memory that grows with all customers ever served."""
    own = DispatchedTokens()
    for number in range(2 * MAX_SUMS):
        own.note_dispatched("m/0", f"c{number}", 1, 0.0)
    changes = [change for t in range(1, 99) for change in own.take_changes(t * 500, 1)]
    assert len(changes) <= MAX_SUMS


def test_next_sum_makes_up_for_a_lost_one() -> None:
    fleet = FleetShares(0.0)
    assert fleet.apply("vm", [share(100)], LATER_MS) == [share(100)]
    assert fleet.apply("vm", [share(700)], LATER_MS + 1_000) == [share(600)]
    assert fleet.apply("vm", [share(700)], LATER_MS + 1_000) == []


def test_restarted_vm_counts_from_zero() -> None:
    """Guards against a restart that hides or doubles what a VM dispatches."""
    fleet = FleetShares(0.0)
    fleet.apply("vm/1", [share(1_000)], LATER_MS)
    assert fleet.apply("vm/2", [share(10)], LATER_MS) == [share(10)]
    assert fleet.apply("vm/1", [share(40)], LATER_MS) == [share(40)]


def test_history_before_the_start_of_this_vm_does_not_count() -> None:
    """Guards against a new VM that passes over a customer for its service of hours."""
    fleet = FleetShares(0.0)
    assert fleet.apply("vm", [share(1_000_000)], 5.0) == []
    assert fleet.apply("vm", [share(1_000_100)], 1_005.0) == [share(100)]


def test_increase_over_a_partition_counts_for_recent_service_only() -> None:
    """Guards against a customer that is locked out when a partition ends."""
    fleet = FleetShares(0.0)
    fleet.apply("vm", [share(0)], LATER_MS)
    healed_ms = LATER_MS + 3 * RECENT_MS
    assert fleet.apply("vm", [share(9_000)], healed_ms) == [share(3_000)]
