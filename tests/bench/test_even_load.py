"""Placement of requests by many VMs from stale loads, compared without a network.

Load: prompts of 1,000 to 1,000,000 tokens whose mix swings, on engines with six slots;
each VM learns 200 ms late what the others placed.
"""

from __future__ import annotations

import pytest

from quetzaldeck.bench.even_load import POLICIES, Case, Summary, compare, render
from quetzaldeck.bench.even_load_policies import ArrivalRate, DrawnIfFull
from quetzaldeck.decisions import Request
from quetzaldeck.decisions.head_of_line import ReadingLane
from quetzaldeck.decisions.loads.peer_load import VmLoad
from quetzaldeck.decisions.tuning import tune
from quetzaldeck.decisions.upstream_state import UpstreamState

CASE = Case(7, 200.0, duration_ms=20_000.0)


@pytest.fixture(scope="module")
def results() -> dict[str, Summary]:
    return compare([CASE], ["reading_lane", "two_of_all"])


def test_packing_uses_fewer_engines_than_random_choices(
    results: dict[str, Summary],
) -> None:
    """Guards against candidates that have no effect on where requests are placed."""
    assert results["reading_lane"].spread > results["two_of_all"].spread


def test_comparison_repeats_with_the_same_seed(results: dict[str, Summary]) -> None:
    """Guards against differences between policies that are due to chance."""
    assert compare([CASE], ["reading_lane"])["reading_lane"] == results["reading_lane"]
    rows = render(results).splitlines()
    assert [row.split()[1] for row in rows] == list(results)
    assert set(results) <= set(POLICIES)


@pytest.mark.parametrize(("policy", "n_used"), [(ReadingLane, 8), (DrawnIfFull, 3)])
def test_candidates_if_no_engine_has_capacity(
    policy: type[ReadingLane], n_used: int
) -> None:
    """Load: short requests while long prefills occupy every engine."""
    bundle = Case(7, 50.0, n_engines=8).build_scenario().build_bundle()
    pool = [UpstreamState(spec) for spec in bundle.upstreams]
    for state in pool:
        state.update_peer_load("other", VmLoad(1, 100_000), 0.0)
    lane = policy()
    lane.configure(bundle, tune(bundle))
    request = Request("r", "c", bundle.models[0].name, 5_000, 100, 5, 0.0, 10_000.0)
    assert len(lane.restrict(request, pool, 0.0)) == n_used


def test_rate_of_arrivals_decays_and_starts_anew() -> None:
    """Guards against arrivals of one run that count in the next."""
    rate = ArrivalRate()
    for at_ms in range(0, 5_000, 10):
        rate.note(float(at_ms))
    assert rate.per_ms(5_000.0) == pytest.approx(0.1, rel=0.05)
    rate.note(0.0)
    assert rate.per_ms(0.0) == pytest.approx(1 / 500.0)
