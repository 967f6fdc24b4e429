"""Tests of waiting requests and of when their placement is tried."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest

from quetzaldeck.decisions.admission import PredictedWait
from quetzaldeck.decisions.queueing import InTimeQueue
from quetzaldeck.decisions.waiting import (
    IN_TIME_TURN_MS,
    LATE_TURN_MS,
    PLACEMENT_RETRY_MS,
    WaitingRequests,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzaldeck.decisions import Request

    MakeRequest = Callable[..., Request]


def make_waiting(seed: int = 1) -> WaitingRequests:
    random_state = random.Random(seed)
    admission = PredictedWait(random_state=random_state)
    return WaitingRequests(InTimeQueue(), admission, random_state)


@pytest.fixture
def waiting() -> WaitingRequests:
    return make_waiting()


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


def place_nowhere(request: Request) -> None:
    return None


def find_turn_ms(waiting: WaitingRequests, request: Request, from_ms: float) -> float:
    """:returns: time from a note of capacity freed elsewhere to the next placement"""
    waiting.add(request, from_ms)
    assert waiting.take(from_ms, place_nowhere) is None
    waiting.note_capacity_freed_elsewhere(from_ms)
    for delay_ms in range(int(PLACEMENT_RETRY_MS)):
        waiting.note_capacity_freed_elsewhere(from_ms + delay_ms)
        if waiting.take(from_ms + delay_ms, lambda _: ("e0",)) is not None:
            return float(delay_ms)
    return PLACEMENT_RETRY_MS


def test_vms_try_one_after_another_for_capacity_freed_by_another_vm(
    make_request: MakeRequest,
) -> None:
    """Four of seven VMs sent a request to the same freed place at one moment.

    Three of them waited inside the engine and were abandoned as silent.
    """
    request = make_request(target_ms=300.0)
    turns = [find_turn_ms(make_waiting(seed), request, 0.0) for seed in range(7)]
    assert len(set(turns)) >= 5
    assert max(turns) <= IN_TIME_TURN_MS + 1.0


def test_vm_with_requests_in_time_tries_first(make_request: MakeRequest) -> None:
    late = make_request(arrived_ms=0.0, target_ms=300.0)
    in_time = make_request(arrived_ms=1_000.0, target_ms=300.0)
    assert find_turn_ms(make_waiting(), in_time, 1_000.0) <= IN_TIME_TURN_MS + 1.0
    assert find_turn_ms(make_waiting(), late, 1_000.0) >= LATE_TURN_MS[0]


def test_vm_uses_capacity_that_it_has_freed_itself_at_once(
    waiting: WaitingRequests, make_request: MakeRequest
) -> None:
    waiting.add(make_request(), 0.0)
    assert waiting.take(0.0, place_nowhere) is None
    waiting.note_capacity_freed_elsewhere(0.0)
    waiting.note_capacity_freed()
    assert waiting.take(0.0, lambda _: ("e0",)) is not None
