"""One engine works at a fifth of its speed, and answers.

A coach waits for a season history that fourteen engines read in parts: thirteen are
done in a tenth of a second, the last one in half a second, and the next history is
placed on the same engines, as nothing tells which of them was slow.
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


def test_pace_that_was_not_told_again_is_forgotten(clock: ManualClock) -> None:
    scheduler = make_entry_scheduler(clock, NAMES)
    scheduler.fleet.observe_paces([(NAMES[0], 5.0)])
    assert set(scheduler.upstreams.find_slow(clock.now_ms())) == {NAMES[0]}
    clock.advance(MAX_PACE_AGE_MS + 1.0)
    assert not scheduler.upstreams.find_slow(clock.now_ms())


def test_engine_that_is_at_speed_again_gets_work_at_once() -> None:
    pace = Pace()
    pace.note(SLOW_PACE, 0.0)
    assert pace.is_slow(10.0)
    pace.note(1.0, 20.0)
    assert not pace.is_slow(20.0)


def test_engines_that_are_all_slow_are_used_and_the_slowest_avoided(
    clock: ManualClock,
) -> None:
    """A load that makes all engines slow must not leave a VM without any."""
    scheduler = make_entry_scheduler(clock, NAMES)
    paces = [(name, 2.0 + number) for number, name in enumerate(NAMES)]
    scheduler.fleet.observe_paces(paces)
    used = engines_of(send(scheduler, clock, LONG))
    assert used
    assert not used & set(NAMES[-4:])


def test_engine_that_is_unknown_is_not_noted(clock: ManualClock) -> None:
    scheduler = make_entry_scheduler(clock, NAMES)
    scheduler.fleet.observe_paces([("gone", 5.0)])
    assert not scheduler.upstreams.find_slow(clock.now_ms())


def test_slow_engine_makes_no_history_late() -> None:
    """The load of the bench: 34 histories, one engine of fourteen five times slower.

    Five of them were late when no VM knew the paces.
    """
    fleet = FLEETS[0]
    scenarios = {scenario.name: scenario for scenario in list_scenarios(fleet, 1)}
    result = run_scenario(scenarios["a slow engine"], ENTRY_POLICIES)
    run = summarise_entry(fleet.name, "entry", result)
    assert run.kinds["history"].n_in_time == run.kinds["history"].n == 34
    assert run.kinds["plan"].n_in_time >= 0.96 * run.kinds["plan"].n
    assert run.n_dishonest == 0
