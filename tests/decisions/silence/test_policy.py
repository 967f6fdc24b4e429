"""Tests of silent attempts: the engine hangs, or all engines are busy.

A request that is abandoned at a busy engine is prefilled again elsewhere and delays all
others; if it cannot be retried, its caller gets an error instead of an answer that was
under way. A request that stays at a hanging engine is lost.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from tests.support.builders import make_entry_scheduler, make_request, poll_dispatch

from quetzaldeck.bundle import Bundle
from quetzaldeck.decisions import AttemptEnd, AttemptFault, Dispatch
from quetzaldeck.decisions.loads.peer_load import VmLoad
from quetzaldeck.decisions.poison import (
    CrashSighting,
    PoisonBounds,
    RunSighting,
    RunState,
)
from quetzaldeck.decisions.retries import ResendBudget
from quetzaldeck.decisions.silence.verdict import SilenceVerdict
from quetzaldeck.decisions.silence_thresholds import (
    first_byte_threshold_ms,
    stream_gap_threshold_ms,
)
from quetzaldeck.platform.caller_timeouts import stream_idle_timeout_ms

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzaldeck.clock import ManualClock
    from quetzaldeck.decisions import Scheduler

NAMES = ("a", "b", "c")
SILENT_MS = 700.0
TARGET_MS = 300.0
GAP_MS = 250.0


def dispatch_request(
    scheduler: Scheduler,
    clock: ManualClock,
    request_id: str = "r",
    *,
    is_repeatable: bool = True,
    fingerprint: int = 0,
) -> Dispatch:
    request = make_request(
        request_id,
        n_prompt_tokens=5_000,
        now_ms=clock.now_ms(),
        timeout_ms=10_000,
        fingerprint=fingerprint,
    )._replace(
        target_ms=TARGET_MS,
        max_gap_ms=GAP_MS,
        caller_idle_timeout_ms=stream_idle_timeout_ms(TARGET_MS, GAP_MS),
        is_repeatable=is_repeatable,
        max_attempts=2,
    )
    assert scheduler.submit(request) is None
    return poll_dispatch(scheduler)


def judge(
    scheduler: Scheduler, dispatch: Dispatch, silent_ms: float = SILENT_MS
) -> SilenceVerdict:
    return scheduler.judge_silence(dispatch.attempt_id, silent_ms)


def test_thresholds_scale_with_the_latency_targets() -> None:
    assert first_byte_threshold_ms(100.0) == 500.0
    assert first_byte_threshold_ms(1_500.0) == 3_000.0
    assert stream_gap_threshold_ms(0.0) is None
    assert stream_gap_threshold_ms(1_000.0) == 4_000.0


def test_attempt_on_a_hanging_engine_is_abandoned(clock: ManualClock) -> None:
    """No prefill backlog explains the silence, and the other engines are idle."""
    scheduler = make_entry_scheduler(clock, NAMES)
    dispatch = dispatch_request(scheduler, clock)
    clock.advance(SILENT_MS)
    assert judge(scheduler, dispatch) is SilenceVerdict.REPLACE


def test_attempt_behind_long_prompt_parts_goes_on(clock: ManualClock) -> None:
    """Other VMs have sent each engine 27,000 tokens, which are prefilled first."""
    scheduler = make_entry_scheduler(clock, NAMES)
    part = VmLoad(1, 27_000, 0, n_parts=1)
    scheduler.fleet.observe_peer("other", [(name, part) for name in NAMES])
    dispatch = dispatch_request(scheduler, clock)
    clock.advance(SILENT_MS)
    assert judge(scheduler, dispatch) is SilenceVerdict.BACKLOG
    clock.advance(300)
    assert judge(scheduler, dispatch, 1_000) is SilenceVerdict.REPLACE


def test_attempt_on_a_dead_engine_with_growing_backlog_is_abandoned(
    clock: ManualClock,
) -> None:
    """The backlog of a dead engine only grows, as it prefills nothing any more.

    When it counted as an explanation of the silence, 31 callers waited until they
    disconnected.
    """
    scheduler = make_entry_scheduler(clock, NAMES)
    dispatch = dispatch_request(scheduler, clock)
    clock.advance(SILENT_MS)
    (name,) = dispatch.upstreams
    scheduler.fleet.observe_peer("other", [(name, VmLoad(9, 90_000, 0))])
    assert judge(scheduler, dispatch) is SilenceVerdict.REPLACE


def test_attempt_goes_on_if_all_other_engines_are_leaving(clock: ManualClock) -> None:
    scheduler = make_entry_scheduler(clock, NAMES)
    dispatch = dispatch_request(scheduler, clock)
    clock.advance(SILENT_MS)
    others = [name for name in NAMES if name not in dispatch.upstreams]
    scheduler.fleet.observe((), leaving=others)
    assert judge(scheduler, dispatch) is not SilenceVerdict.REPLACE


def test_attempt_goes_on_if_the_budget_is_spent(clock: ManualClock) -> None:
    """If it were abandoned, the caller would get an error instead of a retry."""
    resend_budget = ResendBudget(ratio=0.2, window_ms=10_000, min_resends=1)
    scheduler = make_entry_scheduler(clock, NAMES, resend_budget=resend_budget)
    first = dispatch_request(scheduler, clock, "r1")
    second = dispatch_request(scheduler, clock, "r2")
    clock.advance(SILENT_MS)
    assert judge(scheduler, first) is SilenceVerdict.REPLACE
    fault = AttemptFault.SILENT
    assert scheduler.end_attempt(AttemptEnd(first.attempt_id, fault)) is None
    assert judge(scheduler, second) is not SilenceVerdict.REPLACE


def test_last_attempt_goes_on(clock: ManualClock) -> None:
    scheduler = make_entry_scheduler(clock, NAMES)
    first = dispatch_request(scheduler, clock)
    clock.advance(SILENT_MS)
    fault = AttemptFault.SILENT
    assert scheduler.end_attempt(AttemptEnd(first.attempt_id, fault)) is None
    clock.advance(100)
    last = poll_dispatch(scheduler)
    clock.advance(SILENT_MS)
    assert judge(scheduler, last) is not SilenceVerdict.REPLACE


def test_attempt_of_a_non_repeatable_request_goes_on(clock: ManualClock) -> None:
    scheduler = make_entry_scheduler(clock, NAMES)
    dispatch = dispatch_request(scheduler, clock, is_repeatable=False)
    clock.advance(SILENT_MS)
    assert judge(scheduler, dispatch) is not SilenceVerdict.REPLACE


def test_attempt_goes_on_if_its_caller_is_about_to_disconnect(
    clock: ManualClock,
) -> None:
    scheduler = make_entry_scheduler(clock, NAMES)
    dispatch = dispatch_request(scheduler, clock)
    clock.advance(2_000)
    assert judge(scheduler, dispatch, 2_000) is not SilenceVerdict.REPLACE


def test_stream_that_stalls_after_seconds_is_abandoned(clock: ManualClock) -> None:
    """The caller has received events until then and is still connected."""
    scheduler = make_entry_scheduler(clock, NAMES)
    dispatch = dispatch_request(scheduler, clock)
    scheduler.note_first_token(dispatch.attempt_id)
    clock.advance(4_000)
    assert judge(scheduler, dispatch, 1_000) is SilenceVerdict.REPLACE


def test_suspect_is_not_abandoned_before_its_retry_could_start(
    clock: ManualClock,
) -> None:
    """Guards against a bystander of a crash whose run alone is never answered.

    It runs for a little longer than after which an attempt is checked, and its retry
    would have to wait for longer than that.
    """
    scheduler = make_entry_scheduler(clock, NAMES)
    scheduler.fleet.observe_crashes([CrashSighting(7, "gone", "1", 5_000.0, 900.0)])
    dispatch = dispatch_request(scheduler, clock, fingerprint=7)
    bounds = PoisonBounds()
    hold_ms = bounds.linger_ms + bounds.settle_ms
    for silent_ms, verdict in (
        (SILENT_MS, SilenceVerdict.HELD),
        (SILENT_MS + hold_ms, SilenceVerdict.REPLACE),
    ):
        assert judge(scheduler, dispatch, silent_ms) is verdict


def test_suspect_leaves_an_upstream_that_is_presumed_crashed_at_once(
    clock: ManualClock,
) -> None:
    """Guards against waiting for an outcome that another VM has told."""
    scheduler = make_entry_scheduler(clock, NAMES)
    scheduler.fleet.observe_crashes([CrashSighting(7, "gone", "1", 5_000.0, 900.0)])
    dispatch = dispatch_request(scheduler, clock, fingerprint=7)
    (name,) = dispatch.upstreams
    run = RunSighting(8, name, "", 500.0, -1.0, RunState.MISSING)
    scheduler.fleet.observe_runs([run])
    assert judge(scheduler, dispatch) is SilenceVerdict.REPLACE


def limit_rates(scheduler: Scheduler) -> None:
    for name in NAMES:
        scheduler.fleet.observe_rate_limit(name, 0.1)
        scheduler.fleet.note_permit_refused(name, 60_000.0)


def suspect_request(scheduler: Scheduler) -> None:
    sightings = [CrashSighting(7, f"x{n}", f"x{n}", 100.0) for n in range(3)]
    scheduler.fleet.observe_crashes(sightings)


@pytest.mark.parametrize(
    ("change", "verdict"),
    [
        (limit_rates, SilenceVerdict.RATE_LIMITED),
        (suspect_request, SilenceVerdict.SUSPECTED),
    ],
)
def test_refusal_of_a_replacement_says_what_refused_it(
    clock: ManualClock, change: Callable[[Scheduler], None], verdict: SilenceVerdict
) -> None:
    """Operators can't tell a limit that a replica names from a suspicion."""
    scheduler = make_entry_scheduler(clock, NAMES)
    dispatch = dispatch_request(scheduler, clock, fingerprint=7)
    change(scheduler)
    assert judge(scheduler, dispatch, 5_000.0) is verdict


@pytest.mark.parametrize("is_added_again", ["before", "after"])
def test_attempt_that_goes_on_holds_its_place_though_its_upstream_was_dropped(
    clock: ManualClock, is_added_again: str
) -> None:
    """A version without the service makes the end of the attempt a second release."""
    scheduler = make_entry_scheduler(clock, NAMES)
    bundle = Bundle(2, 1 << 53, upstreams=tuple(s.spec for s in scheduler.upstreams))
    dispatch = dispatch_request(scheduler, clock)
    clock.advance(SILENT_MS)
    assert judge(scheduler, dispatch) is SilenceVerdict.REPLACE
    scheduler.apply_bundle(Bundle(3, 1 << 53))
    if is_added_again == "before":
        scheduler.apply_bundle(bundle._replace(version=4))
    assert scheduler.resume_attempt("r", dispatch.attempt_id)
    scheduler.apply_bundle(bundle._replace(version=5))
    known = scheduler.upstreams.get(dispatch.upstreams[-1])
    assert known is not None
    assert known.n_in_flight == 1
    assert scheduler.end_attempt(AttemptEnd(dispatch.attempt_id)) is None
    assert known.n_in_flight == 0
    assert scheduler.placer.n_double_releases == 0
