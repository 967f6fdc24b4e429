"""Report of a load run: TTFT by length class, and counts of failures."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.decisions.request import LengthClass, classify_length
from quetzaldeck.load.result import Verdict

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from quetzaldeck.load.result import Result


class Tails(NamedTuple):
    """Number of samples and upper quantiles of one duration, in milliseconds."""

    n: int
    p50: float
    p95: float
    p99: float


class LoadReport(NamedTuple):
    """Results of a load run.

    :param ttft: time to first token by length class; ``call`` stands for calls to
        plain services
    :param verdicts: number of calls by verdict
    :param reasons: number of refusals and failures by reason and ``ran``
    :param n_doubled: number of idempotency keys that were executed more than once
    :param n_false_refusals: number of calls refused with ``ran: no`` that did run
    """

    ttft: dict[str, Tails]
    verdicts: dict[str, int]
    reasons: dict[str, int]
    n_doubled: int
    n_false_refusals: int

    @property
    def is_clean(self) -> bool:
        """Whether calls were answered and nothing went wrong.

        :returns: whether no call was lost, executed twice, answered wrongly or falsely
            refused
        """
        failures = (Verdict.LOST, Verdict.MIXED_UP)
        n_failed = sum(self.verdicts.get(verdict.value, 0) for verdict in failures)
        has_answers = self.verdicts.get(Verdict.ANSWERED.value, 0) > 0
        n_violations = n_failed + self.n_doubled + self.n_false_refusals
        return has_answers and n_violations == 0


def quantile(values: Sequence[float], share: float) -> float:
    """:returns: the quantile of the sorted ``values`` at ``share``, from 0 to 1"""
    index = min(len(values) - 1, int(share * len(values)))
    return values[index]


def compute_tails(values: Iterable[float]) -> Tails:
    """:returns: quantiles of ``values``, which must not be empty"""
    ordered = sorted(values)
    return Tails(
        len(ordered),
        quantile(ordered, 0.50),
        quantile(ordered, 0.95),
        quantile(ordered, 0.99),
    )


def build_report(
    results: Sequence[Result], executions: Mapping[str, int]
) -> LoadReport:
    """:returns: the report of a load run

    :param executions: number of executions of each idempotency key
    """
    groups: dict[str, list[float]] = {}
    for result in results:
        if result.ttft_ms is not None:
            groups.setdefault(_length_class_of(result), []).append(result.ttft_ms)
    reasons = Counter(
        f"{result.reason} (ran: {result.ran})" for result in results if result.reason
    )
    refused = {result.key for result in results if result.ran == "no" and result.key}
    return LoadReport(
        ttft={name: compute_tails(groups[name]) for name in _ORDER if name in groups},
        verdicts=dict(Counter(result.verdict.value for result in results)),
        reasons=dict(reasons),
        n_doubled=sum(1 for n_runs in executions.values() if n_runs > 1),
        n_false_refusals=sum(1 for key in refused if executions.get(key, 0)),
    )


def render_report(report: LoadReport) -> str:
    """:returns: the report as plain text, with a table of TTFT quantiles"""
    lines = [f"{'TTFT in ms':<12}{'n':>7}{'p50':>10}{'p95':>10}{'p99':>10}"]
    lines.extend(
        f"{name:<12}{t.n:>7}{t.p50:>10.0f}{t.p95:>10.0f}{t.p99:>10.0f}"
        for name, t in report.ttft.items()
    )
    counts = ", ".join(f"{name} {n}" for name, n in sorted(report.verdicts.items()))
    lines.append(f"calls: {counts}")
    lines.append(
        f"lost {report.verdicts.get('lost', 0)}, doubled {report.n_doubled}, "
        f"mixed up {report.verdicts.get('mixed_up', 0)}, "
        f"false refusals {report.n_false_refusals}"
    )
    lines.extend(f"  {reason}: {n}" for reason, n in sorted(report.reasons.items()))
    return "\n".join(lines)


_PLAIN_CALL = "call"
_ORDER = (_PLAIN_CALL, *(length_class.value for length_class in LengthClass))


def _length_class_of(result: Result) -> str:
    if result.key:
        return _PLAIN_CALL
    return classify_length(result.n_prompt_tokens).value


__all__ = (
    "LoadReport",
    "Tails",
    "build_report",
    "compute_tails",
    "quantile",
    "render_report",
)
