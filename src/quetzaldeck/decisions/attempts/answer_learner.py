"""Feeds measurements of answers to the admission policy and the token estimator."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzaldeck.decisions.admission import AdmissionPolicy
    from quetzaldeck.decisions.attempts.tracked import TrackedRequest
    from quetzaldeck.decisions.decision import AttemptEnd
    from quetzaldeck.decisions.estimation import TokenEstimator


class AnswerLearner:
    """Updates the estimates of service times and prompt tokens from finished attempts.

    :param admission: learns how long requests take
    :param tokens: learns how many tokens prompts have
    """

    def __init__(self, admission: AdmissionPolicy, tokens: TokenEstimator) -> None:
        self._admission = admission
        self._tokens = tokens

    def note_first_token(self, tracked: TrackedRequest, now_ms: float) -> None:
        """Record how long an attempt took to its first token."""
        elapsed_ms = now_ms - tracked.dispatched_ms
        self._admission.note_first_token(tracked.request, elapsed_ms, now_ms)

    def note_answer(
        self, tracked: TrackedRequest, end: AttemptEnd, now_ms: float
    ) -> None:
        """Record the generation time and prompt tokens of a complete answer.

        Skips answers that took more than one attempt: the last attempt of a resumed
        answer had part of the answer in its prompt and generated only the rest.
        """
        if tracked.history.n_dispatched > 1 or tracked.first_token_ms is None:
            return
        request = tracked.request
        elapsed_ms = now_ms - tracked.first_token_ms
        self._admission.note_answer(request, end.n_output_tokens, elapsed_ms, now_ms)
        self._tokens.learn(
            request, tracked.n_uncorrected_tokens, end.n_prompt_tokens, now_ms
        )


__all__ = ("AnswerLearner",)
