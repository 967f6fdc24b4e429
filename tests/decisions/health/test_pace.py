"""Engines that report a slow pace are avoided.

Failure guarded against: fourteen engines prefill a long prompt in parts. Thirteen take
a tenth of a second, but one runs at a fifth of its speed and takes half a second, so
the first token is late. The next long prompt is placed on the same engines, since the
latency does not show which of them was slow.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from tests.support.builders import make_entry_scheduler, make_request, poll_dispatch

from quetzaldeck.bench import run_scenario
from quetzaldeck.bench.entry_loads import FLEETS, list_scenarios
from quetzaldeck.bench.entry_suite import summarise_entry
from quetzaldeck.decisions.health.pace import MAX_PACE_AGE_MS, SLOW_PACE, Pace
from quetzaldeck.decisions.policies import ENTRY_POLICIES

if TYPE_CHECKING:
    from quetzaldeck.clock import ManualClock
    from quetzaldeck.decisions import Dispatch, Scheduler

NAMES = tuple(f"engine-{n:02}" for n in range(14))
SHORT = 3_000
LONG = 60_000
HUGE = 200_000


def send(scheduler: Scheduler, clock: ManualClock, n_tokens: int) -> Dispatch:
    request = make_request(
        n_prompt_tokens=n_tokens, max_output_tokens=700, now_ms=clock.now_ms()
    )
    assert scheduler.submit(request) is None
    return poll_dispatch(scheduler)


def engines_of(dispatch: Dispatch) -> set[str]:
    return {*dispatch.upstreams, *dispatch.helpers}


@pytest.mark.parametrize("n_tokens", [SHORT, LONG, HUGE])
def test_slow_engines_neither_answer_nor_help(
    clock: ManualClock, n_tokens: int
) -> None:
    scheduler = make_entry_scheduler(clock, NAMES)
    used = engines_of(send(scheduler, clock, n_tokens))
    slow = sorted(used)[:4]
    scheduler = make_entry_scheduler(clock, NAMES)
    scheduler.fleet.observe_paces([(name, 5.0) for name in slow])
    assert not engines_of(send(scheduler, clock, n_tokens)) & set(slow)


def test_pace_expires_without_a_new_report(clock: ManualClock) -> None:
    scheduler = make_entry_scheduler(clock, NAMES)
    scheduler.fleet.observe_paces([(NAMES[0], 5.0)])
    assert set(scheduler.upstreams.find_slow(clock.now_ms())) == {NAMES[0]}
    clock.advance(MAX_PACE_AGE_MS + 1.0)
    assert not scheduler.upstreams.find_slow(clock.now_ms())


def test_engine_back_at_normal_pace_is_used_at_once() -> None:
    pace = Pace()
    pace.note(SLOW_PACE, 0.0)
    assert pace.is_slow(10.0)
    pace.note(1.0, 20.0)
    assert not pace.is_slow(20.0)


def test_only_the_slowest_are_avoided_if_all_engines_are_slow(
    clock: ManualClock,
) -> None:
    """Guards against a load that slows all engines and leaves a VM with none to use."""
    scheduler = make_entry_scheduler(clock, NAMES)
    paces = [(name, 2.0 + number) for number, name in enumerate(NAMES)]
    scheduler.fleet.observe_paces(paces)
    used = engines_of(send(scheduler, clock, LONG))
    assert used
    assert not used & set(NAMES[-4:])


def test_pace_of_an_unknown_engine_is_ignored(clock: ManualClock) -> None:
    scheduler = make_entry_scheduler(clock, NAMES)
    scheduler.fleet.observe_paces([("gone", 5.0)])
    assert not scheduler.upstreams.find_slow(clock.now_ms())


def test_slow_engine_delays_no_long_prompt() -> None:
    """Guards against long prompts that are late because one of 14 engines is slow.

    Runs the bench's load of 34 long prompts with one engine five times slower. Without
    knowledge of the paces, five of them were late.
    """
    fleet = FLEETS[0]
    scenarios = {scenario.name: scenario for scenario in list_scenarios(fleet, 1)}
    result = run_scenario(scenarios["a slow engine"], ENTRY_POLICIES)
    run = summarise_entry(fleet.name, "entry", result)
    assert run.kinds["history"].n_in_time == run.kinds["history"].n == 34
    assert run.kinds["plan"].n_in_time >= 0.96 * run.kinds["plan"].n
    assert run.n_violations == 0
