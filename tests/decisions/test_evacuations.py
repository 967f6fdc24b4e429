"""Decisions while availability zones are evacuated."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest

from quetzaldeck.bundle import Bundle, UpstreamSpec
from quetzaldeck.decisions import (
    AttemptEnd,
    AttemptFault,
    Dispatch,
    Rejection,
    Request,
    Scheduler,
)
from quetzaldeck.decisions.placement import LeastReported
from quetzaldeck.decisions.placement.candidates import find_soonest
from quetzaldeck.decisions.queueing import FifoQueue
from quetzaldeck.decisions.retries import RetryBounds
from quetzaldeck.decisions.retries.policy import (
    MAX_IMMEDIATE_DIVERSIONS,
    MAX_NOT_RUN_ATTEMPTS,
)
from quetzaldeck.outcomes import Ran, Reason

if TYPE_CHECKING:
    from quetzaldeck.clock import ManualClock


def build_bundle(*names: str, max_requests: int = 0, version: int = 1) -> Bundle:
    """:returns: engines whose zones are the first letters of their names"""
    return Bundle(
        version,
        1,
        upstreams=tuple(
            UpstreamSpec(
                name,
                "http://127.0.0.1:1",
                models=("m",),
                kv_tokens=10_000,
                availability_zone=name[0],
                max_requests=max_requests,
            )
            for name in names
        ),
    )


@pytest.fixture
def scheduler(clock: ManualClock) -> Scheduler:
    placement = LeastReported(random_state=random.Random(1))
    scheduler = Scheduler(clock=clock, queue=FifoQueue(), placement=placement)
    scheduler.apply_bundle(build_bundle("a1", "a2", "b1", "b2"))
    return scheduler


def make_request(clock: ManualClock, name: str = "r") -> Request:
    now_ms = clock.now_ms()
    return Request(name, "c", "m", 1_000, 10, 5, now_ms, now_ms + 1_000)


def start(scheduler: Scheduler, clock: ManualClock, name: str = "r") -> Dispatch:
    """:returns: the dispatch of a new request"""
    assert scheduler.submit(make_request(clock, name)) is None
    (dispatch,) = scheduler.poll()
    assert isinstance(dispatch, Dispatch)
    return dispatch


def divert(scheduler: Scheduler, dispatch: Dispatch) -> None:
    """End an attempt that was not sent, as the zone of its upstream was evacuated."""
    end = AttemptEnd(
        dispatch.attempt_id,
        AttemptFault.EVACUATED,
        may_have_run=False,
        was_sent=False,
        upstream=dispatch.upstreams[-1],
    )
    assert scheduler.end_attempt(end) is None


def test_work_is_placed_in_other_zones(
    scheduler: Scheduler, clock: ManualClock
) -> None:
    """Guards against a zone that is used while evacuated, or not used afterwards."""
    scheduler.fleet.observe_evacuations({"a"})
    placed = {start(scheduler, clock, f"r{i}").upstreams[0][0] for i in range(6)}
    assert placed == {"b"}
    scheduler.fleet.observe_evacuations({"b"})
    placed = {start(scheduler, clock, f"s{i}").upstreams[0][0] for i in range(6)}
    assert placed == {"a"}


def test_upstream_that_registers_in_an_evacuated_zone_gets_nothing(
    scheduler: Scheduler, clock: ManualClock
) -> None:
    """Guards against a bundle whose new states lack the evacuation."""
    scheduler.fleet.observe_evacuations({"a"})
    scheduler.apply_bundle(build_bundle("a1", "a3", "b1", version=2))
    placed = {start(scheduler, clock, f"r{i}").upstreams[0] for i in range(4)}
    assert placed == {"b1"}
    scheduler.apply_bundle(build_bundle("a1", version=3))
    failure = scheduler.submit(make_request(clock, "s"))
    assert failure is not None
    assert failure.reason is Reason.NO_UPSTREAM
    assert failure.retry_after_ms
    assert failure.detail == "m: all 1 upstreams are in evacuated zones"


def test_diversion_uses_up_no_attempt_and_no_budget(
    scheduler: Scheduler, clock: ManualClock
) -> None:
    """Guards against requests that fail since a zone was evacuated before they ran."""
    request = make_request(clock)._replace(deadline_ms=clock.now_ms() + 60_000)
    assert scheduler.submit(request) is None
    (dispatch,) = scheduler.poll()
    assert isinstance(dispatch, Dispatch)
    allowed = scheduler.retries.budget.retried_tokens
    for index in range(MAX_NOT_RUN_ATTEMPTS + 1):
        scheduler.fleet.observe_evacuations({dispatch.upstreams[0][0]})
        divert(scheduler, dispatch)
        if index >= MAX_IMMEDIATE_DIVERSIONS:
            clock.advance(RetryBounds().max_delay_ms)
        (decision,) = scheduler.poll()
        assert isinstance(decision, Dispatch)
        assert decision.upstreams[0][0] != dispatch.upstreams[0][0]
        dispatch = decision
    assert scheduler.retries.budget.retried_tokens == allowed
    assert scheduler.n_running == 1


def test_diverted_request_is_refused_if_no_zone_is_left(
    scheduler: Scheduler, clock: ManualClock
) -> None:
    dispatch = start(scheduler, clock)
    scheduler.fleet.observe_evacuations({"a", "b"})
    end = AttemptEnd(
        dispatch.attempt_id,
        AttemptFault.EVACUATED,
        may_have_run=False,
        was_sent=False,
    )
    failure = scheduler.end_attempt(end)
    assert failure is not None
    assert (failure.reason, failure.ran) == (Reason.NO_UPSTREAM, Ran.NO)
    assert failure.retry_after_ms


def test_waiting_requests_are_refused_at_once_if_no_zone_is_left(
    clock: ManualClock,
) -> None:
    """Guards against requests that wait in the queue, or for a backoff, in vain."""
    placement = LeastReported(random_state=random.Random(1))
    scheduler = Scheduler(clock=clock, queue=FifoQueue(), placement=placement)
    scheduler.apply_bundle(build_bundle("a1", "b1", max_requests=1))
    first = start(scheduler, clock, "r0")
    start(scheduler, clock, "r1")
    assert scheduler.submit(make_request(clock, "r2")) is None
    scheduler.end_attempt(AttemptEnd(first.attempt_id, AttemptFault.FAILED))
    scheduler.fleet.observe_evacuations({"a"})
    assert not any(isinstance(d, Rejection) for d in scheduler.poll())
    scheduler.fleet.observe_evacuations({"a", "b"})
    rejections = [d for d in scheduler.poll() if isinstance(d, Rejection)]
    refused = {d.request.request_id: d.failure for d in rejections}
    assert "r2" in refused
    assert all(f.reason is Reason.NO_UPSTREAM for f in refused.values())
    assert all(f.retry_after_ms for f in refused.values())
    assert scheduler.n_queued == 0


def test_prompt_that_only_evacuated_engines_hold_is_refused_for_now(
    scheduler: Scheduler, clock: ManualClock
) -> None:
    """Guards against a caller that is told to send a shorter prompt, for ever."""
    small = build_bundle("b1").upstreams[0]
    large = build_bundle("a1").upstreams[0]._replace(kv_tokens=50_000)
    scheduler.apply_bundle(Bundle(2, 1, upstreams=(small, large)))
    scheduler.fleet.observe_evacuations({"a"})
    request = make_request(clock)._replace(n_prompt_tokens=30_000)
    failure = scheduler.submit(request)
    assert failure is not None
    assert failure.reason is Reason.NO_UPSTREAM
    request = make_request(clock, "s")._replace(n_prompt_tokens=90_000)
    failure = scheduler.submit(request)
    assert failure is not None
    assert failure.reason is Reason.PROMPT_TOO_LARGE


def test_next_turn_is_not_looked_for_in_evacuated_zones(
    scheduler: Scheduler, clock: ManualClock
) -> None:
    """Guards against a Retry-After that an evacuated upstream would keep."""
    states = list(scheduler.upstreams)
    for state in states:
        rate = 100.0 if state.spec.availability_zone == "a" else 1.0
        state.pacing.set_limit(rate, 0.0)
    scheduler.fleet.observe_evacuations({"a"})
    soonest = find_soonest(states, 0.0)
    assert soonest is not None
    assert soonest.spec.availability_zone == "b"


def test_evacuated_upstream_is_not_a_leaving_one(scheduler: Scheduler) -> None:
    """Guards against crashes that are taken for the planned end of a replica."""
    scheduler.fleet.observe_evacuations({"a"})
    state = scheduler.upstreams.get("a1")
    assert state is not None
    assert state.is_evacuated
    assert not state.is_leaving
    assert not state.accepts_work
    assert scheduler.placer.has_alternative(
        Request("r", "c", "m", 1_000, 10, 5, 0.0, 1_000.0), ("b1",)
    )
    assert not scheduler.placer.has_alternative(
        Request("r", "c", "m", 1_000, 10, 5, 0.0, 1_000.0), ("b1", "b2")
    )
