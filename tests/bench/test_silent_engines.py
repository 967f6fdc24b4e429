"""Sound engines that are silent for a second, and what callers receive meanwhile."""

from __future__ import annotations

from functools import cache

import pytest

from quetzaldeck.bench import (
    MODEL,
    Call,
    Fault,
    FaultKind,
    Outcome,
    RunResult,
    run_scenario,
)
from quetzaldeck.bench.entry_loads import BEGIN_MS, END_MS, FLEETS
from quetzaldeck.bench.entry_mixture import EntryMixture
from quetzaldeck.bench.scenario import Scenario
from quetzaldeck.decisions.policies import ENTRY_POLICIES
from quetzaldeck.outcomes import Reason

FLEET = FLEETS[0]
SILENCE_MS = 1_200.0
DURATION_MS = 30_000.0
N_ENGINES = FLEET.shape.n_engines


def build_pauses(n_paused: int) -> tuple[Fault, ...]:
    """:returns: silences of ``n_paused`` engines, each time of the next ones"""
    n_rounds = int((END_MS - BEGIN_MS) / (2 * SILENCE_MS))
    return tuple(
        Fault(
            FaultKind.PAUSE,
            BEGIN_MS + 2 * SILENCE_MS * number,
            f"engine-{(number * n_paused + index) % N_ENGINES}",
            BEGIN_MS + 2 * SILENCE_MS * number + SILENCE_MS,
        )
        for number in range(n_rounds)
        for index in range(n_paused)
    )


@cache
def run_pauses(n_paused: int) -> RunResult:
    calls = EntryMixture(DURATION_MS, FLEET.scale, random_state=1).draw_calls()
    faults = build_pauses(n_paused)
    scenario = Scenario("pauses", calls, FLEET.shape, faults, random_state=1)
    return run_scenario(scenario, ENTRY_POLICIES)


def n_runs_again(result: RunResult) -> int:
    return sum(max(0, item.n_executions - 1) for item in result.calls)


@pytest.mark.parametrize("n_paused", [N_ENGINES // 5, N_ENGINES])
def test_nothing_is_lost_while_engines_are_silent_for_a_second(n_paused: int) -> None:
    """Guards against answers that end because their engine paused.

    Nor may callers of silent engines be sent elsewhere one after the other, which
    repeats their prefill on the others.
    """
    result = run_pauses(n_paused)
    lost = [
        item
        for item in result.calls
        if item.outcome is not Outcome.ANSWERED
        and item.reason != Reason.DEADLINE_EXCEEDED.value
    ]
    assert lost == []
    assert not any(item.is_doubled or item.is_false_refusal for item in result.calls)
    assert result.n_kv_tokens_left == 0
    assert n_runs_again(result) < 0.2 * len(result.calls)
    n_in_time = sum(item.is_in_time for item in result.calls)
    assert n_in_time > 0.7 * len(result.calls)


def test_silent_engine_goes_on_while_the_one_that_replaces_it_hangs() -> None:
    """An answer must not hang on what replaces its engine if that engine goes on."""
    shape = FLEET.shape._replace(n_vms=1, n_engines=2)
    call = Call(
        "c0",
        0.0,
        "gym",
        model=MODEL,
        n_prompt_tokens=2_000,
        max_output_tokens=2_000,
        deadline_ms=10_000.0,
        target_ms=300.0,
        max_gap_ms=250.0,
    )
    calm = run_scenario(Scenario("calm", (call,), shape), ENTRY_POLICIES).calls[0]
    first = calm.upstreams[0]
    (second,) = {"engine-0", "engine-1"} - {first}
    silent_from_ms = (calm.ttft_ms or 0.0) + 500.0
    faults = (
        Fault(FaultKind.PAUSE, silent_from_ms, first, silent_from_ms + 1_500.0),
        Fault(FaultKind.PAUSE, 1.0, second),
    )
    scenario = Scenario("silent", (call,), shape, faults)
    result = run_scenario(scenario, ENTRY_POLICIES)
    item = result.calls[0]
    assert item.upstreams == (first, second)
    assert item.outcome is Outcome.ANSWERED
    assert item.longest_gap_ms < 1_600.0
    assert result.n_kv_tokens_left == 0
