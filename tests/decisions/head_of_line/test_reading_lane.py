"""Tests that long prefills keep to a lane and short requests keep out of it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest

from quetzaldeck.bundle import Bundle, UpstreamSpec
from quetzaldeck.bundle.engine_figures import EngineFigures
from quetzaldeck.decisions.head_of_line import ReadingLane
from quetzaldeck.decisions.head_of_line.reading_lane import MAX_PREFILL_SHARE_OF_TARGET
from quetzaldeck.decisions.loads.peer_load import VmLoad
from quetzaldeck.decisions.memory import InFlightAttempt
from quetzaldeck.decisions.tuning import tune
from quetzaldeck.decisions.upstream_state import UpstreamState

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzaldeck.decisions import Request

FIGURES = EngineFigures(8, 232_000, 206.0, pairs_ms_per_million=0.138)
N_ENGINES = 16
SHORT = 5_000
LONG = 270_000


@pytest.fixture
def lane() -> ReadingLane:
    policy = ReadingLane()
    bundle = make_bundle()
    policy.configure(bundle, tune(bundle))
    return policy


def make_bundle() -> Bundle:
    specs = tuple(
        UpstreamSpec(f"e{index}", "", models=("m",), kv_tokens=232_000, figures=FIGURES)
        for index in range(N_ENGINES)
    )
    return Bundle(1, 1, upstreams=specs)


def make_pool() -> list[UpstreamState]:
    return [UpstreamState(spec) for spec in make_bundle().upstreams]


def make_busy_pool() -> list[UpstreamState]:
    """:returns: engines that each run one answer"""
    pool = make_pool()
    for state in pool:
        state.add(InFlightAttempt("a", "r", SHORT, 0, 0.0))
    return pool


def make(make_request: Callable[..., Request], n_tokens: int, **fields: Any) -> Request:
    return make_request(n_tokens, max_gap_ms=250.0, target_ms=3_000.0, **fields)


def names(pool: Any) -> set[str]:
    return {state.spec.name for state in pool}


def test_long_and_short_start_at_different_ends_and_all_vms_agree(
    lane: ReadingLane, make_request: Callable[..., Request]
) -> None:
    pool = make_busy_pool()
    long = names(lane.restrict(make(make_request, LONG), pool, 0.0))
    short = names(lane.restrict(make(make_request, SHORT), pool, 0.0))
    assert long
    assert short
    assert not long & short
    other = ReadingLane()
    bundle = make_bundle()
    other.configure(bundle, tune(bundle))
    assert names(other.restrict(make(make_request, LONG), pool, 0.0)) == long


def test_prompt_whose_parts_delay_nobody_is_not_long(
    lane: ReadingLane, make_request: Callable[..., Request]
) -> None:
    pool = make_busy_pool()
    medium = make(make_request, 45_000)
    assert names(lane.restrict_helpers(medium, pool, 0.0)) == names(pool)
    assert len(lane.restrict_helpers(make(make_request, LONG), pool, 0.0)) < N_ENGINES


def test_short_answers_fill_one_engine_before_the_next(
    lane: ReadingLane, make_request: Callable[..., Request]
) -> None:
    """Guards against short answers that are spread over all engines.

    Load: twenty short answers at a time on sixteen engines. Spread evenly, each engine
    runs at least one, so that every long prefill makes some of them late.
    """
    pool = make_pool()
    for number in range(20):
        request = make(make_request, SHORT)
        state = lane.restrict(request, pool, 0.0)[0]
        state.add(InFlightAttempt(f"a{number}", f"r{number}", SHORT, 0, 0.0))
    used = [state for state in pool if state.n_requests(0.0)]
    assert len(used) <= 5
    assert max(state.n_requests(0.0) for state in used) <= FIGURES.n_slots
    long = names(lane.restrict(make(make_request, LONG), pool, 0.0))
    assert not long & names(used)


def test_short_request_avoids_a_prefilling_engine(
    lane: ReadingLane, make_request: Callable[..., Request]
) -> None:
    pool = make_pool()
    first = lane.restrict(make(make_request, SHORT), pool, 0.0)[0]
    first.update_peer_load("other", VmLoad(1, 100_000, 100_000), 0.0)
    assert first not in lane.restrict(make(make_request, SHORT), pool, 0.0)


def test_lane_grows_with_the_prefill_backlog_of_all_vms(
    lane: ReadingLane, make_request: Callable[..., Request]
) -> None:
    """Guards against long prompts that wait while half of the engines prefill nothing.

    Load: a burst of long prompts, each received by another VM.
    """
    pool = make_busy_pool()
    before = len(lane.restrict(make(make_request, LONG), pool, 0.0))
    for state in pool[:6]:
        state.update_peer_load("other", VmLoad(1, 400_000, 200_000), 0.0)
    after = len(lane.restrict(make(make_request, LONG), pool, 0.0))
    work_ms = FIGURES.prefill_ms(LONG) + 6 * 400_000 / FIGURES.tokens_per_ms
    assert before < after
    assert work_ms / after <= 3_000.0 * MAX_PREFILL_SHARE_OF_TARGET


def test_prompt_uses_as_many_engines_as_its_target_needs(
    lane: ReadingLane, make_request: Callable[..., Request]
) -> None:
    pool = make_pool()
    huge = make(make_request, 600_000)
    n_lane = len(lane.restrict_helpers(huge, pool, 0.0))
    assert n_lane == N_ENGINES * 3 / 4, (
        "a quarter is reserved for requests that arrive meanwhile"
    )
    assert FIGURES.prefill_ms(600_000, n_parts=n_lane) < 0.8 * huge.target_ms


def test_huge_prompts_leave_engines_to_running_answers(
    lane: ReadingLane, make_request: Callable[..., Request]
) -> None:
    """Guards against huge prompts that stop all short answers during their prefill.

    Load: twenty short answers at a time, and two prompts of half a million tokens that
    all engines together cannot prefill within their target. Prefilled by all engines,
    they would delay every answer for over a second and still be late.
    """
    pool = make_pool()
    for number in range(20):
        state = lane.restrict(make(make_request, SHORT), pool, 0.0)[0]
        state.add(InFlightAttempt(f"a{number}", f"r{number}", SHORT, 0, 0.0))
    busy = names(state for state in pool if state.n_requests(0.0))
    huge = make(make_request, 560_000)
    first = lane.restrict_helpers(huge, pool, 0.0)
    assert len(first) >= N_ENGINES / 2
    assert not names(first) & busy
    for state in first:
        state.update_peer_load("other", VmLoad(1, 500_000, 50_000), 0.0)
    second = lane.restrict_helpers(huge, pool, 0.0)
    assert names(second) <= names(first)
    short = lane.restrict(make(make_request, SHORT), pool, 0.0)
    assert names(short) <= busy


def test_request_does_not_wait_because_its_lane_is_empty(
    lane: ReadingLane, make_request: Callable[..., Request]
) -> None:
    pool = make_busy_pool()
    long_lane = names(lane.restrict(make(make_request, LONG), pool, 0.0))
    rest = [state for state in pool if state.spec.name not in long_lane]
    found = names(lane.restrict(make(make_request, LONG), rest, 0.0))
    assert found
    assert found <= names(rest)


def test_plain_service_has_no_lanes(
    lane: ReadingLane, make_request: Callable[..., Request]
) -> None:
    pool = make_pool()
    assert lane.restrict(make_request(1, model="", service="desk"), pool, 0.0) == pool
