"""Tests of waiting requests and of when their placement is tried."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest

from quetzaldeck.decisions.admission import PredictedWait
from quetzaldeck.decisions.queueing import FairQueue
from quetzaldeck.decisions.scheduling.waiting import PLACEMENT_RETRY_MS, WaitingRequests

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzaldeck.decisions import Request

    MakeRequest = Callable[..., Request]


@pytest.fixture
def waiting() -> WaitingRequests:
    return WaitingRequests(FairQueue(), PredictedWait(random_state=random.Random(1)))


def test_take_retries_placement_only_if_capacity_may_be_free(
    waiting: WaitingRequests, make_request: MakeRequest
) -> None:
    """In a full fleet each token that arrives causes a poll of the scheduler.

    If each poll tried placement, the VM would use the most CPU time while it can
    start no request.
    """
    tried: list[str] = []

    def place(request: Request) -> None:
        tried.append(request.request_id)

    waiting.add(make_request(), 0.0)
    for now_ms in range(50):
        assert waiting.take(float(now_ms), place) is None
    assert len(tried) == 1
    waiting.note_capacity_freed()
    waiting.take(50.0, place)
    waiting.take(50.0 + PLACEMENT_RETRY_MS, place)
    assert len(tried) == 3


def test_take_returns_a_delayed_request_after_its_delay(
    waiting: WaitingRequests, make_request: MakeRequest
) -> None:
    request = make_request()
    waiting.delay(request, 100.0, 0.0)
    assert len(waiting) == 1
    waiting.end_delays(99.0)
    assert waiting.take(99.0, lambda _: ("e0",)) is None
    waiting.end_delays(100.0)
    taken = waiting.take(100.0, lambda _: ("e0",))
    assert taken is not None
    assert taken[0] is request
    assert len(waiting) == 0


@pytest.mark.parametrize("is_delayed", [True, False])
def test_discard_removes_queued_and_delayed_requests(
    waiting: WaitingRequests, make_request: MakeRequest, *, is_delayed: bool
) -> None:
    request = make_request(deadline_ms=1_000.0)
    if is_delayed:
        waiting.delay(request, 500.0, 0.0)
    else:
        waiting.add(request, 0.0)
    waiting.discard(request.request_id, 1.0)
    waiting.end_delays(600.0)
    assert len(waiting) == 0
    assert waiting.pop_expired(2_000.0) == []
