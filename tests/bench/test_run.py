"""Tests of the simulation driver: callers receive what real VMs would give them."""

from __future__ import annotations

import pytest

from quetzaldeck.bench import (
    MODEL,
    SERVICE,
    Call,
    CallResult,
    Fault,
    FaultKind,
    FleetShape,
    Outcome,
    Scenario,
    run_scenario,
)
from quetzaldeck.decisions.policies import (
    BASELINE_LEAST_REPORTED,
    BASELINE_ROUND_ROBIN,
    Policies,
)

SMALL = FleetShape(n_vms=3, n_engines=3, n_services=1)


def make_calls(n_calls: int = 30, interval_ms: float = 50.0) -> tuple[Call, ...]:
    return tuple(
        Call(
            f"c{index}",
            index * interval_ms,
            "gym",
            model=MODEL,
            n_prompt_tokens=2_000,
            max_output_tokens=20,
        )
        for index in range(n_calls)
    )


def collect_outcomes(calls: tuple[CallResult, ...]) -> set[Outcome]:
    return {result.outcome for result in calls}


@pytest.mark.parametrize("policies", [BASELINE_ROUND_ROBIN, BASELINE_LEAST_REPORTED])
def test_run_scenario_answers_every_call(policies: Policies) -> None:
    result = run_scenario(Scenario("plain", make_calls(), SMALL), policies)
    assert collect_outcomes(result.calls) == {Outcome.ANSWERED}
    assert all(call.n_executions == 1 for call in result.calls)
    assert result == run_scenario(Scenario("plain", make_calls(), SMALL), policies)


def test_run_scenario_takes_the_time_of_the_engine_model() -> None:
    """A prompt of 2,000 tokens takes one step of 8 ms and about 100 ms of prefill."""
    shape = SMALL._replace(latency_ms=0.0)
    call = run_scenario(Scenario("one", make_calls(1), shape)).calls[0]
    assert call.ttft_ms == pytest.approx(8 + 100 * (1 + 1_000 / 200_000))


def test_run_scenario_retries_attempts_broken_by_a_crash() -> None:
    faults = (Fault(FaultKind.CRASH, 400.0, "engine-0", until_ms=900.0),)
    result = run_scenario(Scenario("crash", make_calls(), SMALL, faults))
    assert collect_outcomes(result.calls) == {Outcome.ANSWERED}
    assert max(call.n_executions for call in result.calls) == 2


def test_run_scenario_detects_silent_connections_at_the_idle_timeout() -> None:
    faults = (Fault(FaultKind.SILENT, 250.0, "engine-0"),)
    result = run_scenario(Scenario("silent", make_calls(), SMALL, faults))
    assert collect_outcomes(result.calls) == {Outcome.ANSWERED}
    slowest = max(call.total_ms or 0.0 for call in result.calls)
    assert SMALL.idle_timeout_ms < slowest < SMALL.idle_timeout_ms + 1_000


def test_run_scenario_never_repeats_non_repeatable_calls() -> None:
    calls = tuple(
        Call(f"s{i}", i * 5.0, "desk", service=SERVICE, is_repeatable=False)
        for i in range(50)
    )
    faults = (Fault(FaultKind.CRASH, 102.0, "service-0", until_ms=120.0),)
    result = run_scenario(Scenario("desk", calls, SMALL, faults))
    assert not any(call.is_doubled or call.is_false_refusal for call in result.calls)
    assert Outcome.LOST not in collect_outcomes(result.calls)
    assert Outcome.FAILED in collect_outcomes(result.calls)


def test_run_scenario_resends_calls_of_a_lost_zone() -> None:
    """A zone is lost: its VM, engine and service replica go down at the same time.

    The connections of that VM's callers break; they resend and other VMs serve them.
    No caller may be left waiting on a dead connection.
    """
    faults = (Fault(FaultKind.ZONE_LOSS, 700.0, "zone-b"),)
    calls = tuple(call._replace(max_resends=1) for call in make_calls())
    result = run_scenario(Scenario("zone", calls, SMALL, faults))
    assert collect_outcomes(result.calls) == {Outcome.ANSWERED}
    assert max(call.n_submissions for call in result.calls) == 2
