"""Comparison of predicted and measured times to first token, from logs."""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.decisions import classify_length
from quetzaldeck.telemetry.log_lines import read_events

if TYPE_CHECKING:
    from collections.abc import Iterable

P95 = 0.95


class PredictionRow(NamedTuple):
    """Accuracy of the predictions for one length class of prompts.

    :param length: name of the length class
    :param n_requests: answers with a prediction
    :param measured_ms: median time to first token
    :param median_ratio: median ratio of measured to predicted time
    :param p95_ratio: 95th percentile of that ratio
    :param median_error_ms: median absolute difference of the two times
    """

    length: str
    n_requests: int
    measured_ms: float
    median_ratio: float
    p95_ratio: float
    median_error_ms: float


def compare_predictions(lines: Iterable[str]) -> list[PredictionRow]:
    """Compare predicted and measured times to first token.

    Answers after several attempts are left out, since the logged prediction is that of
    the last attempt only.

    :returns: a row for each length class in the lines of a log
    """
    pairs: dict[str, list[tuple[float, float]]] = {}
    for fields in read_events(lines, "request_answered"):
        if fields.get("n_attempts") != "1":
            continue
        try:
            measured_ms = float(fields["first_event_ms"])
            predicted_ms = float(fields["predicted_first_event_ms"])
            n_tokens = int(fields["n_prompt_tokens"])
        except (KeyError, ValueError):
            # Calls of plain services lack these fields; a last line may be truncated.
            continue
        if predicted_ms > 0:
            length = classify_length(n_tokens).value
            pairs.setdefault(length, []).append((measured_ms, predicted_ms))
    return [_summarize(length, times) for length, times in pairs.items()]


def _summarize(length: str, pairs: list[tuple[float, float]]) -> PredictionRow:
    ratios = sorted(measured / predicted for measured, predicted in pairs)
    return PredictionRow(
        length,
        len(pairs),
        statistics.median(measured for measured, _ in pairs),
        statistics.median(ratios),
        ratios[min(len(ratios) - 1, int(P95 * len(ratios)))],
        statistics.median(abs(measured - predicted) for measured, predicted in pairs),
    )


__all__ = ("PredictionRow", "compare_predictions")
