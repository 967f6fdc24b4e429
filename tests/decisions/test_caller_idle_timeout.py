"""More plans are asked for than engines can begin, and callers do not wait for ever.

Each caller has a deadline of ten seconds, but hangs up if it has heard nothing after
two. Counted against the deadline alone, a request waits in the queue until its caller
is gone: the caller heard nothing, and the engine may begin it for nobody.
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
from quetzaldeck.decisions.caller_idle_timeout import (
    LINK_MARGIN_MS,
    infer_idle_timeout_ms,
)
from quetzaldeck.outcomes import Failure, Ran, Reason

if TYPE_CHECKING:
    from quetzaldeck.clock import ManualClock

N_ENGINES = 4
ANSWER_MS = 1_000.0
TARGET_MS = 300.0
GAP_MS = 250.0
DEADLINE_MS = 10_000.0
TICK_MS = 20.0


class Told(NamedTuple):
    """What a caller heard first, and when."""

    request: Request
    at_ms: float
    refusal: Failure | None

    @property
    def wait_ms(self) -> float:
        return self.at_ms - self.request.arrived_ms


class Desk:
    """Callers, and engines that write each answer in the same time."""

    def __init__(self, clock: ManualClock, *, patience: float) -> None:
        self.clock = clock
        self.patience_ms = patience
        names = [f"engine-{n}" for n in range(N_ENGINES)]
        self.scheduler = make_entry_scheduler(clock, names)
        self.told: list[Told] = []
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
            caller_idle_timeout_ms=self.patience_ms,
        )
        refusal = self.scheduler.submit(request)
        if refusal is not None:
            self.told.append(Told(request, self.clock.now_ms(), refusal))

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
            self.told.append(Told(decision.request, now_ms, decision.failure))
            return
        first_ms = now_ms + FEW_SLOTS.read_ms(decision.request.n_prompt_tokens)
        self.scheduler.note_first_token(decision.attempt_id)
        self.told.append(Told(decision.request, first_ms, None))
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
def desk(clock: ManualClock) -> Desk:
    desk = Desk(clock, patience=infer_idle_timeout_ms(TARGET_MS, GAP_MS))
    desk.run(6_000, per_s=32)
    desk.run(4_000, per_s=0)
    return desk


def test_patience_is_what_callers_of_streams_bear() -> None:
    assert infer_idle_timeout_ms(300.0, 250.0) == 2_000.0
    assert infer_idle_timeout_ms(1_500.0, 600.0) == 6_000.0
    assert infer_idle_timeout_ms(0.0, 1_000.0) == 8_000.0


def test_request_without_patience_is_bound_by_its_deadline() -> None:
    assert make_request().next_token_deadline_ms == math.inf


def test_no_caller_hangs_up_in_silence_at_twice_the_load(desk: Desk) -> None:
    """Twice as many plans as engines can write, for six seconds."""
    assert len(desk.told) == desk.n_arrived
    in_time = [t for t in desk.told if t.wait_ms <= desk.patience_ms]
    assert len(in_time) == desk.n_arrived


def test_most_refusals_come_at_once_and_say_when_to_come_back(desk: Desk) -> None:
    """The queue's pace is known after a second; then nobody waits for a refusal."""
    refusals = [t for t in desk.told if t.refusal is not None]
    n_at_once = sum(t.wait_ms == 0.0 for t in refusals)
    assert n_at_once > len(refusals) / 2
    for told in refusals:
        assert told.refusal is not None
        assert told.refusal.ran is Ran.NO
        assert told.refusal.reason is Reason.DEADLINE_UNREACHABLE
        assert told.refusal.retry_after_ms


def test_engines_are_kept_busy_all_the_while(desk: Desk) -> None:
    """What is refused is no more than what engines could not have begun."""
    n_served = sum(t.refusal is None for t in desk.told)
    capacity = N_ENGINES * FEW_SLOTS.n_slots * 6_000 / ANSWER_MS
    assert n_served >= 0.9 * capacity


def test_stream_that_broke_off_has_its_patience_anew(clock: ManualClock) -> None:
    """A stream breaks after 3 s of events; its caller goes on listening.

    Counted from its arrival its patience would be over, and the second attempt
    would be refused though the caller is there.
    """
    desk = Desk(clock, patience=infer_idle_timeout_ms(TARGET_MS, GAP_MS))
    desk.arrive()
    (decision,) = desk.scheduler.poll()
    assert isinstance(decision, Dispatch)
    desk.scheduler.note_first_token(decision.attempt_id)
    clock.advance(3_000)
    end = AttemptEnd(decision.attempt_id, AttemptFault.BROKEN, n_output_tokens=9)
    assert desk.scheduler.end_attempt(end) is None
    clock.advance(200)
    (again,) = desk.scheduler.poll()
    assert isinstance(again, Dispatch)


def test_attempt_that_never_spoke_has_no_patience_left(clock: ManualClock) -> None:
    """An engine breaks off before its first event, when the caller hangs up."""
    desk = Desk(clock, patience=infer_idle_timeout_ms(TARGET_MS, GAP_MS))
    desk.arrive()
    (decision,) = desk.scheduler.poll()
    assert isinstance(decision, Dispatch)
    clock.advance(desk.patience_ms - LINK_MARGIN_MS)
    end = AttemptEnd(decision.attempt_id, AttemptFault.BROKEN)
    assert desk.scheduler.end_attempt(end) is not None


def test_prompt_that_no_engine_reads_in_time_is_served_as_well_as_it_can_be(
    clock: ManualClock,
) -> None:
    """Idle engines need longer for it than callers of its route usually listen.

    Its deadline leaves time. Refused for a patience that is only inferred, it could
    never be served at all.
    """
    desk = Desk(clock, patience=LINK_MARGIN_MS + 10.0)
    desk.arrive()
    desk.step()
    (told,) = desk.told
    assert told.refusal is None
