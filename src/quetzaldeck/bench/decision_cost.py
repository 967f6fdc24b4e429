"""Measures the CPU cost of a scheduling decision by fleet and queue size."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.bundle import Bundle, CustomerSpec, UpstreamSpec
from quetzaldeck.clock import ManualClock
from quetzaldeck.decisions import AttemptEnd, Dispatch, Request
from quetzaldeck.decisions.policies import Policies, build_scheduler

if TYPE_CHECKING:
    from quetzaldeck.decisions import Scheduler

N_MEASURED = 2_000
_MODEL = "m"
_NO_DEADLINE_MS = 1e9
_SIZES = (
    (14, 10, 0),
    (14, 10, 500),
    (14, 10, 1_500),
    (195, 10, 0),
    (780, 10, 0),
    (780, 9_200, 0),
    (780, 9_200, 1_500),
    (14, 9_200, 0),
    (14, 9_200, 1_500),
)


class DecisionCost(NamedTuple):
    """Cost of a request from its arrival to its end, on one core.

    :param n_queued: queued requests that cannot be placed
    :param decisions_per_s: requests submitted, placed and ended per second
    """

    n_upstreams: int
    n_customers: int
    n_queued: int
    decisions_per_s: float


def measure_decision_costs() -> tuple[DecisionCost, ...]:
    """:returns: the cost at several sizes; wall time, so it varies between runs"""
    return tuple(_measure(*size) for size in _SIZES)


def _measure(n_upstreams: int, n_customers: int, n_queued: int) -> DecisionCost:
    clock = ManualClock()
    scheduler = build_scheduler(Policies(), clock=clock, random_state=random.Random(1))
    scheduler.apply_bundle(_build_bundle(n_upstreams, n_customers))
    for index in range(n_queued):
        # Their engine has memory for one of them, so the others stay queued.
        scheduler.submit(_make_request(f"q{index}", index, n_customers, "stuck"))
    scheduler.poll()
    started = time.perf_counter()
    for index in range(N_MEASURED):
        _serve(scheduler, clock, f"r{index}", index, n_customers)
    elapsed_s = time.perf_counter() - started
    return DecisionCost(n_upstreams, n_customers, n_queued, N_MEASURED / elapsed_s)


def _serve(
    scheduler: Scheduler, clock: ManualClock, name: str, index: int, n_customers: int
) -> None:
    request = _make_request(name, index, n_customers, _MODEL)
    clock.advance(1.0)
    if scheduler.submit(request) is not None:
        return
    for decision in scheduler.poll():
        if isinstance(decision, Dispatch):
            scheduler.note_first_token(decision.attempt_id)
            scheduler.end_attempt(
                AttemptEnd(
                    decision.attempt_id, n_output_tokens=10, n_prompt_tokens=1_000
                )
            )
            scheduler.withdraw(request.request_id)


def _make_request(name: str, index: int, n_customers: int, model: str) -> Request:
    return Request(
        name, f"c{index % n_customers}", model, 1_000, 10, 5, 0.0, _NO_DEADLINE_MS
    )


def _build_bundle(n_upstreams: int, n_customers: int) -> Bundle:
    engines = tuple(
        UpstreamSpec(
            f"e{index}", "http://127.0.0.1:1", models=(_MODEL,), kv_tokens=400_000
        )
        for index in range(n_upstreams)
    )
    full_engine = UpstreamSpec(
        "full", "http://127.0.0.1:1", models=("stuck",), kv_tokens=1_500
    )
    customers = tuple(CustomerSpec(f"c{index}", ()) for index in range(n_customers))
    return Bundle(1, 1, upstreams=(*engines, full_engine), customers=customers)


__all__ = ("DecisionCost", "measure_decision_costs")
