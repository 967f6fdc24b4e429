"""Load patterns of entry VMs on engines that read in parts, by what callers receive."""

from __future__ import annotations

from functools import cache

import pytest

from quetzaldeck.bench import MODEL, Call, Fault, FaultKind, Outcome, run_scenario
from quetzaldeck.bench.entry_loads import BEGIN_MS, FLEETS, EntryFleet, list_scenarios
from quetzaldeck.bench.entry_mixture import KINDS, EntryMixture
from quetzaldeck.bench.entry_suite import POLICIES, EntryRun, summarise_entry
from quetzaldeck.bench.entry_table import render_entry_table
from quetzaldeck.bench.scenario import Scenario
from quetzaldeck.decisions.policies import ENTRY_POLICIES

FOURTEEN = FLEETS[0]
PATTERNS = {scenario.name: scenario for scenario in list_scenarios(FOURTEEN, 1)}


@cache
def play(pattern: str, policy: str) -> EntryRun:
    result = run_scenario(PATTERNS[pattern], POLICIES[policy])
    return summarise_entry(FOURTEEN.name, policy, result)


def share(run: EntryRun, kind: str) -> float:
    return run.kinds[kind].n_in_time / run.kinds[kind].n


def assert_sound(run: EntryRun) -> None:
    """Nothing is lost, doubled, refused falsely or left at an engine."""
    assert run.n_dishonest == 0
    assert run.n_kv_tokens_left == 0


def test_mixture_sends_what_it_states() -> None:
    calls = EntryMixture(200_000.0).draw_calls()
    for kind in KINDS:
        own = [call for call in calls if call.call_id.startswith(f"{kind.name}/")]
        assert len(own) / 200.0 == pytest.approx(kind.per_second, rel=0.2)
        if kind.n_tokens:
            mean = sum(call.n_prompt_tokens for call in own) / len(own)
            assert mean == pytest.approx(kind.n_tokens, rel=0.2)


def test_long_prompts_in_a_burst_leave_short_answers_in_time() -> None:
    """Season histories come at nearly three times their usual rate for ten seconds.

    Whole on one engine each stops the answers there for a second; in parts on all
    engines they stop all answers together.
    """
    run = play("long prompts in a burst", "entry")
    assert_sound(run)
    assert run.n_silent == 0
    assert share(run, "plan") > 0.95
    for baseline in ("least busy, whole prompts", "least busy, parts on all"):
        other = play("long prompts in a burst", baseline)
        assert share(other, "plan") < share(run, "plan") - 0.2


def test_short_prompts_in_a_burst_are_answered_in_time() -> None:
    run = play("short prompts in a burst", "entry")
    assert_sound(run)
    assert share(run, "plan") > 0.94
    assert share(run, "history") > 0.9
    assert share(
        play("short prompts in a burst", "least busy, parts on all"), "plan"
    ) < (share(run, "plan") - 0.1)


def test_customer_that_sends_half_of_all_leaves_others_in_time() -> None:
    run = play("one customer sends half of all", "entry")
    assert_sound(run)
    assert run.share_in_time > 0.97


def test_callers_that_leave_hold_nothing() -> None:
    """Three callers in ten leave before they can have an answer."""
    run = play("callers leave", "entry")
    assert_sound(run)
    assert run.share_in_time > 0.97


def test_crash_of_a_third_of_the_engines_is_borne() -> None:
    """Five of fourteen engines die in one moment and come back after ten seconds."""
    run = play("a third of the engines crash together", "entry")
    assert_sound(run)
    assert share(run, "plan") > 0.88
    other = play("a third of the engines crash together", "least busy, parts on all")
    assert share(other, "plan") < share(run, "plan") - 0.15


@pytest.mark.parametrize("fleet", FLEETS[2:], ids=lambda fleet: fleet.name)
def test_other_engines_are_used_by_their_own_figures(fleet: EntryFleet) -> None:
    """Engines of other speed, memory and slots than those that run today."""
    scenario = list_scenarios(fleet, 1)[0]
    run = summarise_entry("other", "entry", run_scenario(scenario, ENTRY_POLICIES))
    assert_sound(run)
    assert share(run, "plan") > 0.92
    assert run.share_in_time > 0.97


def test_prompt_above_one_engines_memory_is_answered_and_leaves_no_memory() -> None:
    call = Call(
        "huge",
        0.0,
        "gym",
        model=MODEL,
        n_prompt_tokens=500_000,
        max_output_tokens=430,
        deadline_ms=15_000.0,
        target_ms=3_000.0,
        max_gap_ms=1_000.0,
    )
    result = run_scenario(Scenario("huge", (call,), FOURTEEN.shape), ENTRY_POLICIES)
    (item,) = result.calls
    assert item.outcome is Outcome.ANSWERED
    assert item.ttft_ms is not None
    figures = FOURTEEN.shape.figures
    assert figures is not None
    assert item.ttft_ms < figures.prefill_ms(500_000) / 3
    assert result.n_kv_tokens_left == 0


def test_loss_of_an_engine_that_reads_a_part_is_survived() -> None:
    """Engines die while they read parts: their callers get answers from others."""
    call = Call(
        "",
        0.0,
        "gym",
        model=MODEL,
        n_prompt_tokens=120_000,
        max_output_tokens=430,
        deadline_ms=15_000.0,
        target_ms=3_000.0,
        max_gap_ms=1_000.0,
    )
    calls = tuple(call._replace(call_id=f"c{n}", at_ms=n * 200.0) for n in range(30))
    faults = tuple(
        Fault(FaultKind.CRASH, 2_050.0 + n, f"engine-{n}", 5_000.0) for n in range(4)
    )
    scenario = Scenario("parts lost", calls, FOURTEEN.shape, faults)
    result = run_scenario(scenario, ENTRY_POLICIES)
    answered = [i for i in result.calls if i.outcome is Outcome.ANSWERED]
    assert len(answered) >= 28
    assert not any(item.is_false_refusal for item in result.calls)
    assert result.n_kv_tokens_left == 0


def test_table_shows_each_run() -> None:
    runs = [play("steady", name) for name in POLICIES]
    page = render_entry_table(runs)
    assert all(f"| steady | {name} |" in page for name in POLICIES)
    assert f"{BEGIN_MS / 1_000:.0f} to 22 of 40" in page
