"""Selection of the upstreams whose load an agent reads."""

from __future__ import annotations

from collections import Counter

import pytest

from quetzaldeck.agent.load_plan import LoadPlan

INTERVAL_MS = 250.0
N_ROUNDS = 40
DURATION_S = INTERVAL_MS * N_ROUNDS / 1_000


def count_reads(n_vms: int, n_upstreams: int) -> list[Counter[str]]:
    """:returns: how often each of up to 7 VMs reads each upstream in ten seconds"""
    vms = [f"entry-{index}" for index in range(n_vms)]
    upstreams = [f"engine-{index}" for index in range(n_upstreams)]
    reads = []
    for vm in vms[:7]:
        plan = LoadPlan(vm)
        counter: Counter[str] = Counter()
        for _ in range(N_ROUNDS):
            counter.update(plan.choose(upstreams, vms, INTERVAL_MS))
        reads.append(counter)
    return reads


@pytest.mark.parametrize(
    ("n_vms", "n_upstreams", "reads_per_s"), [(7, 17, 20), (410, 780, 2)]
)
def test_reads_of_a_vm_do_not_grow_with_the_fleet(
    n_vms: int, n_upstreams: int, reads_per_s: float
) -> None:
    for counter in count_reads(n_vms, n_upstreams):
        assert counter.total() / DURATION_S <= reads_per_s


def test_each_vm_of_a_small_fleet_reads_every_upstream() -> None:
    for counter in count_reads(7, 17):
        assert len(counter) == 17


def test_every_upstream_is_assigned_to_a_live_vm() -> None:
    """An agent dies, and its upstreams have to be assigned to the remaining ones.

    Otherwise nobody would read their load.
    """
    vms = ["entry-1", "entry-2", "entry-3"]
    upstreams = [f"engine-{index}" for index in range(12)]
    for live in (vms, vms[1:], vms[:1]):
        first = [set(LoadPlan(vm).choose(upstreams, live, 1_000)) for vm in live]
        assert set().union(*first) == set(upstreams)


def test_an_isolated_agent_stays_within_its_budget() -> None:
    """A partitioned VM sees no other live VM, so all 780 upstreams are its own."""
    (counter,) = count_reads(1, 780)
    assert counter.total() / DURATION_S <= 140
    assert max(counter.values()) - min(counter.values()) <= 1
