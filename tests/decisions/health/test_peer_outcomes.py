"""The running sum of the outcomes that other VMs report about an upstream."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from quetzaldeck.decisions.health.outcomes import DecayingOutcomes, Outcomes
from quetzaldeck.decisions.health.peer_outcomes import MIN_PRUNE_SIZE, PeerOutcomes

REPORTS = st.tuples(
    st.integers(0, 40),
    st.floats(0.0, 3_000.0),
    st.builds(Outcomes, st.floats(0.0, 9.0), st.floats(0.0, 9.0)),
)


@given(st.lists(REPORTS, max_size=80))
def test_sum_equals_the_outcomes_of_all_vms(
    reports: list[tuple[int, float, Outcomes]],
) -> None:
    """Guards against a running sum that drifts from the sum of the VMs' outcomes."""
    peer_outcomes = PeerOutcomes()
    counts: dict[int, DecayingOutcomes] = {}
    now_ms = 0.0
    for vm, pause_ms, outcomes in reports:
        now_ms += pause_ms
        peer_outcomes.update(f"vm-{vm}", outcomes, now_ms)
        counts.setdefault(vm, DecayingOutcomes()).replace(outcomes, now_ms)
        total = Outcomes()
        for count in counts.values():
            total = total.add(count.at(now_ms))
        # Each pruned VM may account for up to a twentieth of a request.
        assert peer_outcomes.at(now_ms) == pytest.approx(total, abs=0.05 * len(counts))


def test_outcomes_of_earlier_vm_incarnations_are_pruned() -> None:
    """Guards against a memory leak: each incarnation of a VM reports under a new id."""
    peer_outcomes = PeerOutcomes()
    for number in range(50 * MIN_PRUNE_SIZE):
        peer_outcomes.update(f"run-{number}", Outcomes(1.0, 0.0), 10_000.0 * number)
    assert len(peer_outcomes) <= 2 * MIN_PRUNE_SIZE


def test_repeated_report_keeps_its_age() -> None:
    """Guards against failures that never decay: VMs repeat them every two seconds."""
    peer_outcomes = PeerOutcomes()
    for now_ms in range(0, 60_000, 2_000):
        peer_outcomes.update("vm-1", Outcomes(0.0, 2.0), float(now_ms))
    assert peer_outcomes.at(60_000.0).n_failed == pytest.approx(2.0 * 0.5**6)
