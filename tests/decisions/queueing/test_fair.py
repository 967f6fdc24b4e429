"""Tests of the order in which the fair queue serves requests."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from quetzaldeck.decisions import Request
from quetzaldeck.decisions.queueing import FairQueue

if TYPE_CHECKING:
    from collections.abc import Callable

    MakeRequest = Callable[..., Request]


def place_always(request: Request) -> tuple[str, ...]:
    return ("e0",)


def drain(queue: FairQueue, n: int | None = None) -> list[Request]:
    taken: list[Request] = []
    while n is None or len(taken) < n:
        placed = queue.take(0.0, place_always)
        if placed is None:
            break
        taken.append(placed[0])
    return taken


def test_take_serves_short_requests_before_long_ones(make_request: MakeRequest) -> None:
    queue = FairQueue()
    for n_tokens in (30_000, 1_000, 8_000):
        queue.push(make_request(n_tokens))
    assert [r.n_prompt_tokens for r in drain(queue)] == [1_000, 8_000, 30_000]


def test_take_serves_an_old_long_request_before_a_new_short_one(
    make_request: MakeRequest,
) -> None:
    """Guards against starvation of long requests while short ones keep arriving.

    Shortest-first without ageing would never serve the long one.
    """
    queue = FairQueue()
    queue.push(make_request(20_000, arrived_ms=0.0))
    queue.push(make_request(1_000, arrived_ms=60_000.0))
    assert drain(queue)[0].n_prompt_tokens == 20_000


def test_take_shares_tokens_not_requests(make_request: MakeRequest) -> None:
    queue = FairQueue()
    for _ in range(400):
        queue.push(make_request(1_000, customer="small-prompts"))
        queue.push(make_request(10_000, customer="large-prompts"))
    tokens: Counter[str] = Counter()
    for request in drain(queue, 110):
        tokens[request.customer] += request.n_kv_tokens
    assert tokens["small-prompts"] == pytest.approx(tokens["large-prompts"], rel=0.1)


def test_take_shares_by_weight(make_request: MakeRequest) -> None:
    queue = FairQueue()
    for _ in range(100):
        queue.push(make_request(customer="heavy", weight=3.0))
        queue.push(make_request(customer="light", weight=1.0))
    served = Counter(r.customer for r in drain(queue, 80))
    assert served == {"heavy": 60, "light": 20}


def test_take_gives_no_credit_for_time_before_the_first_request(
    make_request: MakeRequest,
) -> None:
    """A customer starts to send after another one has been served for a long time.

    With credit for the time without requests, the new customer would starve the old.
    """
    queue = FairQueue()
    for _ in range(300):
        queue.push(make_request(customer="old"))
    drain(queue, 200)
    for _ in range(300):
        queue.push(make_request(customer="new"))
    served = Counter(r.customer for r in drain(queue, 20))
    assert served["new"] in (10, 11)


def test_take_serves_priorities_in_order_with_a_share_for_lower_ones(
    make_request: MakeRequest,
) -> None:
    queue = FairQueue()
    for _ in range(200):
        queue.push(make_request(customer="desk", priority=0))
        queue.push(make_request(customer="reviews", priority=9))
    served = drain(queue, 90)
    assert served[0].customer == "desk"
    assert 8 <= sum(r.customer == "reviews" for r in served) <= 11


def test_take_skips_a_request_that_cannot_be_placed(make_request: MakeRequest) -> None:
    """A long head request waits for capacity; a short one behind it must not wait."""
    queue = FairQueue()
    queue.push(make_request(30_000, customer="blocked"))
    queue.push(make_request(1_000, customer="other", arrived_ms=500_000.0))

    def place(request: Request) -> tuple[str, ...] | None:
        return None if request.customer == "blocked" else ("e0",)

    placed = queue.take(0.0, place)
    assert placed is not None
    assert placed[0].customer == "other"
    assert len(queue) == 1


def test_take_is_not_blocked_by_other_models_or_services(
    make_request: MakeRequest,
) -> None:
    queue = FairQueue()
    for index in range(50):
        queue.push(make_request(customer=f"c{index}"))
    queue.push(make_request(model="", service="desk", priority=0))
    placed = queue.take(0.0, lambda r: ("s0",) if r.service else None)
    assert placed is not None
    assert placed[0].service == "desk"


def test_take_probes_few_requests_with_many_customers(
    make_request: MakeRequest,
) -> None:
    queue = FairQueue()
    for index in range(2_000):
        queue.push(make_request(customer=f"c{index}"))
    probed: list[Request] = []

    def place(request: Request) -> None:
        probed.append(request)

    assert queue.take(0.0, place) is None
    assert len(probed) <= 8


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(("push", "take", "remove")),
            st.integers(0, 4),
            st.sampled_from((500, 5_000, 50_000)),
            st.integers(0, 9),
        ),
        max_size=80,
    )
)
def test_queue_keeps_each_request_until_it_is_taken_or_removed(
    steps: list[tuple[str, int, int, int]],
) -> None:
    queue = FairQueue()
    queued: dict[str, Request] = {}
    for index, (step, customer, n_tokens, priority) in enumerate(steps):
        if step == "push":
            request = Request(
                f"r{index}", f"c{customer}", "m", n_tokens, 10, priority, 0.0, 1e9
            )
            queue.push(request)
            queued[request.request_id] = request
        elif step == "take":
            placed = queue.take(0.0, place_always)
            assert (placed is None) == (not queued)
            if placed is not None:
                del queued[placed[0].request_id]
        elif queued:
            request_id = sorted(queued)[customer % len(queued)]
            assert queue.remove(request_id) == queued.pop(request_id)
        assert len(queue) == len(queued)
        assert {r.request_id for r in queue} == set(queued)
