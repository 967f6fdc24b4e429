"""Tests of a request's life cycle in the scheduler."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

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
from quetzaldeck.decisions.queueing import FifoQueue
from quetzaldeck.decisions.retries import RetryBounds
from quetzaldeck.outcomes import Ran, Reason

if TYPE_CHECKING:
    from quetzaldeck.clock import ManualClock


MAX_FIRST_BACKOFF_MS = RetryBounds().base_delay_ms


def make_scheduler(clock: ManualClock, n_engines: int = 2) -> Scheduler:
    placement = LeastReported(random_state=random.Random(1))
    scheduler = Scheduler(clock=clock, queue=FifoQueue(), placement=placement)
    upstreams = tuple(
        UpstreamSpec(f"e{i}", "http://127.0.0.1:1", models=("m",), kv_tokens=10_000)
        for i in range(n_engines)
    )
    scheduler.apply_bundle(Bundle(1, 1, upstreams=upstreams))
    return scheduler


def make_request(clock: ManualClock, n_prompt_tokens: int = 1_000) -> Request:
    now_ms = clock.now_ms()
    return Request("r", "c", "m", n_prompt_tokens, 10, 5, now_ms, now_ms + 1_000)


def test_end_attempt_retries_on_another_upstream(clock: ManualClock) -> None:
    scheduler = make_scheduler(clock)
    assert scheduler.submit(make_request(clock)) is None
    first = scheduler.poll()[0]
    assert isinstance(first, Dispatch)
    end = AttemptEnd(first.attempt_id, AttemptFault.BROKEN)
    assert scheduler.end_attempt(end) is None
    clock.advance(MAX_FIRST_BACKOFF_MS)
    second = scheduler.poll()[0]
    assert isinstance(second, Dispatch)
    assert second.upstreams != first.upstreams


def test_end_attempt_never_retries_a_non_repeatable_request(clock: ManualClock) -> None:
    """The connection of a booking breaks after the request was sent.

    The booking may have been made, so a second attempt could book twice.
    """
    scheduler = make_scheduler(clock)
    scheduler.submit(make_request(clock)._replace(is_repeatable=False))
    dispatch = scheduler.poll()[0]
    assert isinstance(dispatch, Dispatch)
    failure = scheduler.end_attempt(
        AttemptEnd(dispatch.attempt_id, AttemptFault.BROKEN, may_have_run=True)
    )
    assert failure is not None
    assert failure.ran is Ran.UNKNOWN


def test_submit_refuses_a_prompt_that_fits_no_engine(clock: ManualClock) -> None:
    scheduler = make_scheduler(clock)
    failure = scheduler.submit(make_request(clock, n_prompt_tokens=20_000))
    assert failure is not None
    assert failure.reason is Reason.PROMPT_TOO_LARGE


def test_poll_rejects_requests_that_expired_in_the_queue(clock: ManualClock) -> None:
    scheduler = make_scheduler(clock, n_engines=1)
    scheduler.submit(make_request(clock, n_prompt_tokens=9_000))
    scheduler.poll()
    waiting = make_request(clock, n_prompt_tokens=9_000)._replace(request_id="w")
    scheduler.submit(waiting)
    assert scheduler.poll() == []
    clock.advance(1_001)
    decision = scheduler.poll()[0]
    assert isinstance(decision, Rejection)
    assert decision.failure.ran is Ran.NO
