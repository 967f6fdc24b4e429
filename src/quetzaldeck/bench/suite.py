"""The runs of ``make bench``."""

from __future__ import annotations

from typing import NamedTuple

from quetzaldeck.bench.decision_cost import DecisionCost, measure_decision_costs
from quetzaldeck.bench.fault import Fault, FaultKind
from quetzaldeck.bench.prediction import PredictionCheck, check_predictions
from quetzaldeck.bench.recovery import Recovery, measure_recovery
from quetzaldeck.bench.run import run_scenario
from quetzaldeck.bench.scenario import ZONES, FleetShape, Scenario
from quetzaldeck.bench.summary import Summary, summarise
from quetzaldeck.bench.workload import Mixture
from quetzaldeck.decisions.policies import (
    BASELINE_LEAST_REPORTED,
    BASELINE_ROUND_ROBIN,
    Policies,
)

LOADS = (0.8, 1.0, 2.0)
DURATION_MS = 300_000.0
N_SEEDS = 3
MS_PER_SECOND = 1_000.0
_BASELINES = {
    "fifo + round_robin": BASELINE_ROUND_ROBIN,
    "fifo + least_reported": BASELINE_LEAST_REPORTED,
}
_ABLATIONS = {
    "default": Policies(),
    "default without lanes": Policies(head_of_line="none"),
    "default without fair queue": Policies(queue="fifo"),
    "default without few_choices": Policies(placement="least_reported"),
    "default without predicted_wait": Policies(admission="bounds"),
}
_PROFILES = ("short_requests", "first_token")
_PROBED = Policies(admission="predicted_wait_probed")


class LoadEntry(NamedTuple):
    """Results of one policy under one load.

    :param load: prefill work that arrives, as a multiple of the fleet's capacity
    """

    policy: str
    profile: str
    load: float
    n_seeds: int
    summary: Summary


class RecoveryEntry(NamedTuple):
    """Recovery from one disturbance under one policy."""

    disturbance: str
    policy: str
    recovery: Recovery


class BenchReport(NamedTuple):
    """All results of ``make bench``."""

    loads: tuple[LoadEntry, ...]
    ablations: tuple[LoadEntry, ...]
    recoveries: tuple[RecoveryEntry, ...]
    predictions: dict[str, PredictionCheck]
    costs: tuple[DecisionCost, ...]


def run_suite(
    *, duration_ms: float = DURATION_MS, n_seeds: int = N_SEEDS
) -> BenchReport:
    """:returns: the report of all runs

    :param n_seeds: number of seeds at the lowest load; other loads run with one
    """
    loads = []
    for load in LOADS:
        seeds = range(1, n_seeds + 1 if load == LOADS[0] else 2)
        for name, policies in _BASELINES.items():
            loads.append(_run_load(name, "", policies, load, seeds, duration_ms))
        for profile in _PROFILES:
            entry = _run_load("default", profile, Policies(), load, seeds, duration_ms)
            loads.append(entry)
    return BenchReport(
        tuple(loads),
        tuple(
            _run_load(name, _PROFILES[0], policies, load, range(1, 2), duration_ms)
            for load in (LOADS[0], LOADS[-1])
            for name, policies in _ABLATIONS.items()
        ),
        _run_recoveries(),
        {profile: _run_predictions(profile, duration_ms) for profile in _PROFILES},
        measure_decision_costs(),
    )


def mixture_at(
    load: float, *, duration_ms: float, random_state: int = 1, max_resends: int = 0
) -> Mixture:
    """:returns: the mixture at ``load`` times the prefill capacity of all engines"""
    shape = FleetShape()
    mixture = Mixture(
        1.0, duration_ms, random_state=random_state, max_resends=max_resends
    )
    work_ms = mixture.mean_prefill_ms(
        shape.engine.prefill_tokens_per_s, shape.engine.attention_tokens
    )
    rate = load * shape.n_engines * MS_PER_SECOND / work_ms
    return mixture._replace(calls_per_second=rate)


def _run_load(
    name: str,
    profile: str,
    policies: Policies,
    load: float,
    seeds: range,
    duration_ms: float,
) -> LoadEntry:
    results = [
        run_scenario(
            Scenario(
                f"load {load}",
                mixture_at(
                    load, duration_ms=duration_ms, random_state=seed
                ).draw_calls(),
                profile=profile or _PROFILES[0],
                random_state=seed,
            ),
            policies,
        )
        for seed in seeds
    ]
    return LoadEntry(name, profile, load, len(seeds), summarise(*results))


def _run_recoveries() -> tuple[RecoveryEntry, ...]:
    begin_ms, end_ms = 60_000.0, 90_000.0
    mixture = mixture_at(0.8, duration_ms=240_000.0, max_resends=3)
    burst = mixture._replace(
        calls_per_second=1.5 * mixture.calls_per_second,
        start_ms=begin_ms,
        duration_ms=end_ms - begin_ms,
        plain_per_second=0.0,
        random_state=2,
        prefix="b",
    )
    calls = mixture.draw_calls()
    part = mixture._replace(calls_per_second=0.6 * mixture.calls_per_second)
    zone = Fault(FaultKind.ZONE_LOSS, begin_ms, ZONES[1], until_ms=end_ms)
    wave = tuple(
        Fault(
            FaultKind.CRASH,
            begin_ms + index * 2_000.0,
            f"engine-{index}",
            until_ms=begin_ms + index * 2_000.0 + 4_000.0,
        )
        for index in range(FleetShape().n_engines)
    )
    scenarios = (
        Scenario("2x load for 30 s at 80 %", calls + burst.draw_calls()),
        Scenario("zone lost for 30 s at 48 %", part.draw_calls(), faults=(zone,)),
        Scenario("each engine restarts, one each 2 s, at 80 %", calls, faults=wave),
    )
    return tuple(
        RecoveryEntry(
            scenario.name,
            name,
            measure_recovery(
                run_scenario(scenario, policies), begin_ms=begin_ms, end_ms=end_ms
            ),
        )
        for scenario in scenarios
        for name, policies in {
            "fifo + least_reported": BASELINE_LEAST_REPORTED,
            "default": Policies(),
        }.items()
    )


def _run_predictions(profile: str, duration_ms: float) -> PredictionCheck:
    mixture = mixture_at(2.0, duration_ms=duration_ms, max_resends=3)
    scenario = Scenario("predictions", mixture.draw_calls(), profile=profile)
    return check_predictions(run_scenario(scenario, _PROBED))


__all__ = ("BenchReport", "LoadEntry", "RecoveryEntry", "mixture_at", "run_suite")
