"""Tests of explanations of placements: what they say, and that they change nothing."""

from __future__ import annotations

import io
import pickle
import random
import weakref
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple

import pytest

from quetzaldeck.bundle import Bundle, UpstreamSpec
from quetzaldeck.bundle.engine_figures import EngineFigures
from quetzaldeck.clock import ManualClock
from quetzaldeck.decisions import (
    AttemptFault,
    Dispatch,
    LoadReport,
    Request,
    Scheduler,
)
from quetzaldeck.decisions.explanations import Outcome, UpstreamRole, WaitCause
from quetzaldeck.decisions.health.outcomes import Outcomes
from quetzaldeck.decisions.loads.peer_load import VmLoad
from quetzaldeck.decisions.paths import PathVerdict
from quetzaldeck.decisions.placement.candidates import N_SAMPLED
from quetzaldeck.decisions.placement.exclusion import Exclusion
from quetzaldeck.decisions.policies import ENTRY_GROUPS, ENTRY_POLICIES, build_scheduler
from quetzaldeck.outcomes import Reason

if TYPE_CHECKING:
    from quetzaldeck.decisions.explanations import Explanation, UpstreamSummary

FIGURES = EngineFigures(
    8, 382_500, 256.0, pairs_ms_per_million=0.138, usual_prompt_tokens=5_000
)
N_ENGINES = 6


def make_scheduler(clock: ManualClock, n_engines: int = N_ENGINES) -> Scheduler:
    scheduler = build_scheduler(
        ENTRY_POLICIES,
        clock=clock,
        random_state=random.Random(1),
        availability_zone="a",
        groups=ENTRY_GROUPS,
    )
    upstreams = tuple(
        UpstreamSpec(
            f"e{index}",
            "",
            models=("m",),
            availability_zone="a" if index else "b",
            kv_tokens=FIGURES.kv_tokens,
            max_requests=FIGURES.n_slots,
            figures=FIGURES,
        )
        for index in range(n_engines)
    )
    scheduler.apply_bundle(Bundle(1, 1, upstreams=upstreams))
    return scheduler


def make_request(clock: ManualClock, n_prompt_tokens: int = 1_000) -> Request:
    now_ms = clock.now_ms()
    return Request(
        "r", "c", "m", n_prompt_tokens, 10, 5, now_ms, now_ms + 20_000, target_ms=2_000
    )


class StatePickler(pickle.Pickler):
    """Pickles a scheduler, weak dictionaries by what they hold."""

    def reducer_override(self, obj: object) -> Any:
        """:returns: how to pickle an object"""
        if isinstance(obj, weakref.WeakValueDictionary):
            return dict, (dict(obj),)
        return NotImplemented


def dump(scheduler: Scheduler) -> bytes:
    buffer = io.BytesIO()
    StatePickler(buffer).dump(scheduler)
    return buffer.getvalue()


def find(explanation: Explanation, name: str) -> UpstreamSummary:
    return next(item for item in explanation.candidates if item.name == name)


class ExclusionCase(NamedTuple):
    """One filter, and how the first engine comes to be excluded by it."""

    exclusion: Exclusion
    exclude: Callable[[Scheduler, ManualClock], None]


def make_leaving(scheduler: Scheduler, clock: ManualClock) -> None:
    scheduler.fleet.observe((), ("e0",))


def evacuate(scheduler: Scheduler, clock: ManualClock) -> None:
    scheduler.fleet.observe_evacuations({"b"})


def eject(scheduler: Scheduler, clock: ManualClock) -> None:
    state = scheduler.upstreams.get("e0")
    assert state is not None
    state.health.note_fault("a", AttemptFault.CONNECT, clock.now_ms())


def limit_rate(scheduler: Scheduler, clock: ManualClock) -> None:
    scheduler.fleet.observe_rate_limit("e0", 1.0)
    scheduler.fleet.note_permit_refused("e0", 700.0)


def make_cold(scheduler: Scheduler, clock: ManualClock) -> None:
    scheduler.fleet.observe_rate_limit("e0", 15.0, is_cold=True)
    scheduler.fleet.note_permit_refused("e0", 700.0)


def fill_slots(scheduler: Scheduler, clock: ManualClock) -> None:
    scheduler.fleet.observe_peer("vm", [("e0", VmLoad(n_requests=FIGURES.n_slots))])


def fill_memory(scheduler: Scheduler, clock: ManualClock) -> None:
    scheduler.fleet.observe_peer("vm", [("e0", VmLoad(1, n_kv_tokens=382_000))])


def fail_often(scheduler: Scheduler, clock: ManualClock) -> None:
    load = VmLoad(outcomes=Outcomes(2.0, 6.0))
    good = VmLoad(outcomes=Outcomes(8.0, 0.0))
    others = [(f"e{index}", good) for index in range(1, N_ENGINES)]
    scheduler.fleet.observe_peer("vm", [("e0", load), *others])


def slow_down(scheduler: Scheduler, clock: ManualClock) -> None:
    scheduler.fleet.observe_paces([("e0", 4.0)])


def prefill_long_prompt(scheduler: Scheduler, clock: ManualClock) -> None:
    load = VmLoad(1, n_prefill_tokens=100_000)
    scheduler.fleet.observe_peer("vm", [("e0", load)])


CASES = (
    ExclusionCase(Exclusion.LEAVING, make_leaving),
    ExclusionCase(Exclusion.EVACUATED, evacuate),
    ExclusionCase(Exclusion.EJECTED, eject),
    ExclusionCase(Exclusion.RATE_LIMITED, limit_rate),
    ExclusionCase(Exclusion.COLD, make_cold),
    ExclusionCase(Exclusion.SLOTS, fill_slots),
    ExclusionCase(Exclusion.MEMORY, fill_memory),
    ExclusionCase(Exclusion.FAILING, fail_often),
    ExclusionCase(Exclusion.SLOW, slow_down),
    ExclusionCase(Exclusion.HEAD_OF_LINE, prefill_long_prompt),
)


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.exclusion.value)
def test_each_filter_names_what_it_excludes(
    clock: ManualClock, case: ExclusionCase
) -> None:
    """Guards against an explanation that names another cause than the decision's."""
    scheduler = make_scheduler(clock)
    clock.advance(1_000)
    case.exclude(scheduler, clock)
    explanation = scheduler.explain(make_request(clock))
    assert explanation.outcome is Outcome.STARTS
    assert find(explanation, "e0").excluded_by is case.exclusion
    assert explanation.upstreams[0] != "e0"


def test_figures_are_those_of_the_decision(clock: ManualClock) -> None:
    scheduler = make_scheduler(clock)
    clock.advance(1_000)
    load = VmLoad(2, n_prefill_tokens=25_600, n_kv_tokens=30_000)
    scheduler.fleet.observe_peer("vm", [("e0", load)])
    limit_rate(scheduler, clock)
    clock.advance(40)
    summary = find(scheduler.explain(make_request(clock)), "e0")
    assert (summary.n_requests, summary.n_slots) == (2, 8)
    assert (summary.n_kv_tokens_used, summary.n_kv_tokens) == (30_000, 382_500)
    assert summary.prefill_backlog_ms == pytest.approx(60.0)
    assert summary.load_age_ms == pytest.approx(40.0)
    assert summary.rate_limit_wait_ms == pytest.approx(660.0)
    assert summary.cost is not None
    assert summary.cost > summary.prefill_backlog_ms


@pytest.mark.parametrize("n_prompt_tokens", [1_000, 90_000, 300_000, 700_000])
def test_the_next_request_goes_where_the_explanation_says(
    clock: ManualClock, n_prompt_tokens: int
) -> None:
    """Guards against an explanation by other code, or by other random numbers."""
    scheduler = make_scheduler(clock, n_engines=40)
    loads = random.Random(2)
    for index in range(40):
        load = VmLoad(loads.randrange(6), loads.randrange(9_000), 1_000)
        scheduler.fleet.observe_peer("vm", [(f"e{index}", load)])
    clock.advance(500)
    request = make_request(clock, n_prompt_tokens)
    explanation = scheduler.explain(request)
    assert scheduler.submit(request) is None
    (dispatch,) = scheduler.poll()
    assert isinstance(dispatch, Dispatch)
    assert explanation.upstreams == dispatch.upstreams
    assert explanation.helpers == dispatch.helpers
    answering = find(explanation, dispatch.upstreams[-1])
    assert answering.role is UpstreamRole.ANSWERS
    assert (len(explanation.upstreams) > 1) == (n_prompt_tokens >= 300_000)


def test_a_group_names_what_excludes_engines_from_it(clock: ManualClock) -> None:
    scheduler = make_scheduler(clock, n_engines=40)
    clock.advance(1_000)
    scheduler.fleet.observe((), ("e0",))
    scheduler.fleet.observe_paces([("e1", 4.0)])
    scheduler.fleet.observe_rate_limit("e2", 1.0)
    scheduler.fleet.observe_peer("vm", [("e3", VmLoad(refuses_help=True))])
    explanation = scheduler.explain(make_request(clock, 700_000))
    assert len(explanation.upstreams) > 1
    excluded = [find(explanation, f"e{index}").excluded_by for index in range(4)]
    assert excluded == [
        Exclusion.LEAVING,
        Exclusion.SLOW,
        Exclusion.RATE_LIMITED,
        Exclusion.PROMPT_PARTS,
    ]
    roles = [item.role for item in explanation.candidates]
    assert roles.count(UpstreamRole.HOLDS_PART) == len(explanation.upstreams) - 1


def test_a_group_leaves_out_evacuated_engines(clock: ManualClock) -> None:
    scheduler = make_scheduler(clock, n_engines=40)
    evacuate(scheduler, clock)
    explanation = scheduler.explain(make_request(clock, 700_000))
    assert len(explanation.upstreams) > 1
    assert find(explanation, "e0").excluded_by is Exclusion.EVACUATED


def test_a_cold_engine_is_named_that_a_long_prompt_avoids(clock: ManualClock) -> None:
    scheduler = make_scheduler(clock)
    scheduler.fleet.observe_rate_limit("e0", 15.0, is_cold=True)
    explanation = scheduler.explain(make_request(clock, 90_000))
    assert explanation.outcome is Outcome.STARTS
    assert find(explanation, "e0").excluded_by is Exclusion.COLD


def test_all_evacuated_engines_are_named_with_the_refusal(clock: ManualClock) -> None:
    scheduler = make_scheduler(clock)
    scheduler.fleet.observe_evacuations({"a", "b"})
    explanation = scheduler.explain(make_request(clock))
    assert explanation.failure is not None
    assert explanation.failure.reason is Reason.NO_UPSTREAM
    causes = {item.excluded_by for item in explanation.candidates}
    assert causes == {Exclusion.EVACUATED}
    assert len(explanation.candidates) == N_ENGINES


def test_engines_of_a_large_pool_that_were_not_compared_are_named(
    clock: ManualClock,
) -> None:
    scheduler = make_scheduler(clock, n_engines=40)
    explanation = scheduler.explain(make_request(clock))
    causes = [item.excluded_by for item in explanation.candidates]
    assert causes.count(Exclusion.NOT_SAMPLED) == 40 - N_SAMPLED


def test_asking_changes_nothing(clock: ManualClock) -> None:
    """Guards against questions that change later choices or delays.

    The whole state is compared: random numbers, pacing, times to retry, ledgers, queue.
    """
    scheduler = make_scheduler(clock, n_engines=40)
    limit_rate(scheduler, clock)
    fill_slots(scheduler, clock)
    for index in range(60):
        request = make_request(clock, 200_000)._replace(request_id=f"q{index}")
        scheduler.submit(request)
        scheduler.poll()
    assert scheduler.n_queued
    questions = [make_request(clock, n) for n in (1_000, 90_000, 700_000, 9_000_000)]
    questions.append(questions[1]._replace(deadline_ms=clock.now_ms() + 500))
    before = dump(scheduler)
    explanations = [scheduler.explain(question) for question in questions]
    assert dump(scheduler) == before
    assert {item.outcome for item in explanations} == {Outcome.WAITS, Outcome.REFUSED}
    scheduler.submit(questions[0])
    assert dump(scheduler) != before


def run_traffic(*, is_asked: bool) -> list[str]:
    """:returns: all decisions on 400 requests of all lengths, with and without news"""
    clock = ManualClock()
    scheduler = make_scheduler(clock, n_engines=40)
    draws = random.Random(3)
    decisions = []
    for index in range(400):
        clock.advance(draws.uniform(0.0, 20.0))
        name = f"e{draws.randrange(40)}"
        load = VmLoad(draws.randrange(9), draws.randrange(50_000), 100_000)
        scheduler.fleet.observe_peer("vm", [(name, load)])
        if index % 20 == 0:
            scheduler.fleet.observe_rate_limit(name, 2.0)
        n_prompt_tokens = round(1_000 * 10 ** draws.uniform(0.0, 2.8))
        request = make_request(clock, n_prompt_tokens)
        if is_asked:
            scheduler.explain(request)
        request = request._replace(request_id=f"r{index}")
        decisions.append(repr(scheduler.submit(request)))
        decisions.extend(map(repr, scheduler.poll()))
    return decisions


def test_later_decisions_are_the_same_with_questions_in_between() -> None:
    """Guards against questions that change what a VM decides while time goes on."""
    decisions = run_traffic(is_asked=False)
    assert len(decisions) > 500
    assert run_traffic(is_asked=True) == decisions


def test_a_request_that_is_behind_others_waits(clock: ManualClock) -> None:
    scheduler = make_scheduler(clock, n_engines=1)
    fill_slots(scheduler, clock)
    scheduler.submit(make_request(clock))
    scheduler.poll()
    explanation = scheduler.explain(make_request(clock))
    assert explanation.outcome is Outcome.WAITS
    assert explanation.wait_cause is WaitCause.CAPACITY
    assert explanation.predicted_wait_ms is not None
    assert explanation.n_queued == 1
    scheduler.fleet.observe_peer("vm", [("e0", VmLoad())])
    explanation = scheduler.explain(make_request(clock))
    assert explanation.wait_cause is WaitCause.QUEUE
    assert explanation.upstreams == ("e0",)


def test_a_request_waits_for_the_turn_of_a_limited_engine(clock: ManualClock) -> None:
    scheduler = make_scheduler(clock, n_engines=1)
    limit_rate(scheduler, clock)
    explanation = scheduler.explain(make_request(clock))
    assert explanation.wait_cause is WaitCause.RATE_LIMIT
    assert explanation.upstreams == ("e0",)


def test_a_long_prompt_waits_for_others(clock: ManualClock) -> None:
    scheduler = make_scheduler(clock)
    load = VmLoad(1, n_prefill_tokens=900_000)
    scheduler.fleet.observe_peer("vm", [(f"e{i}", load) for i in range(N_ENGINES)])
    explanation = scheduler.explain(make_request(clock, 300_000))
    assert explanation.wait_cause is WaitCause.HEAD_OF_LINE


def test_an_unreached_service_is_named(clock: ManualClock) -> None:
    scheduler = make_scheduler(clock)
    scheduler.observe_path("m", PathVerdict.UNREACHED)
    explanation = scheduler.explain(make_request(clock))
    assert explanation.wait_cause is WaitCause.PATH_LOST


def test_a_refusal_is_that_of_a_real_request(clock: ManualClock) -> None:
    scheduler = make_scheduler(clock, n_engines=1)
    limit_rate(scheduler, clock)
    request = make_request(clock)._replace(deadline_ms=clock.now_ms() + 300)
    explanation = scheduler.explain(request)
    assert explanation.failure is not None
    assert explanation.failure.reason is Reason.UPSTREAM_RATE_LIMITED
    assert explanation.failure == scheduler.submit(request)
    assert explanation.upstreams == ()


def test_a_report_counts_as_news_of_the_load(clock: ManualClock) -> None:
    scheduler = make_scheduler(clock)
    clock.advance(1_000)
    assert find(scheduler.explain(make_request(clock)), "e0").load_age_ms is None
    scheduler.fleet.observe_load(LoadReport("e0", "i", 1, 200.0, 1, 0, 5_000, 0))
    age_ms = find(scheduler.explain(make_request(clock)), "e0").load_age_ms
    assert age_ms == pytest.approx(200.0)
