"""Renders the bench report as Markdown tables."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.bench.summary import CLASS_NAMES
from quetzaldeck.decisions.request import LengthClass

if TYPE_CHECKING:
    from collections.abc import Iterator

    from quetzaldeck.bench.suite import BenchReport, LoadEntry

_CLASS_LENGTHS = {
    "call": "plain call",
    "short": "to 4 K",
    "medium": "4-32 K",
    "long": "32-200 K",
    "huge": "over 200 K",
}


def render_tables(report: BenchReport) -> str:
    """:returns: the report as a Markdown page"""
    lines = [
        "# Bench report",
        "",
        "Written by `make bench`; `bench/report.json` has the same figures. A call",
        "without a whole answer counts with its deadline. Times are in milliseconds;",
        "slowdown is relative to the same call on an idle fleet.",
    ]
    for load in sorted({entry.load for entry in report.loads}):
        entries = [entry for entry in report.loads if entry.load == load]
        lines += ["", f"## {load:.0%} of what the engines can prefill", ""]
        lines += _render_overall(entries)
        lines += ["", *_render_classes(entries)]
    lines += ["", "## With and without each policy, one run each, short_requests", ""]
    lines += _render_ablations(report.ablations)
    lines += ["", "## Recovery", "", *_render_recoveries(report)]
    lines += ["", "## Predictions at 200 % load", "", *_render_predictions(report)]
    lines += ["", "## Decisions per second on one core", "", *_render_costs(report)]
    return "\n".join(lines) + "\n"


def _name(entry: LoadEntry) -> str:
    return f"{entry.policy}, {entry.profile}" if entry.profile else entry.policy


def _render_overall(entries: list[LoadEntry]) -> Iterator[str]:
    yield (
        "| policy | runs | TTFT p50 | p95 | p99 | answered/s | tokens/s | late "
        "| lost | doubled | false refusals |"
    )
    yield "|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|"
    for entry in entries:
        s = entry.summary
        yield (
            f"| {_name(entry)} | {entry.n_seeds} | {s.all_ttft_ms.p50:.0f} "
            f"| {s.all_ttft_ms.p95:.0f} | {s.all_ttft_ms.p99:.0f} "
            f"| {s.goodput_per_s:.2f} | {s.good_tokens_per_s:.0f} | {s.n_late} "
            f"| {s.n_lost} | {s.n_doubled} | {s.n_false_refusals} |"
        )
    yield ""
    for entry in entries:
        reasons = ", ".join(f"{k} {n}" for k, n in entry.summary.refusals.items())
        yield f"- {_name(entry)}: {reasons or 'no refusal or failure'}"


def _render_classes(entries: list[LoadEntry]) -> Iterator[str]:
    yield (
        "| prompt | policy | answered | TTFT p50 | p95 | p99 | slowdown p50 | p95 "
        "| p99 | whole answer p99 |"
    )
    yield "|---|---|--:|--:|--:|--:|--:|--:|--:|--:|"
    for name in CLASS_NAMES:
        for entry in entries:
            c = entry.summary.classes[name]
            yield (
                f"| {_CLASS_LENGTHS[name]} | {_name(entry)} | {c.n_answered} of {c.n} "
                f"| {c.ttft_ms.p50:.0f} | {c.ttft_ms.p95:.0f} | {c.ttft_ms.p99:.0f} "
                f"| {c.slowdown.p50:.1f} | {c.slowdown.p95:.1f} "
                f"| {c.slowdown.p99:.1f} | {c.total_slowdown.p99:.1f} |"
            )


def _render_ablations(entries: tuple[LoadEntry, ...]) -> Iterator[str]:
    yield (
        "| load | policy | short: slowdown p99 | TTFT p95 | all: TTFT p95 "
        "| 32-200 K: TTFT p95 | answered/s | tokens/s | late |"
    )
    yield "|--:|---|--:|--:|--:|--:|--:|--:|--:|"
    for entry in entries:
        s = entry.summary
        short = s.classes[LengthClass.SHORT]
        yield (
            f"| {entry.load:.0%} | {entry.policy} | {short.slowdown.p99:.1f} "
            f"| {short.ttft_ms.p95:.0f} | {s.all_ttft_ms.p95:.0f} "
            f"| {s.classes[LengthClass.LONG].ttft_ms.p95:.0f} "
            f"| {s.goodput_per_s:.2f} | {s.good_tokens_per_s:.0f} | {s.n_late} |"
        )


def _render_recoveries(report: BenchReport) -> Iterator[str]:
    yield (
        "| disturbance | policy | answered before | during | recovery time, s "
        "| peak submissions/s after | before |"
    )
    yield "|---|---|--:|--:|--:|--:|--:|"
    for entry in report.recoveries:
        r = entry.recovery
        after = "not" if r.recovered_ms is None else f"{r.recovered_ms / 1_000:.0f}"
        yield (
            f"| {entry.disturbance} | {entry.policy} | {r.answered_before:.1%} "
            f"| {r.answered_during:.1%} | {after} | {r.peak_per_s} | {r.usual_per_s} |"
        )


def _render_predictions(report: BenchReport) -> Iterator[str]:
    yield (
        "| profile | admitted | late | admitted as probes | probes in time "
        "| resent | admitted after resending |"
    )
    yield "|---|--:|--:|--:|--:|--:|--:|"
    for profile, c in report.predictions.items():
        yield (
            f"| {profile} | {c.n_admitted} | {c.n_late} | {c.n_probed} "
            f"| {c.n_falsely_refused} | {c.n_resent} | {c.n_resent_admitted} |"
        )


def _render_costs(report: BenchReport) -> Iterator[str]:
    yield "| upstreams | customers | queued requests | decisions/s |"
    yield "|--:|--:|--:|--:|"
    for c in report.costs:
        yield (
            f"| {c.n_upstreams} | {c.n_customers} | {c.n_queued} "
            f"| {c.decisions_per_s:.0f} |"
        )


__all__ = ("render_tables",)
