"""A burst of short prompts that exceeds the places of all engines for some seconds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import strategies as st
from tests.decisions.conftest import make_request_factory

from quetzaldeck.decisions.queueing import FairQueue, InTimeQueue, QueuePolicy

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzaldeck.decisions import Request

    MakeRequest = Callable[..., Request]

TARGET_MS = 300.0
SERVICE_MS = 20.0


def serve_burst(
    queue: QueuePolicy, make_request: MakeRequest, *, load: float, n_requests: int = 300
) -> list[float]:
    """Serve one request every :data:`SERVICE_MS`.

    :param load: arrivals per served request
    :returns: the time that each request waited, in the order of service
    """
    waits: list[float] = []
    n_arrived, now_ms = 0, 0.0
    while len(waits) < n_requests:
        while n_arrived < n_requests and n_arrived * SERVICE_MS / load <= now_ms:
            arrived_ms = n_arrived * SERVICE_MS / load
            queue.push(make_request(arrived_ms=arrived_ms, target_ms=TARGET_MS))
            n_arrived += 1
        taken = queue.take(now_ms, lambda _: ("e0",))
        if taken is not None:
            waits.append(now_ms - taken[0].arrived_ms)
        now_ms += SERVICE_MS
    return waits


def count_in_time(waits: list[float]) -> int:
    return sum(wait_ms < TARGET_MS for wait_ms in waits)


def test_most_requests_of_a_burst_that_fit_are_served_in_time(
    make_request: MakeRequest,
) -> None:
    """In order of arrival nearly all requests of a burst were late.

    With 1.5 times as many requests as places, two of three fit.
    """
    in_order = serve_burst(FairQueue(), make_request, load=1.5)
    in_time = serve_burst(InTimeQueue(), make_request, load=1.5)
    assert count_in_time(in_order) < 60
    assert count_in_time(in_time) > 140
    assert len(in_time) == len(in_order)


def test_order_is_unchanged_without_overload(make_request: MakeRequest) -> None:
    in_order = serve_burst(FairQueue(), make_request, load=0.9)
    assert serve_burst(InTimeQueue(), make_request, load=0.9) == in_order


def test_late_requests_keep_a_share_of_the_places(make_request: MakeRequest) -> None:
    """Guards against starvation of late requests while others keep arriving."""
    waits = serve_burst(InTimeQueue(), make_request, load=3.0)
    first = waits[:100]
    assert len(first) - count_in_time(first) >= 10


def test_late_request_goes_before_those_of_a_lower_priority(
    make_request: MakeRequest,
) -> None:
    """Guards against urgent requests that lose their place because they are late.

    Less urgent requests have longer targets and stay in time for longer.
    """
    queue = InTimeQueue()
    urgent = make_request(priority=1, target_ms=TARGET_MS)
    queue.push(urgent)
    queue.push(make_request(priority=2, target_ms=10 * TARGET_MS))
    taken = queue.take(TARGET_MS, lambda _: ("e0",))
    assert taken is not None
    assert taken[0] == urgent


def test_request_without_target_is_never_late(make_request: MakeRequest) -> None:
    queue = InTimeQueue()
    first = make_request()
    queue.push(first)
    queue.push(make_request(arrived_ms=1e9, target_ms=TARGET_MS))
    taken = queue.take(1e9, lambda _: ("e0",))
    assert taken is not None
    assert taken[0] == first


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 2_000)), max_size=40))
def test_each_request_is_queued_until_it_is_taken_or_removed(
    steps: list[tuple[bool, int]],
) -> None:
    """Guards against requests that are lost when they become late."""
    make_request = make_request_factory()
    queue, queued, now_ms = InTimeQueue(), set(), 0.0
    for is_arrival, delay_ms in steps:
        now_ms += delay_ms / 10
        if is_arrival:
            request = make_request(arrived_ms=now_ms, target_ms=TARGET_MS)
            queue.push(request)
            queued.add(request.request_id)
        elif delay_ms % 3 == 0 and queued:
            removed = queue.remove(min(queued))
            assert removed is not None
            queued.discard(removed.request_id)
        else:
            taken = queue.take(now_ms, lambda _: ("e0",))
            assert (taken is None) == (not queued)
            if taken is not None:
                queued.remove(taken[0].request_id)
        assert {request.request_id for request in queue} == queued
        assert len(queue) == len(queued)
