"""Statistics of what callers received."""

from __future__ import annotations

from collections import Counter
from functools import cache
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.bench.call_result import Outcome
from quetzaldeck.bench.tails import Tails, compute_tails
from quetzaldeck.decisions.request import LengthClass, classify_length
from quetzaldeck.engine_model import EngineModel, Sequence

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence as SequenceOf

    from quetzaldeck.bench.call_result import CallResult
    from quetzaldeck.bench.run_result import RunResult
    from quetzaldeck.bench.scenario import FleetShape
    from quetzaldeck.engine_model import EngineProfile

PLAIN = "call"
CLASS_NAMES = (PLAIN, *(length_class.value for length_class in LengthClass))
MS_PER_SECOND = 1_000.0


class ClassSummary(NamedTuple):
    """Statistics of the calls of one length class.

    A call without a whole answer counts with its deadline as its time. Otherwise a
    policy would look fast by failing slow calls.

    :param ttft_ms: time to first token
    :param slowdown: time to first token relative to that on an idle fleet
    :param total_slowdown: time to last token relative to that on an idle fleet
    """

    n: int
    n_answered: int
    ttft_ms: Tails
    slowdown: Tails
    total_slowdown: Tails


class Summary(NamedTuple):
    """Statistics of one run, or of several runs that differ in their seed.

    :param all_ttft_ms: time to first token of model calls of all lengths
    :param goodput_per_s: model calls answered whole, per second of arrivals
    :param good_tokens_per_s: prompt and answer tokens of these calls, per second
    :param refusals: refusals and failures by reason and ``ran``
    :param n_false_refusals: calls refused with ``ran: no`` although they ran
    :param n_doubled: calls that are not repeatable and ran more than once
    :param n_late: calls that failed at their deadline
    """

    classes: dict[str, ClassSummary]
    all_ttft_ms: Tails
    goodput_per_s: float
    good_tokens_per_s: float
    refusals: dict[str, int]
    n_false_refusals: int
    n_lost: int
    n_doubled: int
    n_late: int
    engine_utilisation: float


def summarise(*results: RunResult) -> Summary:
    """:returns: combined statistics of runs that differ only in their seed"""
    calls = [call for result in results for call in result.calls]
    groups: dict[str, list[CallResult]] = {name: [] for name in CLASS_NAMES}
    for item in calls:
        groups[length_class_of(item)].append(item)
    shape = results[0].scenario.shape
    answered = [r for r in calls if r.call.model and r.outcome is Outcome.ANSWERED]
    span_s = sum(_last_arrival_ms(result) for result in results) / MS_PER_SECOND
    n_tokens = sum(r.call.n_prompt_tokens + r.call.n_answer_tokens for r in answered)
    return Summary(
        {name: _summarise_class(group, shape) for name, group in groups.items()},
        compute_tails(censored_ttft_ms(r) for r in calls if r.call.model),
        len(answered) / span_s,
        n_tokens / span_s,
        dict(sorted(_count_reasons(calls).items())),
        sum(r.is_false_refusal for r in calls),
        sum(r.outcome is Outcome.LOST for r in calls),
        sum(r.is_doubled for r in calls),
        sum(r.reason == "deadline_exceeded" for r in calls),
        sum(result.engine_utilisation for result in results) / len(results),
    )


def _last_arrival_ms(result: RunResult) -> float:
    return max((r.call.at_ms for r in result.calls), default=MS_PER_SECOND)


def length_class_of(result: CallResult) -> str:
    """:returns: length class of a model call, or ``PLAIN``"""
    if not result.call.model:
        return PLAIN
    return classify_length(result.call.n_prompt_tokens).value


def censored_ttft_ms(result: CallResult) -> float:
    """:returns: time to first token, or the deadline if there is no whole answer"""
    if result.outcome is not Outcome.ANSWERED or result.ttft_ms is None:
        return result.call.deadline_ms
    return result.ttft_ms


def censored_total_ms(result: CallResult) -> float:
    """:returns: time to the end, or the deadline if there is no whole answer"""
    if result.outcome is not Outcome.ANSWERED or result.total_ms is None:
        return result.call.deadline_ms
    return result.total_ms


def unloaded_ms(result: CallResult, shape: FleetShape) -> tuple[float, float]:
    """:returns: times to first and last token on an idle fleet"""
    call = result.call
    if not call.model:
        unloaded = shape.service_ms + 2 * shape.latency_ms
        return unloaded, unloaded
    first, last = _run_unloaded(
        shape.engine, call.n_prompt_tokens, call.n_answer_tokens
    )
    return first + 2 * shape.latency_ms, last + 2 * shape.latency_ms


def _summarise_class(group: SequenceOf[CallResult], shape: FleetShape) -> ClassSummary:
    unloaded = [unloaded_ms(item, shape) for item in group]
    ttft = [censored_ttft_ms(item) for item in group]
    total = [censored_total_ms(item) for item in group]
    return ClassSummary(
        len(group),
        sum(item.outcome is Outcome.ANSWERED for item in group),
        compute_tails(ttft),
        compute_tails(t / a[0] for t, a in zip(ttft, unloaded, strict=True)),
        compute_tails(t / a[1] for t, a in zip(total, unloaded, strict=True)),
    )


def _count_reasons(calls: Iterable[CallResult]) -> Counter[str]:
    return Counter(f"{r.reason} (ran: {r.ran})" for r in calls if r.reason)


@cache
def _run_unloaded(
    profile: EngineProfile, n_prompt_tokens: int, n_answer_tokens: int
) -> tuple[float, float]:
    enlarged = profile._replace(kv_tokens=n_prompt_tokens + n_answer_tokens)
    model = EngineModel(enlarged)
    model.submit(
        Sequence(
            "alone", n_prompt_tokens=n_prompt_tokens, max_output_tokens=n_answer_tokens
        )
    )
    elapsed_ms = 0.0
    first_ms = 0.0
    while not model.is_idle:
        step = model.step()
        elapsed_ms += step.duration_ms
        if step.emitted and not first_ms:
            first_ms = elapsed_ms
    return first_ms, elapsed_ms


__all__ = (
    "CLASS_NAMES",
    "ClassSummary",
    "Summary",
    "censored_ttft_ms",
    "length_class_of",
    "summarise",
    "unloaded_ms",
)
