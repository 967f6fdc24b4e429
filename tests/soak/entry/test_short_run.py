"""Short seeded runs of the soak: one, and every seed that ever failed."""

from __future__ import annotations

import pytest
import uvloop
from tests.soak.entry.faults import FAULTS
from tests.soak.entry.run import run_soak

SEEDS = {
    7: "the first one",
    109: "two faults restarted one VM; the run waited for the wrong process",
    117: "the store was down while all VMs were killed: they knew nothing and refused",
    121: "as 117; half of the calls were counted though nothing could be known",
}

NEWER_FAULTS = frozenset({"mute_replica", "slow_engine"})
"""Faults that came later: with them the seeds above would be other runs."""

NEWER_SEEDS = {
    720: "the first one with replicas that go mute and engines that are slow"
}


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold_in_a_short_run_full_of_faults(seed: int) -> None:
    """Callers see a doubled booking, another's answer, or wait in silence.

    Three VMs as real processes; kills, stops, pauses, cuts, lost flows, a store that
    is down or forgets, and changes of the configuration overlap.
    """
    kinds = tuple(FAULTS.keys() - NEWER_FAULTS)
    result = uvloop.run(run_soak(seed, duration_s=8.0, kinds=kinds))
    assert result.findings == ()
    assert result.n_calls > 200


@pytest.mark.parametrize("seed", NEWER_SEEDS)
def test_promises_hold_with_mute_replicas_and_slow_engines(seed: int) -> None:
    """As above; replicas take requests and answer none, engines slow down."""
    result = uvloop.run(run_soak(seed, duration_s=8.0))
    assert set(result.faults) & NEWER_FAULTS
    assert result.findings == ()
    assert result.n_calls > 200
