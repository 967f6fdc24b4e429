"""Tests of the filters that apply before every placement policy."""

from __future__ import annotations

import random

import pytest
from tests.support.builders import (
    make_request,
    make_scheduler,
    make_spec,
    make_state,
    poll_dispatch,
)

from quetzaldeck.bundle import Bundle
from quetzaldeck.clock import ManualClock
from quetzaldeck.decisions import Scheduler
from quetzaldeck.decisions.placement import RoundRobin
from quetzaldeck.decisions.placement.candidates import N_SAMPLED, CandidateFilter
from quetzaldeck.decisions.queueing import FifoQueue
from quetzaldeck.outcomes import Ran, Reason


def test_admission_does_not_advance_round_robin() -> None:
    """Guards against admission control that consults the placement policy.

    Each check advanced round robin by one turn, so that with an even number of engines
    half of them got no requests.
    """
    clock = ManualClock(1_000.0)
    policy = RoundRobin(random_state=random.Random(1))
    scheduler = Scheduler(clock=clock, queue=FifoQueue(), placement=policy)
    specs = tuple(make_spec(f"e{index}") for index in range(4))
    scheduler.apply_bundle(Bundle(1, 1, upstreams=specs))
    used = []
    for index in range(4):
        scheduler.submit(make_request(f"r{index}"))
        used.append(poll_dispatch(scheduler).upstreams[0])
    assert used == ["e0", "e1", "e2", "e3"]


def test_place_avoids_upstreams_that_failed_the_request_if_others_exist() -> None:
    scheduler = make_scheduler(ManualClock(1_000.0), ("e0", "e1"))
    place = scheduler.placer.place
    assert place(make_request(), ("e0",), 0.0) == ("e1",)
    assert place(make_request(), ("e0", "e1"), 0.0) in {("e0",), ("e1",)}


def test_sample_of_a_large_pool_includes_the_cache_holder() -> None:
    filter_ = CandidateFilter(random_state=random.Random(1), max_requests=64)
    pool = [make_state(f"e{index}") for index in range(10 * N_SAMPLED)]
    for holder in ("e0", "e319"):
        names = [
            state.spec.name
            for state in filter_.list_candidates(make_request(), pool, 0.0, (holder,))
        ]
        assert holder in names
        assert len(names) <= N_SAMPLED + 1


@pytest.mark.parametrize("n_full", [318, 320])
def test_large_pool_is_searched_whole_if_the_sample_has_too_few_candidates(
    n_full: int,
) -> None:
    filter_ = CandidateFilter(random_state=random.Random(1), max_requests=64)
    pool = [
        make_state(f"e{index}", kv_tokens=100 if index < n_full else 10_000)
        for index in range(320)
    ]
    assert len(filter_.list_candidates(make_request(), pool, 0.0)) == 320 - n_full


def test_request_for_which_all_upstreams_leave_is_refused_on_arrival() -> None:
    """Guards against a request that waits for its deadline though nothing serves it."""
    scheduler = make_scheduler(ManualClock(1_000.0), ("e0",))
    scheduler.fleet.observe((), ("e0",))
    failure = scheduler.submit(make_request())
    assert failure is not None
    assert (failure.reason, failure.ran) == (Reason.NO_UPSTREAM, Ran.NO)
    assert failure.retry_after_ms
