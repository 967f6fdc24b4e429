"""Tests of the lanes of long prompts and short requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.head_of_line import Lanes
from quetzaldeck.decisions.loads.load_report import LoadReport
from quetzaldeck.decisions.tuning import tune
from quetzaldeck.decisions.upstream_state import UpstreamState

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from quetzaldeck.bundle import Bundle
    from quetzaldeck.decisions import Request

    MakeRequest = Callable[..., Request]
    MakeBundle = Callable[..., Bundle]


def build(bundle: Bundle) -> tuple[Lanes, list[UpstreamState]]:
    lanes = Lanes()
    lanes.configure(bundle, tune(bundle))
    return lanes, [UpstreamState(spec) for spec in bundle.upstreams]


def report(state: UpstreamState, n_prefill_tokens: int, sequence: int = 1) -> None:
    state.observe(
        LoadReport(state.spec.name, "1", sequence, 0.0, 1, 0, 0, n_prefill_tokens), 0.0
    )


def names(states: Iterable[UpstreamState]) -> set[str]:
    return {state.spec.name for state in states}


def test_restrict_keeps_a_second_long_prompt_off_an_engine(
    make_request: MakeRequest, make_bundle: MakeBundle
) -> None:
    lanes, states = build(make_bundle(2))
    for state in states:
        report(state, 200_000)
    assert not lanes.restrict(make_request(100_000), states, 0.0)


def test_restrict_sends_short_requests_to_engines_without_a_long_prompt(
    make_request: MakeRequest, make_bundle: MakeBundle
) -> None:
    lanes, states = build(make_bundle())
    for state in states[:7]:
        report(state, 200_000)
    allowed = lanes.restrict(make_request(1_000), states, 0.0)
    assert allowed
    assert names(allowed) <= names(states[7:])
    for state in states[7:]:
        alone = lanes.restrict(make_request(1_000), [state], 0.0)
        assert names(alone) == {state.spec.name}


def test_restrict_leaves_idle_engines_of_the_long_lane_to_long_prompts(
    make_request: MakeRequest, make_bundle: MakeBundle
) -> None:
    """Guards against placing a short request on an engine just before a long prompt.

    Each token of its answer would take as long as a step of the long prefill.
    """
    lanes, states = build(make_bundle())
    for_long = lanes.restrict(make_request(100_000), states, 0.0)
    for_short = lanes.restrict(make_request(1_000), states, 0.0)
    assert for_long
    assert for_short
    assert not names(for_long) & names(for_short)


def test_short_requests_outrank_long_prompts_that_run_everywhere(
    make_request: MakeRequest, make_bundle: MakeBundle
) -> None:
    """Long prompts run on all engines; a short request must still start immediately."""
    lanes, states = build(make_bundle())
    for state in states:
        report(state, 200_000)
    short = make_request(1_000)
    allowed = lanes.restrict(short, states, 0.0)
    assert allowed
    long = make_request(100_000)
    assert all(
        lanes.rank(short, s.spec.name) < lanes.rank(long, s.spec.name) for s in allowed
    )


def test_restrict_reserves_engines_while_short_requests_arrive(
    make_request: MakeRequest, make_bundle: MakeBundle
) -> None:
    lanes, states = build(make_bundle())
    lanes.note_arrival(make_request(10_000), 0.0)
    lanes.note_arrival(make_request(40_000), 0.0)
    allowed = lanes.restrict(make_request(100_000), states, 0.0)
    n_for_long = len(states) - len(reserved_for_short(lanes, states, make_request, 0.0))
    assert len(allowed) <= n_for_long < len(states)


def test_restrict_releases_engines_when_no_short_requests_arrive(
    make_request: MakeRequest, make_bundle: MakeBundle
) -> None:
    lanes, states = build(make_bundle())
    lanes.note_arrival(make_request(1_000), 0.0)
    n_reserved = [
        len(reserved_for_short(lanes, states, make_request, at_ms))
        for at_ms in (0.0, 60_000.0, 300_000.0)
    ]
    assert n_reserved[0] > n_reserved[1] >= n_reserved[2]


def reserved_for_short(
    lanes: Lanes, states: list[UpstreamState], make_request: MakeRequest, at_ms: float
) -> set[str]:
    """:returns: engines that a long prompt may not use, each checked by itself"""
    return {
        state.spec.name
        for state in states
        if not lanes.restrict(make_request(100_000), [state], at_ms)
    }


def test_lanes_are_the_same_on_all_vms(
    make_request: MakeRequest, make_bundle: MakeBundle
) -> None:
    """Two VMs list the upstreams in different orders and exchange no messages."""
    bundle = make_bundle()
    first, states = build(bundle)
    second, _ = build(bundle._replace(upstreams=bundle.upstreams[::-1]))
    long = make_request(100_000)
    ranks = [first.rank(long, state.spec.name) for state in states]
    assert ranks == [second.rank(long, state.spec.name) for state in states]
    assert len(set(ranks)) == 2


def test_rank_puts_length_before_priority_and_priority_within_length(
    make_request: MakeRequest, make_bundle: MakeBundle
) -> None:
    lanes, _ = build(make_bundle(2))
    lengths = (1_000, 10_000, 100_000, 500_000)
    ranks = [lanes.rank(make_request(n), "e0") for n in lengths]
    assert ranks == sorted(set(ranks))
    urgent = lanes.rank(make_request(1_000, priority=0), "e0")
    assert urgent < ranks[0]
    assert max(ranks) <= 9


def test_restrict_never_leaves_a_fleet_of_one_engine_without_candidates(
    make_request: MakeRequest, make_bundle: MakeBundle
) -> None:
    lanes, states = build(make_bundle(1))
    lanes.note_arrival(make_request(1_000), 0.0)
    assert lanes.restrict(make_request(100_000), states, 0.0)
    assert lanes.restrict(make_request(1_000), states, 0.0)
