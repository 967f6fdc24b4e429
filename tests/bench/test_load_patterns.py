"""Load patterns under the decision modules; tests judge what callers receive."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

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
    RunResult,
    Scenario,
    run_scenario,
)
from quetzaldeck.bench.recovery import measure_recovery
from quetzaldeck.bench.summary import summarise
from quetzaldeck.bench.tails import compute_tails
from quetzaldeck.bench.workload import Band, Mixture
from quetzaldeck.decisions.policies import (
    BASELINE_LEAST_REPORTED,
    BASELINE_ROUND_ROBIN,
    Policies,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

SMALL = FleetShape(n_vms=3, n_engines=4, n_services=1)
BASELINES = (BASELINE_ROUND_ROBIN, BASELINE_LEAST_REPORTED)
SHORT_BANDS = (Band(1.0, 2_000, 8_000, 1.0, (8, 16), 10_000.0),)


def make_calls(
    prefix: str, n_calls: int, interval_ms: float, n_tokens: int, **fields: object
) -> tuple[Call, ...]:
    call = Call("", 0.0, "gym", model=MODEL, max_output_tokens=10)
    call = call._replace(n_prompt_tokens=n_tokens, **fields)  # type: ignore[arg-type]
    return tuple(
        call._replace(call_id=f"{prefix}{index}", at_ms=index * interval_ms)
        for index in range(n_calls)
    )


def select(result: RunResult, prefix: str) -> list[CallResult]:
    return [item for item in result.calls if item.call.call_id.startswith(prefix)]


def ttft_p95(items: Iterable[CallResult]) -> float:
    return compute_tails(
        item.call.deadline_ms if item.ttft_ms is None else item.ttft_ms
        for item in items
    ).p95


def assert_no_violations(result: RunResult) -> None:
    """Check that no call is lost or run twice and that every ``ran: no`` is true."""
    assert not any(item.outcome is Outcome.LOST for item in result.calls)
    assert not any(item.is_doubled for item in result.calls)
    assert not any(item.is_false_refusal for item in result.calls)


def test_burst_is_spread_over_engines_and_answered() -> None:
    """200 calls arrive within 0.2 s, before the first load report."""
    calls = make_calls("b", 200, 1.0, 2_000)
    result = run_scenario(Scenario("burst", calls, SMALL))
    assert {item.outcome for item in result.calls} == {Outcome.ANSWERED}
    work_ms = 200 * 2_000 / 20.0 / SMALL.n_engines
    assert ttft_p95(result.calls) < 1.6 * work_ms
    by_engine = Counter(item.upstreams[0] for item in result.calls)
    assert max(by_engine.values()) < 2 * min(by_engine.values())
    assert_no_violations(result)


def test_hot_customer_does_not_delay_others() -> None:
    """One customer's batch job sends far more than the fleet's capacity.

    In a FIFO queue the interactive calls of other customers wait behind the batch.
    """
    hot = make_calls("h", 1_500, 10.0, 8_000, customer="hot", deadline_ms=40_000.0)
    calm = make_calls("c", 60, 250.0, 2_000, customer="calm", deadline_ms=40_000.0)
    scenario = Scenario("hot customer", hot + calm, SMALL)
    result = run_scenario(scenario)
    waits = [ttft_p95(select(run_scenario(scenario, b), "c")) for b in BASELINES]
    calm_results = select(result, "c")
    assert all(item.outcome is Outcome.ANSWERED for item in calm_results)
    assert ttft_p95(calm_results) < 2_500
    assert min(waits) > 5 * ttft_p95(calm_results)
    assert_no_violations(result)


def test_slow_upstream_does_not_set_the_tail_latency() -> None:
    """One of four engines becomes ten times slower but still answers."""
    calls = make_calls("s", 400, 40.0, 2_000)
    faults = (Fault(FaultKind.SLOW, 1_000.0, "engine-1", factor=10.0),)
    scenario = Scenario("slow", calls, SMALL, faults)
    result = run_scenario(scenario)
    assert {item.outcome for item in result.calls} == {Outcome.ANSWERED}
    baseline = run_scenario(scenario, BASELINE_ROUND_ROBIN)
    assert ttft_p95(baseline.calls) > 3 * ttft_p95(result.calls)


@pytest.mark.parametrize("profile", ["short_requests", "first_token"])
def test_long_prompts_do_not_delay_short_ones(profile: str) -> None:
    """Long prompts arrive among many short ones.

    In a FIFO queue a short prompt waits for the whole prefill of a long one on the
    same engine (head-of-line blocking). Nor may the long prompts starve.
    """
    short = make_calls("s", 300, 50.0, 1_500, deadline_ms=20_000.0)
    long = make_calls("l", 3, 4_000.0, 150_000, deadline_ms=120_000.0)
    scenario = Scenario("long among short", short + long, SMALL, profile=profile)
    result = run_scenario(scenario)
    assert {item.outcome for item in result.calls} == {Outcome.ANSWERED}
    short_wait = ttft_p95(select(result, "s"))
    long_wait = ttft_p95(select(result, "l"))
    baselines = [run_scenario(scenario, policies) for policies in BASELINES]
    assert min(ttft_p95(select(b, "s")) for b in baselines) > 5 * short_wait
    assert long_wait < 1.5 * min(ttft_p95(select(b, "l")) for b in baselines)
    assert_no_violations(result)


def test_long_prompts_do_not_starve_when_short_ones_fill_the_fleet() -> None:
    """Short prompts alone exceed the fleet's capacity for a whole minute.

    With strict shortest-first scheduling a long prompt would never start.
    """
    short = make_calls("s", 3_000, 20.0, 2_500, deadline_ms=4_000.0)
    long = make_calls("l", 4, 10_000.0, 100_000, deadline_ms=90_000.0)
    result = run_scenario(Scenario("full", short + long, SMALL))
    assert all(item.outcome is Outcome.ANSWERED for item in select(result, "l"))
    answered = [i for i in select(result, "s") if i.outcome is Outcome.ANSWERED]
    assert len(answered) > 1_300
    assert_no_violations(result)


def test_plain_calls_are_not_blocked_by_a_full_model_queue() -> None:
    """All engines are full of long prompts; plain calls do not need an engine."""
    long = make_calls("l", 40, 10.0, 250_000, deadline_ms=60_000.0)
    bookings = make_calls("b", 50, 100.0, 1, model="", service=SERVICE, priority=0)
    result = run_scenario(Scenario("stuck", long + bookings, SMALL))
    waits = [item.ttft_ms for item in select(result, "b")]
    assert all(wait is not None and wait < 50 for wait in waits)


def run_mixture(load: float, policies: Policies | None = None) -> RunResult:
    """:returns: a run of short prompts at ``load`` times the fleet's capacity"""
    rate = load * 4 * 20_000 / 4_400
    mixture = Mixture(rate, 40_000.0, plain_per_second=2.0, bands=SHORT_BANDS)
    return run_scenario(Scenario("overload", mixture.draw_calls(), SMALL), policies)


def test_sustained_overload_keeps_goodput_and_refuses_immediately() -> None:
    """The load is twice the fleet's capacity throughout the run.

    With a queue but no admission control every answer is late: engines work on
    requests that miss their deadline, and callers wait until then to learn of it.
    """
    full = summarise(run_mixture(1.0))
    result = run_mixture(2.0)
    over = summarise(result)
    assert over.goodput_per_s >= 0.9 * full.goodput_per_s
    assert_no_violations(result)
    refused = [item for item in result.calls if item.outcome is Outcome.REFUSED]
    assert len(refused) > 100
    at_once = [item for item in refused if item.waited_ms == 0.0]
    assert len(at_once) > 0.6 * len(refused)
    assert all(item.retry_after_ms is not None for item in refused)
    baseline = summarise(run_mixture(2.0, BASELINE_LEAST_REPORTED))
    assert over.goodput_per_s > 1.5 * baseline.goodput_per_s


def test_zone_loss_recovers_without_a_retry_storm() -> None:
    """A third of the VMs and engines is lost at once and returns after 10 s.

    The callers of the lost VMs resend together, and all broken attempts are retried
    on the remaining upstreams.
    """
    shape = FleetShape(n_vms=3, n_engines=6, n_services=3)
    mixture = Mixture(
        0.6 * 6 * 20_000 / 4_400,
        60_000.0,
        plain_per_second=10.0,
        bands=SHORT_BANDS,
        max_resends=3,
    )
    fault = Fault(FaultKind.ZONE_LOSS, 20_000.0, "zone-b", until_ms=30_000.0)
    scenario = Scenario("zone", mixture.draw_calls(), shape, faults=(fault,))
    result = run_scenario(scenario)
    recovery = measure_recovery(result, begin_ms=20_000.0, end_ms=30_000.0)
    assert recovery.answered_during > 0.9
    assert recovery.recovered_ms is not None
    assert recovery.recovered_ms <= 10_000.0
    assert recovery.peak_per_s < 1.5 * recovery.usual_per_s
    assert_no_violations(result)
