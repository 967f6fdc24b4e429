"""How far predicted times to a first token are from those in a log."""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.decisions import classify_length
from quetzaldeck.telemetry.log_lines import read_events

if TYPE_CHECKING:
    from collections.abc import Iterable

P95 = 0.95


class PredictionRow(NamedTuple):
    """Prompts of one length.

    :param length: name of the length class
    :param n_requests: answers with a prediction
    :param seen_ms: median time to the first token
    :param median_ratio: median of seen against predicted
    :param p95_ratio: 95th part in 100 of seen against predicted
    :param median_error_ms: median of the difference, whatever its sign
    """

    length: str
    n_requests: int
    seen_ms: float
    median_ratio: float
    p95_ratio: float
    median_error_ms: float


def compare_predictions(lines: Iterable[str]) -> list[PredictionRow]:
    """:returns: a row for each length of prompt in the lines of a log

    Answers after several attempts are left out: their prediction is the last one's.
    """
    pairs: dict[str, list[tuple[float, float]]] = {}
    for fields in read_events(lines, "request_answered"):
        if fields.get("n_attempts") != "1":
            continue
        try:
            seen_ms = float(fields["first_event_ms"])
            predicted_ms = float(fields["predicted_first_event_ms"])
            n_tokens = int(fields["n_prompt_tokens"])
        except (KeyError, ValueError):
            # A plain call has none of them; a line may be cut off at a process's end.
            continue
        if predicted_ms > 0:
            length = classify_length(n_tokens).value
            pairs.setdefault(length, []).append((seen_ms, predicted_ms))
    return [_summarize(length, found) for length, found in pairs.items()]


def _summarize(length: str, pairs: list[tuple[float, float]]) -> PredictionRow:
    ratios = sorted(seen / predicted for seen, predicted in pairs)
    return PredictionRow(
        length,
        len(pairs),
        statistics.median(seen for seen, _ in pairs),
        statistics.median(ratios),
        ratios[min(len(ratios) - 1, int(P95 * len(ratios)))],
        statistics.median(abs(seen - predicted) for seen, predicted in pairs),
    )


__all__ = ("PredictionRow", "compare_predictions")
