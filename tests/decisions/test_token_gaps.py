"""Tests of parts of long prompts for callers who accept unlike gaps between tokens."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest

from quetzaldeck.bundle import Bundle, ModelSpec, UpstreamSpec
from quetzaldeck.bundle.engine_figures import EngineFigures
from quetzaldeck.decisions.head_of_line import ReadingLane
from quetzaldeck.decisions.memory import InFlightAttempt
from quetzaldeck.decisions.placement import FirstToken
from quetzaldeck.decisions.token_gaps import DEFAULT_GAP_MS, TokenGaps
from quetzaldeck.decisions.tuning import tune
from quetzaldeck.decisions.upstream_state import UpstreamState

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzaldeck.decisions import Request

FIGURES = EngineFigures(8, 232_000, 206.0, pairs_ms_per_million=0.138)
N_ENGINES = 16
LONG = 60_000


def make_bundle(max_gap_ms: float) -> Bundle:
    specs = tuple(
        UpstreamSpec(f"e{index}", "", models=("m",), kv_tokens=232_000, figures=FIGURES)
        for index in range(N_ENGINES)
    )
    models = (ModelSpec("m", "1", max_gap_ms=max_gap_ms),)
    return Bundle(1, 1, models=models, upstreams=specs)


@pytest.mark.parametrize("max_gap_ms", [120.0, 250.0, 800.0])
def test_first_long_prompt_of_a_started_vm_spares_callers_of_other_vms(
    max_gap_ms: float, make_request: Callable[..., Request]
) -> None:
    """Guards against parts sized for the callers of long prompts alone."""
    policy = FirstToken(random_state=random.Random(1))
    policy.configure(make_bundle(max_gap_ms))
    pool = [UpstreamState(spec) for spec in make_bundle(max_gap_ms).upstreams]
    request = make_request(LONG, max_gap_ms=1_000.0)
    name = policy.choose(request, pool, 0.0)
    assert name is not None
    helpers = policy.choose_helpers(request, name, pool, 0.0)
    part_ms = FIGURES.prefill_ms(LONG, n_parts=1 + len(helpers))
    whole_ms = FIGURES.prefill_ms(LONG)
    assert part_ms <= max(max_gap_ms / 4, whole_ms / N_ENGINES)
    assert len(helpers) + 1 <= whole_ms / (max_gap_ms / 8) + 1


def test_which_prompts_keep_to_the_lane_follows_the_stated_gap(
    make_request: Callable[..., Request],
) -> None:
    request = make_request(130_000, target_ms=3_000.0, max_gap_ms=1_000.0)
    n_engines = []
    for max_gap_ms in (120.0, 1_000.0):
        bundle = make_bundle(max_gap_ms)
        lane = ReadingLane()
        lane.configure(bundle, tune(bundle))
        pool = [UpstreamState(spec) for spec in bundle.upstreams]
        for state in pool:
            state.add(InFlightAttempt("a", "r", 5_000, 0, 0.0))
        n_engines.append(len(lane.restrict_helpers(request, pool, 0.0)))
    assert n_engines[0] < n_engines[1] == N_ENGINES


def test_gap_of_a_removed_route_no_longer_counts() -> None:
    """Guards against parts that stay small for callers who are gone."""
    gaps = TokenGaps()
    assert gaps.shortest_ms("m") == DEFAULT_GAP_MS
    gaps.configure(make_bundle(50.0))
    assert gaps.shortest_ms("m") == 50.0
    gaps.configure(make_bundle(600.0))
    assert gaps.shortest_ms("m") == 600.0
