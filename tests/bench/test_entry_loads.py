"""Load patterns of entry VMs on engines that can prefill a prompt in parts.

The tests judge what callers receive.
"""

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

FOURTEEN_ENGINES = FLEETS[0]
PATTERNS = {scenario.name: scenario for scenario in list_scenarios(FOURTEEN_ENGINES, 1)}


@cache
def run_pattern(pattern: str, policy: str) -> EntryRun:
    result = run_scenario(PATTERNS[pattern], POLICIES[policy])
    return summarise_entry(FOURTEEN_ENGINES.name, policy, result)


def share_in_time(run: EntryRun, kind: str) -> float:
    return run.kinds[kind].n_in_time / run.kinds[kind].n


def assert_no_violations(run: EntryRun) -> None:
    """Check that no call is lost, run twice or falsely refused, and no memory leaks."""
    assert run.n_violations == 0
    assert run.n_kv_tokens_left == 0


def test_mixture_follows_configured_rates_and_lengths() -> None:
    calls = EntryMixture(200_000.0).draw_calls()
    for kind in KINDS:
        own = [call for call in calls if call.call_id.startswith(f"{kind.name}/")]
        assert len(own) / 200.0 == pytest.approx(kind.per_second, rel=0.2)
        if kind.n_tokens:
            mean = sum(call.n_prompt_tokens for call in own) / len(own)
            assert mean == pytest.approx(kind.n_tokens, rel=0.2)


def test_burst_of_long_prompts_does_not_delay_short_prompts() -> None:
    """The longest prompts arrive at nearly three times their usual rate for 10 s.

    Each prompt prefilled whole on one engine stops the answers there for about a
    second; prefilled in parts on all engines it stops the answers on all of them.
    """
    run = run_pattern("long prompts in a burst", "entry")
    assert_no_violations(run)
    assert run.n_caller_timeouts == 0
    assert share_in_time(run, "plan") > 0.95
    for baseline in ("least busy, whole prompts", "least busy, parts on all"):
        other = run_pattern("long prompts in a burst", baseline)
        assert share_in_time(other, "plan") < share_in_time(run, "plan") - 0.2


def test_burst_of_short_prompts_is_answered_in_time() -> None:
    run = run_pattern("short prompts in a burst", "entry")
    assert_no_violations(run)
    assert share_in_time(run, "plan") > 0.94
    assert share_in_time(run, "history") > 0.9
    assert share_in_time(
        run_pattern("short prompts in a burst", "least busy, parts on all"), "plan"
    ) < (share_in_time(run, "plan") - 0.1)


def test_customer_with_half_of_all_calls_does_not_delay_others() -> None:
    run = run_pattern("one customer sends half of all", "entry")
    assert_no_violations(run)
    assert run.share_in_time > 0.97


def test_disconnected_callers_hold_no_memory() -> None:
    """Three in ten callers disconnect before their answer can be complete."""
    run = run_pattern("callers leave", "entry")
    assert_no_violations(run)
    assert run.share_in_time > 0.97


def test_most_calls_survive_crash_of_a_third_of_the_engines() -> None:
    """A third of the fourteen engines crash at the same time and restart after 10 s."""
    run = run_pattern("a third of the engines crash together", "entry")
    assert_no_violations(run)
    assert share_in_time(run, "plan") > 0.88
    other = run_pattern(
        "a third of the engines crash together", "least busy, parts on all"
    )
    assert share_in_time(other, "plan") < share_in_time(run, "plan") - 0.15


@pytest.mark.parametrize("fleet", FLEETS[2:], ids=lambda fleet: fleet.name)
def test_decisions_follow_the_configured_engine_figures(fleet: EntryFleet) -> None:
    """Engines with a speed, memory and slots unlike those of real deployments."""
    scenario = list_scenarios(fleet, 1)[0]
    run = summarise_entry("other", "entry", run_scenario(scenario, ENTRY_POLICIES))
    assert_no_violations(run)
    assert share_in_time(run, "plan") > 0.92
    assert run.share_in_time > 0.97


def test_prompt_larger_than_one_engine_is_answered_and_releases_memory() -> None:
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
    result = run_scenario(
        Scenario("huge", (call,), FOURTEEN_ENGINES.shape), ENTRY_POLICIES
    )
    (item,) = result.calls
    assert item.outcome is Outcome.ANSWERED
    assert item.ttft_ms is not None
    figures = FOURTEEN_ENGINES.shape.figures
    assert figures is not None
    assert item.ttft_ms < figures.prefill_ms(500_000) / 3
    assert result.n_kv_tokens_left == 0


def test_calls_survive_crash_of_engines_that_prefill_parts() -> None:
    """Engines crash while they prefill parts: the calls are retried on others."""
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
    scenario = Scenario("parts lost", calls, FOURTEEN_ENGINES.shape, faults)
    result = run_scenario(scenario, ENTRY_POLICIES)
    answered = [i for i in result.calls if i.outcome is Outcome.ANSWERED]
    assert len(answered) >= 28
    assert not any(item.is_false_refusal for item in result.calls)
    assert result.n_kv_tokens_left == 0


def test_table_shows_each_run() -> None:
    runs = [run_pattern("steady", name) for name in POLICIES]
    page = render_entry_table(runs)
    assert all(f"| steady | {name} |" in page for name in POLICIES)
    assert f"{BEGIN_MS / 1_000:.0f} to 22 of 40" in page
