"""Renders the entry VM runs as a Markdown page."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from quetzaldeck.bench.entry_suite import EntryRun, KindSummary


def render_entry_table(runs: Sequence[EntryRun]) -> str:
    """:returns: the runs as a Markdown page"""
    lines = [
        "# Entry VMs under load",
        "",
        "Written by `make bench-entry`: the policies of an entry VM and two baselines,",
        "on engines that work in passes with configured figures. Bursts and faults",
        "last from second 12 to 22 of 40. The cells of a kind show the calls answered",
        "in time (first token and gaps within the call's limits), of all whose caller",
        "was not set to disconnect, and the median and 99th percentile of the time to",
        "first token in ms. *Mean* averages the shares in time. *Idle timeouts* are",
        "callers that disconnected after too long without a token.",
        f"Calls lost, doubled or falsely refused: {sum(r.n_violations for r in runs)};",
        "memory that engines still held at the end:",
        f"{sum(run.n_kv_tokens_left for run in runs)} tokens.",
    ]
    for fleet in dict.fromkeys(run.fleet for run in runs):
        lines += ["", f"## {fleet[0].upper()}{fleet[1:]}", ""]
        lines += _render_fleet([run for run in runs if run.fleet == fleet])
    return "\n".join(lines) + "\n"


def _render_fleet(runs: list[EntryRun]) -> Iterator[str]:
    kinds = list(runs[0].kinds)
    yield f"| load | policy | mean | idle timeouts | {' | '.join(kinds)} |"
    yield "|---|---|--:|--:|" + "---|" * len(kinds)
    for run in runs:
        cells = " | ".join(_render_kind(run.kinds[kind]) for kind in kinds)
        yield (
            f"| {run.pattern} | {run.policy} | {run.share_in_time:.3f} "
            f"| {run.n_caller_timeouts} | {cells} |"
        )


def _render_kind(kind: KindSummary) -> str:
    first = kind.first_ms
    return f"{kind.n_in_time} of {kind.n}, {first.p50:.0f}, {first.p99:.0f}"


__all__ = ("render_entry_table",)
