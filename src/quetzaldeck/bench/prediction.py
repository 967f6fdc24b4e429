"""Counts wrong predictions of the admission policy in both directions."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.bench.call_result import Outcome

if TYPE_CHECKING:
    from quetzaldeck.bench.run_result import RunResult


class PredictionCheck(NamedTuple):
    """Predictions of one run compared with the outcomes.

    :param n_admitted: submissions predicted to be in time
    :param n_late: those of them that were not answered in time
    :param n_probed: submissions predicted to be late and admitted as a probe
    :param n_falsely_refused: those of them that were answered in time
    :param n_resent: resends after a refusal, at the retry time that it gave
    :param n_resent_admitted: those of them that were not refused again at once
    """

    n_admitted: int
    n_late: int
    n_probed: int
    n_falsely_refused: int
    n_resent: int
    n_resent_admitted: int


def check_predictions(result: RunResult) -> PredictionCheck:
    """:returns: prediction results of a run under ``predicted_wait_probed``"""
    admitted = late = probed = false_refusals = resent = resent_admitted = 0
    for item in result.calls:
        n_refused = item.n_submissions - 1
        last_id = f"{item.call.call_id}/{item.n_submissions}"
        is_in_time = item.outcome is Outcome.ANSWERED
        was_refused_last = item.outcome is Outcome.REFUSED and item.waited_ms == 0.0
        resent += n_refused
        resent_admitted += n_refused > 0 and not was_refused_last
        if last_id in result.probed:
            probed += 1
            false_refusals += is_in_time
        elif not was_refused_last:
            admitted += 1
            late += not is_in_time
    return PredictionCheck(
        admitted, late, probed, false_refusals, resent, resent_admitted
    )


__all__ = ("PredictionCheck", "check_predictions")
