"""Admission by predicted wait: the default."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.bundle.engine_figures import EngineFigures
from quetzaldeck.decisions.admission.api import admission_policies
from quetzaldeck.decisions.admission.bounds_only import BoundsOnly
from quetzaldeck.decisions.admission.line_load import Line, LineLoad, line_of
from quetzaldeck.decisions.admission.return_times import (
    MAX_RETRY_AFTER_MS,
    ReturnTimes,
)
from quetzaldeck.decisions.estimation import BiasCorrection, ServiceTimes
from quetzaldeck.decisions.placement.first_token import MAX_HELPERS
from quetzaldeck.decisions.queueing.fair import DEFAULT_STRETCH
from quetzaldeck.decisions.request import LengthClass
from quetzaldeck.outcomes import Failure, Ran, Reason

if TYPE_CHECKING:
    import random

    from quetzaldeck.bundle.document import Bundle
    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.scheduler_bounds import SchedulerBounds
    from quetzaldeck.decisions.tuning import Tuning


class _WaitKind(NamedTuple):
    """Requests whose waits are mispredicted alike."""

    line: Line
    length_class: LengthClass


class _Engines(NamedTuple):
    """Engines of one model, and what their operator states of each."""

    figures: EngineFigures | None
    n_engines: int


_NO_ENGINES = _Engines(None, 1)


class Prediction(NamedTuple):
    """What a request must expect.

    :param wait_ms: time in the queue
    :param first_ms: time from the dispatch to the first token
    :param answer_ms: time from the first token to the last
    :param tokens_per_ms: rate at which its line drains
    :param model_wait_ms: time in the queue before the correction by experience
    """

    wait_ms: float
    first_ms: float
    answer_ms: float
    tokens_per_ms: float
    model_wait_ms: float = 0.0

    @property
    def total_ms(self) -> float:
        """:returns: time to the last token"""
        return self.wait_ms + self.first_ms + self.answer_ms

    def excess_ms(self, left_ms: float, patience_ms: float) -> float:
        """:returns: how much too late it would be; not above 0: it is in time

        A caller that hangs up before its deadline counts only if the request has to
        wait: what an engine begins at once is the best that there is.

        :param left_ms: time to its deadline
        :param patience_ms: time for which its caller listens
        """
        late_ms = self.total_ms - left_ms
        if self.wait_ms <= 0:
            return late_ms
        return max(late_ms, self.wait_ms + self.first_ms - patience_ms)


@admission_policies.register("predicted_wait")
class PredictedWait(BoundsOnly):
    """Refuses at once what would miss its deadline, and says when to come back.

    Load pattern: more work than the fleet can do. Without it everything is admitted,
    waits until it is nearly too late, and is then begun: engines spend most of their
    time on answers that are cut off, and a caller hears after its whole deadline
    what could have been told at once.

    The wait is what stands before the request in its customer's turn, by tokens,
    over the rate at which its line drains; the run time is what requests of its
    length took lately. A request that waited past the moment from which even the
    fastest run would be too late is given up then, not at its deadline. It is too late
    as well if its caller would hang up before the first token.
    """

    def __init__(
        self, *, random_state: random.Random, bounds: SchedulerBounds | None = None
    ) -> None:
        super().__init__(random_state=random_state, bounds=bounds)
        self._lines: dict[Line, LineLoad] = {}
        self._returns: dict[Line, ReturnTimes] = {}
        self._times: dict[str, ServiceTimes] = {}
        self._corrections: dict[_WaitKind, BiasCorrection] = {}
        self._predicted: dict[str, float] = {}
        self._engines: dict[str, _Engines] = {}
        self._stretch = DEFAULT_STRETCH

    def configure(self, bundle: Bundle, tuning: Tuning) -> None:
        """Take the stretch that the queue orders by, and what is stated of engines."""
        self._stretch = tuning.stretch
        self._engines = {}
        for spec in bundle.upstreams:
            for model in spec.models:
                _, n_engines = self._engines.get(model, (None, 0))
                self._engines[model] = _Engines(spec.figures, n_engines + 1)
        for model, times in self._times.items():
            times.set_engine_figures(*self._list_readers(model))

    def check(
        self, request: Request, now_ms: float, *, can_start: bool
    ) -> Failure | None:
        """:returns: the refusal if it would be too late, or the queue has no room"""
        prediction = self.predict(request, now_ms, can_start=can_start)
        full = super().check(request, now_ms, can_start=can_start)
        if full is not None:
            wait_ms = prediction.wait_ms / 2
            return self._refuse(full.reason, request, now_ms, wait_ms, prediction)
        left_ms = request.deadline_ms - now_ms
        patience_ms = self._hang_up_ms(request) - now_ms
        excess_ms = prediction.excess_ms(left_ms, patience_ms)
        if excess_ms <= 0:
            self._predicted[request.request_id] = prediction.model_wait_ms
            return None
        reason = Reason.DEADLINE_UNREACHABLE
        return self._refuse(reason, request, now_ms, excess_ms, prediction)

    def predict(
        self, request: Request, now_ms: float, *, can_start: bool
    ) -> Prediction:
        """:returns: what a request that arrives now must expect"""
        line = self._line(request, now_ms)
        times = self._times_of(request)
        first_ms = times.predict_first_token_ms(request, now_ms)
        answer_ms = times.predict_answer_ms(request, now_ms)
        rate = line.drain.tokens_per_ms(now_ms)
        if can_start and not line.n_requests:
            return Prediction(0.0, first_ms, answer_ms, rate)
        n_tokens = line.tokens_ahead(request, self._stretch, rate)
        model_wait_ms = n_tokens / rate if rate > 0 else 0.0
        wait_ms = model_wait_ms * self._correction(request).factor(now_ms)
        return Prediction(wait_ms, first_ms, answer_ms, rate, model_wait_ms)

    def latest_start_ms(self, request: Request) -> float:
        """:returns: when the fastest first token is too late, or its caller is gone"""
        latest_ms = min(request.deadline_ms, self._hang_up_ms(request))
        return latest_ms - self._times_of(request).fastest_ms(request)

    def give_up(self, request: Request, now_ms: float) -> Failure:
        """:returns: the final answer to a request that cannot make it any more"""
        prediction = self.predict(request, now_ms, can_start=False)
        reason = Reason.DEADLINE_UNREACHABLE
        return self._refuse(reason, request, now_ms, prediction.wait_ms, prediction)

    def time_return(self, request: Request, failure: Failure, now_ms: float) -> Failure:
        """:returns: the failure with a time at which upstreams have room for it

        When a group of upstreams dies, all that ran there fail in the same instant.
        Told the same time, they come back as one burst to fewer upstreams.
        """
        prediction = self.predict(request, now_ms, can_start=True)
        if prediction.tokens_per_ms <= 0:
            # Nothing has waited yet: how fast its line drains is not known.
            return failure
        wait_ms = prediction.wait_ms
        booked = self._refuse(failure.reason, request, now_ms, wait_ms, prediction)
        return failure._replace(retry_after_ms=booked.retry_after_ms)

    def note_queued(self, request: Request, now_ms: float) -> None:
        """Count a request that waits."""
        super().note_queued(request, now_ms)
        self._line(request, now_ms).add(request, now_ms)

    def note_unqueued(
        self, request: Request, now_ms: float, *, is_dispatched: bool
    ) -> None:
        """Count a request that no longer waits."""
        super().note_unqueued(request, now_ms, is_dispatched=is_dispatched)
        line = self._line(request, now_ms)
        line.discard(request, now_ms, is_dispatched=is_dispatched)
        predicted_ms = self._predicted.pop(request.request_id, None)
        if predicted_ms is not None:
            # One that is given up or withdrawn has waited at least this long.
            waited_ms = now_ms - request.arrived_ms
            self._correction(request).learn(predicted_ms, waited_ms, now_ms)

    def note_first_token(
        self, request: Request, elapsed_ms: float, now_ms: float
    ) -> None:
        """Learn how long engines take to the first token."""
        self._times_of(request).learn_first_token(request, elapsed_ms, now_ms)

    def note_answer(
        self, request: Request, n_tokens: int, elapsed_ms: float, now_ms: float
    ) -> None:
        """Learn how long answers take."""
        self._times_of(request).learn_answer(request, n_tokens, elapsed_ms, now_ms)

    def _refuse(
        self,
        reason: Reason,
        request: Request,
        now_ms: float,
        wait_ms: float,
        prediction: Prediction,
    ) -> Failure:
        line = line_of(request)
        returns = self._returns.get(line)
        if returns is None:
            returns = self._returns[line] = ReturnTimes(self._random_state)
        rate = prediction.tokens_per_ms
        work_ms = request.n_kv_tokens / rate if rate > 0 else MAX_RETRY_AFTER_MS
        retry_after_ms = returns.book(now_ms, wait_ms, work_ms)
        detail = self._explain(request, now_ms, prediction)
        return Failure(reason, Ran.NO, retry_after_ms, detail)

    def _explain(self, request: Request, now_ms: float, prediction: Prediction) -> str:
        """:returns: what a refusal rests on, for its caller and for the logs"""
        n_waiting = self._line(request, now_ms).n_requests
        listens_ms = min(request.deadline_ms, self._hang_up_ms(request)) - now_ms
        return (
            f"{n_waiting} requests wait; expected {prediction.wait_ms:.0f} ms in the "
            f"queue, {prediction.first_ms:.0f} ms to the first token, "
            f"{prediction.answer_ms:.0f} ms to the last; waited "
            f"{now_ms - request.arrived_ms:.0f} ms, the caller listens for "
            f"{listens_ms:.0f} ms more"
        )

    def _hang_up_ms(self, request: Request) -> float:
        """:returns: when its caller hangs up; never, if no engine could be in time

        The deadline is the caller's word, its patience is inferred. A prompt that idle
        engines read for longer than that is served as well as it can be.
        """
        fastest_ms = self._times_of(request).fastest_ms(request)
        is_possible = request.arrived_ms + fastest_ms < request.next_token_deadline_ms
        return request.next_token_deadline_ms if is_possible else math.inf

    def _correction(self, request: Request) -> BiasCorrection:
        kind = _WaitKind(line_of(request), request.length_class)
        correction = self._corrections.get(kind)
        if correction is None:
            correction = self._corrections[kind] = BiasCorrection()
        return correction

    def _line(self, request: Request, now_ms: float) -> LineLoad:
        key = line_of(request)
        line = self._lines.get(key)
        if line is None:
            line = self._lines[key] = LineLoad(now_ms)
        return line

    def _list_readers(self, model: str) -> _Engines:
        """:returns: what is stated of engines, and how many may read one prompt"""
        figures, n_engines = self._engines.get(model, _NO_ENGINES)
        return _Engines(figures, min(n_engines, MAX_HELPERS + 1))

    def _times_of(self, request: Request) -> ServiceTimes:
        target = line_of(request).target
        times = self._times.get(target)
        if times is None:
            times = self._times[target] = ServiceTimes()
            times.set_engine_figures(*self._list_readers(target))
        return times


__all__ = ("PredictedWait", "Prediction")
