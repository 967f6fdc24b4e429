"""Generates the reference page of reasons from their declarations."""

from __future__ import annotations

from quetzaldeck.outcomes.reason import REASON_INFO, Reason

HEAD = """\
# Reasons of refusals and failures

The complete list, printed by `quetzaldeck reasons`. Each reason has a counter:
`quetzaldeck_failures_total{reason, ran}`. For the meaning of the fields, and for what a
caller should do about them, see [callers.md](callers.md). The column "retry" shows
whether the reason itself sets `retry_after_ms`; a failure may also set its own.

| reason | status | type | retry | description |
| --- | --- | --- | --- | --- |"""


def render_reasons() -> str:
    """:returns: the reference page as Markdown"""
    rows = [HEAD]
    for reason in Reason:
        info = REASON_INFO[reason]
        rows.append(
            f"| `{reason.value}` | {info.http_status} | `{info.error_type}` "
            f"| {'no' if info.retry_after_ms is None else 'yes'} "
            f"| {info.description} |"
        )
    return "\n".join(rows) + "\n"


__all__ = ("render_reasons",)
