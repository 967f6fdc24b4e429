"""Compares policies by which many VMs place requests from stale loads of the others.

Runs the real schedulers of 7 to 410 VMs with simulated engines. The loads of other VMs
arrive 20 to 1,000 ms late, arrivals are steady or swing every ten seconds, and engines
are equally fast or some are up to 1.6 times slower.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.bench import even_load_policies
from quetzaldeck.bench.call_result import Outcome
from quetzaldeck.bench.entry_mixture import Burst, CallKind, EntryMixture
from quetzaldeck.bench.fault import Fault, FaultKind
from quetzaldeck.bench.pass_engine import PassEngine
from quetzaldeck.bench.run import Driver
from quetzaldeck.bench.scenario import FleetShape, Scenario
from quetzaldeck.bench.tails import Tails, compute_tails
from quetzaldeck.bundle.engine_figures import EngineFigures
from quetzaldeck.decisions.policies import ENTRY_GROUPS, ENTRY_POLICIES, Policies

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzaldeck.bench.call_result import CallResult
    from quetzaldeck.bench.run_result import RunResult

FIGURES = EngineFigures(
    n_slots=6,
    kv_tokens=382_500,
    tokens_per_ms=256.0,
    pairs_ms_per_million=0.0917,
    step_ms=0.925,
    sequence_ms=0.00966,
    context_ms_per_k=0.00254,
    stride=52,
    usual_prompt_tokens=5_000,
)
SHORT = CallKind("short", 34.0, 275.0, 10_000.0, 5_000, 0.8, 24_000, 1_700, 200.0)
MEDIUM = CallKind("medium", 4.0, 1_500.0, 10_000.0, 45_000, 0.5, 110_000, 820, 600.0)
LONG = CallKind("long", 0.95, 6_000.0, 20_000.0, 300_000, 0.6, 1_000_000, 680, 1_000.0)
KINDS = (SHORT, MEDIUM, LONG)

SWING_MS = 10_000.0
"""Duration of each phase of the swinging mix of prompts."""

LONG_FACTOR = 2.6
FEW_SHORT_FACTOR = 1 / 3
MANY_SHORT_FACTOR = 2.4

MAX_IDLE_SHARE = 0.25
"""Share of its slots up to which an engine counts as idle."""

SAMPLE_MS = 10.0
"""Interval at which waiting requests are compared with the slots of the engines."""

POLICIES = {
    name: ENTRY_POLICIES._replace(head_of_line=name)
    for name in (ENTRY_POLICIES.head_of_line, *even_load_policies.NAMES)
}


class Case(NamedTuple):
    """One load on one fleet.

    :param lag_ms: age of the loads of other VMs when they arrive
    :param has_swings: whether the mix of prompts swings
    :param has_slow: whether a third of the engines is 1.3 or 1.6 times slower
    """

    n_vms: int
    lag_ms: float
    has_swings: bool = True
    has_slow: bool = False
    n_engines: int = 45
    duration_ms: float = 40_000.0
    random_state: int = 1

    def build_scenario(self) -> Scenario:
        """:returns: the calls, the fleet and its slow engines"""
        mixture = EntryMixture(
            self.duration_ms,
            self.n_engines / 45,
            KINDS,
            self._list_bursts() if self.has_swings else (),
            random_state=self.random_state,
        )
        shape = FleetShape(
            n_vms=self.n_vms,
            n_engines=self.n_engines,
            n_services=0,
            report_lag_ms=200.0,
            peer_lag_ms=self.lag_ms,
            figures=FIGURES,
            groups=ENTRY_GROUPS,
        )
        slow = tuple(
            Fault(FaultKind.SLOW, 0.0, f"engine-{index}", factor=factor)
            for index in range(0, self.n_engines, 3)
            for factor in ((1.3, 1.6)[index % 2],)
        )
        return Scenario(
            str(self),
            mixture.draw_calls(),
            shape,
            slow if self.has_slow else (),
            random_state=self.random_state,
        )

    def _list_bursts(self) -> tuple[Burst, ...]:
        bursts = []
        begin_ms = 0.0
        while begin_ms < self.duration_ms:
            middle_ms, end_ms = begin_ms + SWING_MS, begin_ms + 2 * SWING_MS
            bursts += [
                Burst(LONG.name, begin_ms, middle_ms, LONG_FACTOR),
                Burst(SHORT.name, begin_ms, middle_ms, FEW_SHORT_FACTOR),
                Burst(SHORT.name, middle_ms, end_ms, MANY_SHORT_FACTOR),
            ]
            begin_ms = end_ms
        return tuple(bursts)


class Summary(NamedTuple):
    """What the callers and the engines saw in one or several runs.

    :param first_ms: time to first token by kind of call
    :param worst_ms: the longest one by kind
    :param in_time: share of the calls answered within their limits by kind
    :param spread: most short requests placed on an engine, in multiples of the mean
    :param n_unused: engines that no short request was placed on
    :param waited_idle: share of the calls that waited while an engine was idle
    :param repeated: share of the prompt tokens that were prefilled more than once
    """

    first_ms: dict[str, Tails]
    worst_ms: dict[str, float]
    in_time: dict[str, float]
    spread: float
    n_unused: float
    waited_idle: float
    repeated: float


class WaitWatch(Driver):
    """Notes which calls wait for a slot while an engine of the service is idle."""

    def __init__(self, scenario: Scenario, policies: Policies) -> None:
        super().__init__(scenario, policies)
        self.waited: set[str] = set()

    def run(self) -> RunResult:
        """:returns: the results of all calls"""
        self._sample_waiting()
        return super().run()

    def _sample_waiting(self) -> None:
        engines = [e for e in self._list_engines() if isinstance(e, PassEngine)]
        n_idle = FIGURES.n_slots * MAX_IDLE_SHARE
        if any(engine.n_requests <= n_idle for engine in engines):
            for engine in engines:
                self.waited.update(engine.list_without_slot())
            for vm in self._vms:
                self.waited.update(vm.list_queued())
        self._events.after(SAMPLE_MS, self._sample_waiting)


def compare(
    cases: Iterable[Case], names: Iterable[str] = tuple(POLICIES)
) -> dict[str, Summary]:
    """:returns: the results of each policy, over the calls of all cases"""
    scenarios = [case.build_scenario() for case in cases]
    return {
        name: _summarise([_run(scenario, name) for scenario in scenarios])
        for name in names
    }


def render(results: dict[str, Summary]) -> str:
    """:returns: the rows of a Markdown table"""
    rows = []
    for name, result in results.items():
        cells = [name]
        for kind, tails in result.first_ms.items():
            figures = (tails.p50, tails.p95, tails.p99, result.worst_ms[kind])
            cells.append(" / ".join(f"{figure:.0f}" for figure in figures))
            cells.append(f"{result.in_time[kind]:.4f}")
        cells += [
            f"{result.spread:.2f}",
            f"{result.n_unused:.1f}",
            f"{result.waited_idle:.4f}",
            f"{result.repeated:.4f}",
        ]
        rows.append(f"| {' | '.join(cells)} |")
    return "\n".join(rows)


def _run(scenario: Scenario, name: str) -> tuple[RunResult, set[str]]:
    driver = WaitWatch(scenario, POLICIES[name])
    return driver.run(), driver.waited


def _summarise(runs: list[tuple[RunResult, set[str]]]) -> Summary:
    calls = [item for result, _ in runs for item in result.calls]
    by_kind = {
        kind.name: [c for c in calls if c.call.call_id.startswith(f"{kind.name}/")]
        for kind in KINDS
    }
    first_ms = {
        kind: [item.ttft_ms for item in items if item.ttft_ms is not None]
        for kind, items in by_kind.items()
    }
    counts = [_count_placed(result) for result, _ in runs]
    n_tokens = sum(item.call.n_prompt_tokens for item in calls)
    n_repeated = sum(
        item.call.n_prompt_tokens * max(0, item.n_executions - 1) for item in calls
    )
    return Summary(
        {kind: compute_tails(values) for kind, values in first_ms.items()},
        {kind: max(values, default=0.0) for kind, values in first_ms.items()},
        {
            kind: sum(item.is_in_time for item in items) / max(1, len(items))
            for kind, items in by_kind.items()
        },
        sum(max(n) * len(n) / max(1, sum(n)) for n in counts) / len(counts),
        sum(n.count(0) for n in counts) / len(counts),
        sum(len(waited) for _, waited in runs) / max(1, len(calls)),
        n_repeated / max(1, n_tokens),
    )


def _count_placed(result: RunResult) -> list[int]:
    """:returns: how many short requests were sent to each engine"""
    counts = {f"engine-{i}": 0 for i in range(result.scenario.shape.n_engines)}
    for item in result.calls:
        if _is_short(item) and item.outcome is not Outcome.REFUSED:
            for name in item.upstreams:
                counts[name] += 1
    return list(counts.values())


def _is_short(item: CallResult) -> bool:
    return item.call.call_id.startswith(f"{SHORT.name}/")


__all__ = ("POLICIES", "SHORT", "Case", "Summary", "compare", "render")
