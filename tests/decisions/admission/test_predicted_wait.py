"""Tests of refusals by predicted wait and of the retry delays sent to callers."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest

from quetzaldeck.decisions.admission import PredictedWait
from quetzaldeck.decisions.scheduler_bounds import SchedulerBounds
from quetzaldeck.outcomes import Failure, Ran, Reason

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzaldeck.decisions import Request

    MakeRequest = Callable[..., Request]

RATE = 10.0
"""Drain rate of the queue in these tests, in tokens per millisecond."""


def make_policy(bounds: SchedulerBounds | None = None) -> PredictedWait:
    return PredictedWait(random_state=random.Random(1), bounds=bounds)


def drain(
    policy: PredictedWait, make_request: MakeRequest, *, until_ms: float = 20_000.0
) -> None:
    """Dispatch 1,000 tokens every 100 ms from a queue that is never empty."""
    waiting = make_request(990, customer="other")
    policy.note_queued(waiting, 0.0)
    now_ms = 0.0
    while now_ms < until_ms:
        request = make_request(990, customer="other")
        policy.note_queued(request, now_ms)
        now_ms += request.n_kv_tokens / RATE
        policy.note_unqueued(request, now_ms, is_dispatched=True)
    policy.note_unqueued(waiting, now_ms, is_dispatched=False)


def admit(policy: PredictedWait, request: Request, now_ms: float) -> None:
    assert policy.check(request, now_ms, can_start=False) is None
    policy.note_queued(request, now_ms)


def test_check_refuses_a_request_that_would_miss_its_deadline(
    make_request: MakeRequest,
) -> None:
    """Twenty seconds of work are queued, and the next request has a deadline of ten.

    The caller learns on arrival, not after ten seconds, that the request did not run
    and when to retry.
    """
    policy = make_policy()
    drain(policy, make_request)
    now_ms = 20_000.0
    for _ in range(200):
        request = make_request(990, arrived_ms=now_ms, deadline_ms=1e9)
        admit(policy, request, now_ms)
    urgent = make_request(990, arrived_ms=now_ms, deadline_ms=now_ms + 10_000)
    failure = policy.check(urgent, now_ms, can_start=False)
    assert failure is not None
    assert failure.reason is Reason.DEADLINE_UNREACHABLE
    assert failure.ran is Ran.NO
    assert failure.retry_after_ms is not None
    assert 8_000 < failure.retry_after_ms < 16_000
    assert failure.detail.startswith("200 requests queued; predicted ")
    assert failure.detail.endswith("caller times out in 10000 ms")
    relaxed = urgent._replace(deadline_ms=now_ms + 30_000)
    assert policy.check(relaxed, now_ms, can_start=False) is None


def test_wait_does_not_depend_on_the_queue_of_another_customer(
    make_request: MakeRequest,
) -> None:
    policy = make_policy()
    drain(policy, make_request)
    now_ms = 20_000.0
    for _ in range(200):
        admit(policy, make_request(990, customer="hot", arrived_ms=now_ms), now_ms)
    calm = make_request(990, customer="calm", arrived_ms=now_ms)
    assert policy.predict(calm, now_ms, can_start=False).wait_ms < 500
    hot = calm._replace(customer="hot")
    assert policy.predict(hot, now_ms, can_start=False).wait_ms > 15_000


def test_check_admits_a_request_that_can_start_now(make_request: MakeRequest) -> None:
    policy = make_policy()
    request = make_request(deadline_ms=1_000)
    assert policy.check(request, 0.0, can_start=True) is None


def test_predicted_wait_grows_while_nothing_is_dispatched(
    make_request: MakeRequest,
) -> None:
    """All engines stall: the queue does not drain, and no event reports it."""
    policy = make_policy()
    drain(policy, make_request)
    now_ms = 20_000.0
    for _ in range(20):
        admit(policy, make_request(990, arrived_ms=now_ms), now_ms)
    request = make_request(990, arrived_ms=now_ms)
    waits = [
        policy.predict(request, now_ms + later_ms, can_start=False).wait_ms
        for later_ms in (0.0, 10_000.0, 30_000.0)
    ]
    assert waits == sorted(waits)
    assert waits[2] > 2 * waits[0]


def test_check_admits_again_after_engines_were_slow(make_request: MakeRequest) -> None:
    """Engines were slow for a while, so all requests were refused; now they are not.

    While all requests are refused there are no new measurements. Without decay of the
    old ones, the refusals would never end.
    """
    policy = make_policy()
    policy.note_first_token(make_request(), 100.0, 1_000.0)
    for _ in range(50):
        policy.note_first_token(make_request(), 60_000.0, 60_000.0)
    urgent = make_request(arrived_ms=60_000.0, deadline_ms=70_000.0)
    assert policy.check(urgent, 60_000.0, can_start=True) is not None
    later_ms = 180_000.0
    later = urgent._replace(arrived_ms=later_ms, deadline_ms=later_ms + 10_000)
    assert policy.check(later, later_ms, can_start=True) is None


def test_latest_start_leaves_time_for_the_fastest_run(
    make_request: MakeRequest,
) -> None:
    """A long prompt still waits when even an idle engine would be too late."""
    policy = make_policy()
    long = make_request(400_000, deadline_ms=100_000.0)
    assert policy.latest_start_ms(long) < 90_000.0
    short = make_request(1_000, deadline_ms=100_000.0)
    assert policy.latest_start_ms(short) > 99_000.0
    failure = policy.expiry_failure(long, 90_000.0)
    assert failure.reason is Reason.DEADLINE_UNREACHABLE
    assert failure.retry_after_ms is not None


def test_retry_delays_of_simultaneous_refusals_are_spread(
    make_request: MakeRequest,
) -> None:
    """A hundred requests are refused at the same moment, as after the loss of a zone.

    With equal delays all their callers would return at the same moment.
    """
    policy = make_policy(SchedulerBounds(max_queued=1))
    drain(policy, make_request)
    now_ms = 20_000.0
    policy.note_queued(make_request(990, arrived_ms=now_ms), now_ms)
    times = []
    for _ in range(100):
        request = make_request(990, arrived_ms=now_ms)
        failure = policy.check(request, now_ms, can_start=False)
        assert failure is not None
        assert failure.reason is Reason.QUEUE_FULL
        assert failure.retry_after_ms is not None
        times.append(failure.retry_after_ms)
    n_per_second = [sum(t // 1_000 == second for t in times) for second in range(20)]
    assert max(times) - min(times) > 5_000
    assert max(n_per_second) <= 20


@pytest.mark.parametrize(
    ("bounds", "reason"),
    [
        (SchedulerBounds(max_queued=10), Reason.QUEUE_FULL),
        (SchedulerBounds(max_queued_tokens=10_000), Reason.QUEUE_FULL),
        (SchedulerBounds(max_queued=20), Reason.CUSTOMER_QUEUE_FULL),
    ],
)
def test_check_names_the_limit_that_is_reached(
    bounds: SchedulerBounds, reason: Reason, make_request: MakeRequest
) -> None:
    policy = make_policy(bounds)
    n_hot = 8 if reason is Reason.CUSTOMER_QUEUE_FULL else 2
    for index in range(10):
        customer = "hot" if index < n_hot else f"c{index}"
        policy.note_queued(make_request(990, customer=customer), 0.0)
    failure = policy.check(make_request(990, customer="hot"), 0.0, can_start=True)
    assert failure is not None
    assert failure.reason is reason


def test_retry_delays_after_a_crash_are_spread(
    make_request: MakeRequest,
) -> None:
    """A third of the engines crash, and thirty prompts that ran there fail at once.

    With equal delays they would return as one burst, and most would be refused again.
    Each gets its own delay, spaced by the capacity of the remaining engines.
    """
    policy = make_policy()
    drain(policy, make_request)
    failure = Failure(Reason.UPSTREAM_FAILED, Ran.NO, 2_000.0)
    times = []
    for _ in range(30):
        updated = policy.update_retry_after(make_request(990), failure, 20_000.0)
        assert updated._replace(retry_after_ms=2_000.0) == failure
        assert updated.retry_after_ms is not None
        times.append(updated.retry_after_ms)
    assert times[0] < 1_000.0, "there is capacity for the first request"
    work_ms = 1_000.0 / RATE
    assert times[-1] == pytest.approx(500.0 + 29 * work_ms, rel=0.25)
    per_second = [
        sum(s <= t < s + 1_000 for t in times) for s in range(0, 4_000, 1_000)
    ]
    assert max(per_second) <= 1_000 / work_ms * 1.3


def test_retry_delay_is_unchanged_without_measurements(
    make_request: MakeRequest,
) -> None:
    failure = Failure(Reason.UPSTREAM_FAILED, Ran.NO, 2_000.0)
    assert make_policy().update_retry_after(make_request(990), failure, 0.0) == failure
