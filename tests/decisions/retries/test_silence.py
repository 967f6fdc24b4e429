"""An engine says nothing for a while: it hangs, or all engines are busy.

A request that is cut off at a busy engine is read again elsewhere, and makes all others
wait for longer; where it cannot be sent again its caller gets an error in place of an
answer that was on its way. A request that stays at a hanging engine is lost.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.support.builders import make_entry_scheduler, make_request, poll_dispatch

from quetzaldeck.decisions import AttemptEnd, AttemptFault, Dispatch
from quetzaldeck.decisions.caller_idle_timeout import infer_idle_timeout_ms
from quetzaldeck.decisions.peer_load import VmLoad
from quetzaldeck.decisions.retries import ArrivalBudget
from quetzaldeck.decisions.retries.silence import (
    SilenceVerdict,
    first_byte_bound_ms,
    gap_bound_ms,
)

if TYPE_CHECKING:
    from quetzaldeck.clock import ManualClock
    from quetzaldeck.decisions import Scheduler

NAMES = ("a", "b", "c")
SILENT_MS = 700.0
TARGET_MS = 300.0
GAP_MS = 250.0


def send(
    scheduler: Scheduler,
    clock: ManualClock,
    request_id: str = "r",
    *,
    is_repeatable: bool = True,
) -> Dispatch:
    request = make_request(
        request_id, n_prompt_tokens=5_000, now_ms=clock.now_ms(), timeout_ms=10_000
    )._replace(
        target_ms=TARGET_MS,
        max_gap_ms=GAP_MS,
        caller_idle_timeout_ms=infer_idle_timeout_ms(TARGET_MS, GAP_MS),
        is_repeatable=is_repeatable,
        max_attempts=2,
    )
    assert scheduler.submit(request) is None
    return poll_dispatch(scheduler)


def judge(
    scheduler: Scheduler, dispatch: Dispatch, silent_ms: float = SILENT_MS
) -> SilenceVerdict:
    return scheduler.judge_silence(dispatch.attempt_id, silent_ms)


def test_bounds_follow_what_the_caller_wants() -> None:
    assert first_byte_bound_ms(100.0) == 500.0
    assert first_byte_bound_ms(1_500.0) == 3_000.0
    assert gap_bound_ms(0.0) is None
    assert gap_bound_ms(1_000.0) == 4_000.0


def test_hanging_engine_is_left(clock: ManualClock) -> None:
    """Nothing else is to be read there, and the other engines are idle."""
    scheduler = make_entry_scheduler(clock, NAMES)
    dispatch = send(scheduler, clock)
    clock.advance(SILENT_MS)
    assert judge(scheduler, dispatch) is SilenceVerdict.LEFT


def test_engine_with_long_parts_to_read_is_waited_for(clock: ManualClock) -> None:
    """Other VMs had sent every engine a part of 27,000 tokens, which is read first."""
    scheduler = make_entry_scheduler(clock, NAMES)
    part = VmLoad(1, 27_000, 0, n_parts=1)
    scheduler.fleet.observe_peer("other", [(name, part) for name in NAMES])
    dispatch = send(scheduler, clock)
    clock.advance(SILENT_MS)
    assert judge(scheduler, dispatch) is SilenceVerdict.BACKLOG
    clock.advance(300)
    assert judge(scheduler, dispatch, 1_000) is SilenceVerdict.LEFT


def test_dead_engine_is_left_though_more_and_more_is_sent_to_it(
    clock: ManualClock,
) -> None:
    """It reads nothing any more, so what is to be read there only grows.

    Taken for the cause of the silence, it had 31 callers wait until they hung up.
    """
    scheduler = make_entry_scheduler(clock, NAMES)
    dispatch = send(scheduler, clock)
    clock.advance(SILENT_MS)
    (name,) = dispatch.upstreams
    scheduler.fleet.observe_peer("other", [(name, VmLoad(9, 90_000, 0))])
    assert judge(scheduler, dispatch) is SilenceVerdict.LEFT


def test_attempt_stays_where_all_other_engines_leave(clock: ManualClock) -> None:
    scheduler = make_entry_scheduler(clock, NAMES)
    dispatch = send(scheduler, clock)
    clock.advance(SILENT_MS)
    others = [name for name in NAMES if name not in dispatch.upstreams]
    scheduler.fleet.observe((), leaving=others)
    assert judge(scheduler, dispatch) is not SilenceVerdict.LEFT


def test_attempt_stays_where_the_budget_is_spent(clock: ManualClock) -> None:
    """Cut off, its caller would get an error: it is not sent again."""
    arrivals = ArrivalBudget(ratio=0.2, window_ms=10_000, floor=1)
    scheduler = make_entry_scheduler(clock, NAMES, arrivals=arrivals)
    first = send(scheduler, clock, "r1")
    second = send(scheduler, clock, "r2")
    clock.advance(SILENT_MS)
    assert judge(scheduler, first) is SilenceVerdict.LEFT
    fault = AttemptFault.SILENT
    assert scheduler.end_attempt(AttemptEnd(first.attempt_id, fault)) is None
    assert judge(scheduler, second) is not SilenceVerdict.LEFT


def test_last_attempt_stays(clock: ManualClock) -> None:
    scheduler = make_entry_scheduler(clock, NAMES)
    first = send(scheduler, clock)
    clock.advance(SILENT_MS)
    fault = AttemptFault.SILENT
    assert scheduler.end_attempt(AttemptEnd(first.attempt_id, fault)) is None
    clock.advance(100)
    last = poll_dispatch(scheduler)
    clock.advance(SILENT_MS)
    assert judge(scheduler, last) is not SilenceVerdict.LEFT


def test_request_that_may_not_be_repeated_stays(clock: ManualClock) -> None:
    scheduler = make_entry_scheduler(clock, NAMES)
    dispatch = send(scheduler, clock, is_repeatable=False)
    clock.advance(SILENT_MS)
    assert judge(scheduler, dispatch) is not SilenceVerdict.LEFT


def test_attempt_stays_when_its_caller_is_about_to_hang_up(clock: ManualClock) -> None:
    scheduler = make_entry_scheduler(clock, NAMES)
    dispatch = send(scheduler, clock)
    clock.advance(2_000)
    assert judge(scheduler, dispatch, 2_000) is not SilenceVerdict.LEFT


def test_stream_that_stops_after_seconds_is_left(clock: ManualClock) -> None:
    """Its caller has heard events all the while and goes on listening."""
    scheduler = make_entry_scheduler(clock, NAMES)
    dispatch = send(scheduler, clock)
    scheduler.note_first_token(dispatch.attempt_id)
    clock.advance(4_000)
    assert judge(scheduler, dispatch, 1_000) is SilenceVerdict.LEFT
