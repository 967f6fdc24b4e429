"""Short seeded runs of the soak: one, and every seed that ever failed."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import TYPE_CHECKING, cast

import pytest
import uvloop
from tests.soak.entry.faults import FAULTS, PlannedFault, inject, plan_faults
from tests.soak.entry.run import run_soak

if TYPE_CHECKING:
    from tests.soak.entry.world import SoakWorld

DURATION_S = 8.0

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

PLANS = {
    "two_faults_restart_one_vm": (
        PlannedFault(0.5, "stop_vm", 1),
        PlannedFault(0.6, "kill_vm", 1),
        PlannedFault(3.0, "freeze_vm", 2),
        PlannedFault(3.3, "stop_vm", 2),
    ),
    "all_vms_are_killed_while_the_store_is_down": (
        PlannedFault(0.5, "store_down", 1),
        PlannedFault(0.7, "kill_all", 1),
        PlannedFault(3.0, "store_lapse", 2),
        PlannedFault(3.2, "kill_all", 2),
    ),
}


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold_in_a_short_run_full_of_faults(seed: int) -> None:
    """Callers see a doubled booking, another's answer, or wait in silence.

    Three VMs as real processes; kills, stops, pauses, cuts, lost flows, a store that
    is down or forgets, and changes of the configuration overlap.
    """
    kinds = tuple(FAULTS.keys() - NEWER_FAULTS)
    plan = plan_faults(random.Random(seed), DURATION_S, kinds)
    result = uvloop.run(run_soak(seed, duration_s=DURATION_S, plan=plan))
    assert result.findings == ()
    assert result.n_calls > 200


@pytest.mark.parametrize("seed", NEWER_SEEDS)
def test_promises_hold_with_mute_replicas_and_slow_engines(seed: int) -> None:
    """As above; replicas take requests and answer none, engines slow down."""
    result = uvloop.run(run_soak(seed, duration_s=DURATION_S))
    assert set(result.faults) & NEWER_FAULTS
    assert result.findings == ()
    assert result.n_calls > 200


@pytest.mark.parametrize("name", PLANS)
def test_promises_hold_when_faults_meet(name: str) -> None:
    """One fault hides another: a VM restarts twice, or starts while nobody answers."""
    result = uvloop.run(run_soak(1, duration_s=DURATION_S, plan=PLANS[name]))
    assert result.findings == ()
    assert result.n_calls > 200


def test_a_fault_draws_the_same_whatever_else_is_drawn(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A seed that failed once could not be played again: callers shared its draws."""
    draws: list[float] = []

    async def draw(world: SoakWorld, random_state: random.Random) -> None:
        world.random_state.random()
        draws.append(random_state.random())

    monkeypatch.setitem(FAULTS, "hang_up", draw)
    plan = tuple(PlannedFault(0.0, "hang_up", seed) for seed in range(3))
    for seed in (1, 2):
        world = cast("SoakWorld", SimpleNamespace(random_state=random.Random(seed)))
        assert uvloop.run(inject(world, plan)) == [fault.name for fault in plan]
    assert len(draws) == 2 * len(plan)
    assert draws[: len(plan)] == draws[len(plan) :]
