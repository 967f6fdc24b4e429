"""Sums of what other VMs tell of an upstream, kept while their news come."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from quetzaldeck.decisions.health.outcomes import DecayingOutcomes, Outcomes
from quetzaldeck.decisions.health.peer_outcomes import MIN_PRUNE_SIZE, PeerOutcomes

NEWS = st.tuples(
    st.integers(0, 40),
    st.floats(0.0, 3_000.0),
    st.builds(Outcomes, st.floats(0.0, 9.0), st.floats(0.0, 9.0)),
)


@given(st.lists(NEWS, max_size=80))
def test_sum_is_what_all_vms_told(news: list[tuple[int, float, Outcomes]]) -> None:
    """An upstream is avoided, or not, by a sum that is not that of its VMs."""
    kept = PeerOutcomes()
    counts: dict[int, DecayingOutcomes] = {}
    now_ms = 0.0
    for vm, pause_ms, outcomes in news:
        now_ms += pause_ms
        kept.take(f"vm-{vm}", outcomes, now_ms)
        counts.setdefault(vm, DecayingOutcomes()).replace(outcomes, now_ms)
        total = Outcomes()
        for count in counts.values():
            total = total.add(count.at(now_ms))
        # What is forgotten counts for a twentieth of a request a VM.
        assert kept.at(now_ms) == pytest.approx(total, abs=0.05 * len(counts))


def test_vms_that_restart_again_and_again_are_forgotten() -> None:
    """Each run of a VM has an id of its own; a day of restarts fills the memory."""
    kept = PeerOutcomes()
    for number in range(50 * MIN_PRUNE_SIZE):
        kept.take(f"run-{number}", Outcomes(1.0, 0.0), 10_000.0 * number)
    assert len(kept) <= 2 * MIN_PRUNE_SIZE


def test_told_again_is_as_old_as_before() -> None:
    """A VM repeats itself each two seconds; its failures would count for ever."""
    kept = PeerOutcomes()
    for now_ms in range(0, 60_000, 2_000):
        kept.take("vm-1", Outcomes(0.0, 2.0), float(now_ms))
    assert kept.at(60_000.0).n_failed == pytest.approx(2.0 * 0.5**6)
