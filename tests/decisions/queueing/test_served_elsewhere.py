"""Order of the fair queue when other VMs report what they dispatched."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from quetzaldeck.decisions.fair_shares import ShareTracker
from quetzaldeck.decisions.queueing import (
    FairQueue,
    FifoQueue,
    InTimeQueue,
    QueuePolicy,
    ShareRule,
)
from quetzaldeck.decisions.queueing.customer_tags import WINDOW_MS

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzaldeck.decisions import Request

    MakeRequest = Callable[..., Request]

TARGET = "m/5"


def take(queue: QueuePolicy, now_ms: float = 0.0) -> str:
    taken = queue.take(now_ms, lambda _: ("e0",))
    return taken[0].customer if taken else ""


def push(
    queue: QueuePolicy, make_request: MakeRequest, *customers: str, weight: float = 1.0
) -> None:
    for customer in customers:
        queue.push(make_request(990, customer=customer, weight=weight))


@pytest.mark.parametrize("kind", [FairQueue, InTimeQueue])
def test_customer_served_elsewhere_goes_later(
    kind: type[QueuePolicy], make_request: MakeRequest
) -> None:
    """Guards against a burst that each VM takes for a customer like any other."""
    queue = kind()
    push(queue, make_request, "burst", "usual", "usual", "burst")
    queue.note_served_elsewhere(TARGET, "burst", 5_000)
    assert [take(queue) for _ in range(5)] == ["usual", "usual", "burst", "burst", ""]


def test_service_elsewhere_counts_when_the_customer_arrives(
    make_request: MakeRequest,
) -> None:
    """Guards against history that is lost whenever a queue is empty for a moment."""
    queue = FairQueue()
    queue.note_served_elsewhere(TARGET, "burst", 5_000)
    push(queue, make_request, "burst", "usual")
    assert [take(queue), take(queue)] == ["usual", "burst"]


def test_weight_divides_service_elsewhere(make_request: MakeRequest) -> None:
    queue = FairQueue()
    push(queue, make_request, "light")
    push(queue, make_request, "heavy", weight=10.0)
    queue.note_served_elsewhere(TARGET, "light", 2_000)
    queue.note_served_elsewhere(TARGET, "heavy", 10_000)
    assert take(queue) == "heavy"


def test_priority_and_class_are_separate(make_request: MakeRequest) -> None:
    """Guards against patient or long prompts that delay a customer's urgent ones."""
    queue = FairQueue()
    push(queue, make_request, "burst", "usual")
    queue.note_served_elsewhere("m/9", "burst", 5_000)
    queue.note_served_elsewhere("m/5/long", "burst", 5_000)
    assert take(queue) == "burst"


def test_history_never_locks_a_customer_out(make_request: MakeRequest) -> None:
    """Guards against a customer that pays for service of the past.

    After two windows nothing counts that was dispatched before them.
    """
    queue = FairQueue()
    queue.note_served_elsewhere(TARGET, "burst", 10**9)
    for window in range(1, 4):
        take(queue, window * WINDOW_MS)
    push(queue, make_request, "burst", "usual")
    assert take(queue) == "burst"


def test_no_credit_for_time_without_requests(make_request: MakeRequest) -> None:
    """Guards against a customer that returns and takes all capacity for a while."""
    queue = FairQueue()
    push(queue, make_request, *["usual"] * 30)
    for _ in range(20):
        take(queue)
        queue.note_served_elsewhere(TARGET, "usual", 1_000)
    push(queue, make_request, *["idle"] * 10)
    assert [take(queue) for _ in range(4)].count("idle") <= 3


def test_overtaken_requests_state_the_rule(make_request: MakeRequest) -> None:
    """Guards against a starved customer whose cause cannot be found."""
    queue = FairQueue()
    queue.push(make_request(990, customer="burst", arrived_ms=0.0))
    queue.push(make_request(990, customer="usual", arrived_ms=5.0))
    queue.note_served_elsewhere(TARGET, "burst", 5_000)
    take(queue)
    (first,) = queue.pop_passed_over()
    assert first.rule is ShareRule.SERVED_ELSEWHERE
    assert (first.customer, first.served_customer) == ("burst", "usual")
    assert queue.pop_passed_over() == []


def test_overtaken_by_local_shares_states_the_rule(make_request: MakeRequest) -> None:
    queue = FairQueue()
    queue.note_served_elsewhere(TARGET, "third", 1)
    queue.push(make_request(9_000, customer="burst", arrived_ms=0.0))
    take(queue)
    queue.push(make_request(9_000, customer="burst", arrived_ms=1.0))
    queue.push(make_request(990, customer="usual", arrived_ms=5.0))
    take(queue)
    assert [item.rule for item in queue.pop_passed_over()] == [ShareRule.SERVED_HERE]


def test_fifo_ignores_service_elsewhere(make_request: MakeRequest) -> None:
    queue = FifoQueue()
    push(queue, make_request, "burst", "usual")
    queue.note_served_elsewhere(TARGET, "burst", 5_000)
    assert take(queue) == "burst"


def test_only_contended_dispatches_are_counted(make_request: MakeRequest) -> None:
    """Guards against messages while no VM queues."""
    queue = FairQueue()
    tracker = ShareTracker(queue, 0.0)
    tracker.note_dispatched(make_request(990, arrived_ms=0.0), 10.0)
    assert tracker.take_changes(10.0, 1) == []
    push(queue, make_request, "waiting")
    tracker.note_dispatched(make_request(990, arrived_ms=0.0), 10.0)
    assert [item.n_tokens for item in tracker.take_changes(10.0, 1)] == [1_000]
