"""Callers disconnect before their deadline if they receive no token.

More requests arrive than engines can start. Each caller has a deadline of ten seconds,
but disconnects after two without a token. If only the deadline counted, a request could
wait until its caller has gone without a response, and an engine might still start it.
"""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING, NamedTuple

import pytest
from tests.support.builders import FEW_SLOTS, make_entry_scheduler, make_request

from quetzaldeck.decisions import (
    AttemptEnd,
    AttemptFault,
    Dispatch,
    Rejection,
    Request,
)
from quetzaldeck.decisions.request import DISCONNECT_MARGIN_MS
from quetzaldeck.outcomes import Failure, Ran, Reason
from quetzaldeck.platform.caller_timeouts import stream_idle_timeout_ms

if TYPE_CHECKING:
    from quetzaldeck.clock import ManualClock

N_ENGINES = 4
ANSWER_MS = 1_000.0
TARGET_MS = 300.0
GAP_MS = 250.0
DEADLINE_MS = 10_000.0
TICK_MS = 20.0


class FirstResponse(NamedTuple):
    """First token or refusal that a caller received, and when."""

    request: Request
    at_ms: float
    refusal: Failure | None

    @property
    def wait_ms(self) -> float:
        return self.at_ms - self.request.arrived_ms


class Simulation:
    """Callers, and engines that generate each answer in the same time."""

    def __init__(self, clock: ManualClock, *, idle_timeout_ms: float) -> None:
        self.clock = clock
        self.idle_timeout_ms = idle_timeout_ms
        names = [f"engine-{n}" for n in range(N_ENGINES)]
        self.scheduler = make_entry_scheduler(clock, names)
        self.responses: list[FirstResponse] = []
        self.ends: list[tuple[float, str]] = []
        self.n_arrived = 0

    def arrive(self) -> None:
        self.n_arrived += 1
        request = make_request(
            f"r{self.n_arrived}",
            n_prompt_tokens=5_000,
            max_output_tokens=1_300,
            now_ms=self.clock.now_ms(),
            timeout_ms=DEADLINE_MS,
        )._replace(
            target_ms=TARGET_MS,
            max_gap_ms=GAP_MS,
            caller_idle_timeout_ms=self.idle_timeout_ms,
        )
        refusal = self.scheduler.submit(request)
        if refusal is not None:
            self.responses.append(FirstResponse(request, self.clock.now_ms(), refusal))

    def step(self) -> None:
        self.clock.advance(TICK_MS)
        now_ms = self.clock.now_ms()
        while self.ends and self.ends[0][0] <= now_ms:
            _, attempt_id = heapq.heappop(self.ends)
            self.scheduler.end_attempt(AttemptEnd(attempt_id, n_output_tokens=30))
        for decision in self.scheduler.poll():
            self.carry_out(decision, now_ms)

    def carry_out(self, decision: Dispatch | Rejection, now_ms: float) -> None:
        if isinstance(decision, Rejection):
            self.responses.append(
                FirstResponse(decision.request, now_ms, decision.failure)
            )
            return
        first_ms = now_ms + FEW_SLOTS.prefill_ms(decision.request.n_prompt_tokens)
        self.scheduler.note_first_token(decision.attempt_id)
        self.responses.append(FirstResponse(decision.request, first_ms, None))
        heapq.heappush(self.ends, (now_ms + ANSWER_MS, decision.attempt_id))

    def run(self, n_ms: float, per_s: float) -> None:
        due = 0.0
        for _ in range(round(n_ms / TICK_MS)):
            due += per_s * TICK_MS / 1_000
            while due >= 1.0:
                due -= 1.0
                self.arrive()
            self.step()


@pytest.fixture
def simulation(clock: ManualClock) -> Simulation:
    simulation = Simulation(
        clock, idle_timeout_ms=stream_idle_timeout_ms(TARGET_MS, GAP_MS)
    )
    simulation.run(6_000, per_s=32)
    simulation.run(4_000, per_s=0)
    return simulation


def test_idle_timeout_follows_from_target_and_gap() -> None:
    assert stream_idle_timeout_ms(300.0, 250.0) == 2_000.0
    assert stream_idle_timeout_ms(1_500.0, 600.0) == 6_000.0
    assert stream_idle_timeout_ms(0.0, 1_000.0) == 8_000.0


def test_request_without_idle_timeout_is_limited_by_its_deadline_only() -> None:
    assert make_request().next_token_deadline_ms == math.inf


def test_no_caller_disconnects_without_a_response_at_twice_the_capacity(
    simulation: Simulation,
) -> None:
    """For six seconds, twice as many requests arrive as engines can answer."""
    assert len(simulation.responses) == simulation.n_arrived
    in_time = [
        r for r in simulation.responses if r.wait_ms <= simulation.idle_timeout_ms
    ]
    assert len(in_time) == simulation.n_arrived


def test_most_refusals_are_immediate_and_have_a_retry_delay(
    simulation: Simulation,
) -> None:
    """The drain rate is known after a second; later refusals come on arrival."""
    refusals = [r for r in simulation.responses if r.refusal is not None]
    n_at_once = sum(r.wait_ms == 0.0 for r in refusals)
    assert n_at_once > len(refusals) / 2
    for response in refusals:
        assert response.refusal is not None
        assert response.refusal.ran is Ran.NO
        assert response.refusal.reason is Reason.DEADLINE_UNREACHABLE
        assert response.refusal.retry_after_ms


def test_engines_stay_busy(simulation: Simulation) -> None:
    """Refusals leave little capacity unused: nine tenths of it serve requests."""
    n_served = sum(r.refusal is None for r in simulation.responses)
    capacity = N_ENGINES * FEW_SLOTS.n_slots * 6_000 / ANSWER_MS
    assert n_served >= 0.9 * capacity


def test_broken_stream_restarts_the_idle_timeout(clock: ManualClock) -> None:
    """A stream breaks after 3 s of events while its caller stays connected.

    If the idle timeout counted from arrival, it would have passed, and the retry would
    be refused although the caller is still connected.
    """
    simulation = Simulation(
        clock, idle_timeout_ms=stream_idle_timeout_ms(TARGET_MS, GAP_MS)
    )
    simulation.arrive()
    (decision,) = simulation.scheduler.poll()
    assert isinstance(decision, Dispatch)
    simulation.scheduler.note_first_token(decision.attempt_id)
    clock.advance(3_000)
    end = AttemptEnd(decision.attempt_id, AttemptFault.BROKEN, n_output_tokens=9)
    assert simulation.scheduler.end_attempt(end) is None
    clock.advance(200)
    (again,) = simulation.scheduler.poll()
    assert isinstance(again, Dispatch)


def test_attempt_without_events_does_not_restart_the_idle_timeout(
    clock: ManualClock,
) -> None:
    """An engine fails before its first event, just as the caller disconnects."""
    simulation = Simulation(
        clock, idle_timeout_ms=stream_idle_timeout_ms(TARGET_MS, GAP_MS)
    )
    simulation.arrive()
    (decision,) = simulation.scheduler.poll()
    assert isinstance(decision, Dispatch)
    clock.advance(simulation.idle_timeout_ms - DISCONNECT_MARGIN_MS)
    end = AttemptEnd(decision.attempt_id, AttemptFault.BROKEN)
    assert simulation.scheduler.end_attempt(end) is not None


def test_idle_timeout_shorter_than_the_fastest_prefill_is_ignored(
    clock: ManualClock,
) -> None:
    """Even idle engines need longer for the prompt than the idle timeout of the route.

    Its deadline leaves enough time. If the request were refused for the idle timeout,
    it could never be served.
    """
    simulation = Simulation(clock, idle_timeout_ms=DISCONNECT_MARGIN_MS + 10.0)
    simulation.arrive()
    simulation.step()
    (response,) = simulation.responses
    assert response.refusal is None
