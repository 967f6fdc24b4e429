"""Default admission policy, based on the predicted wait."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.bundle.engine_figures import EngineFigures
from quetzaldeck.decisions.admission.api import admission_policies
from quetzaldeck.decisions.admission.bounds_only import BoundsOnly
from quetzaldeck.decisions.admission.queue_class_load import (
    QueueClass,
    QueueClassLoad,
    queue_class_of,
)
from quetzaldeck.decisions.admission.retry_after_schedule import (
    MAX_RETRY_AFTER_MS,
    RetryAfterSchedule,
)
from quetzaldeck.decisions.decision import MAX_HELPERS
from quetzaldeck.decisions.estimation import BiasCorrection, ServiceTimes
from quetzaldeck.decisions.queueing.fair import DEFAULT_STRETCH
from quetzaldeck.decisions.request import LengthClass
from quetzaldeck.outcomes import Failure, Ran, Reason

if TYPE_CHECKING:
    import random

    from quetzaldeck.bundle.document import Bundle
    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.scheduler_bounds import SchedulerBounds
    from quetzaldeck.decisions.tuning import Tuning


class _CorrectionKey(NamedTuple):
    """Requests that share a correction factor for their predicted waits."""

    queue_class: QueueClass
    length_class: LengthClass


class _ModelEngines(NamedTuple):
    """Number of engines of one model, and the configured speed of each."""

    figures: EngineFigures | None
    n_engines: int


_NO_ENGINES = _ModelEngines(None, 1)


class Prediction(NamedTuple):
    """Predicted times of a request.

    :param wait_ms: time in the queue
    :param first_token_ms: time from the dispatch to the first token
    :param answer_ms: time from the first token to the last
    :param tokens_per_ms: rate at which its queue class drains
    :param uncorrected_wait_ms: time in the queue before correction by measured waits
    """

    wait_ms: float
    first_token_ms: float
    answer_ms: float
    tokens_per_ms: float
    uncorrected_wait_ms: float = 0.0

    @property
    def total_ms(self) -> float:
        """:returns: time to the last token"""
        return self.wait_ms + self.first_token_ms + self.answer_ms

    def lateness_ms(self, remaining_ms: float, idle_remaining_ms: float) -> float:
        """Compute how late the answer would be.

        The caller's idle timeout counts only if the request has to wait: a request
        that starts at once cannot be served any sooner.

        :param remaining_ms: time until the deadline
        :param idle_remaining_ms: time until the caller disconnects for lack of a token
        :returns: lateness; 0 or less: in time
        """
        late_ms = self.total_ms - remaining_ms
        if self.wait_ms <= 0:
            return late_ms
        return max(late_ms, self.wait_ms + self.first_token_ms - idle_remaining_ms)


@admission_policies.register("predicted_wait")
class PredictedWait(BoundsOnly):
    """Refuses requests that would miss their deadline, with a time to retry.

    Load pattern: overload. Without prediction all requests are admitted, wait until it
    is nearly too late, and are then started: engines spend most of their time on
    answers that do not end before the deadline, and callers wait until then for a
    refusal that could have been sent on arrival.

    The predicted wait is the number of tokens ahead of the request, divided by the rate
    at which its queue class drains. The run time is predicted from recent requests of
    similar length. A waiting request fails as soon as even the fastest run would miss
    its deadline, or its caller would disconnect before the first token.
    """

    def __init__(
        self, *, random_state: random.Random, bounds: SchedulerBounds | None = None
    ) -> None:
        super().__init__(random_state=random_state, bounds=bounds)
        self._loads: dict[QueueClass, QueueClassLoad] = {}
        self._retry_schedules: dict[QueueClass, RetryAfterSchedule] = {}
        self._service_times: dict[str, ServiceTimes] = {}
        self._corrections: dict[_CorrectionKey, BiasCorrection] = {}
        self._predicted_waits: dict[str, float] = {}
        self._engines: dict[str, _ModelEngines] = {}
        self._stretch = DEFAULT_STRETCH

    def configure(self, bundle: Bundle, tuning: Tuning) -> None:
        """Apply the stretch of the queue and the configured speeds of engines."""
        self._stretch = tuning.stretch
        self._engines = {}
        for spec in bundle.upstreams:
            for model in spec.models:
                _, n_engines = self._engines.get(model, (None, 0))
                self._engines[model] = _ModelEngines(spec.figures, n_engines + 1)
        for model, times in self._service_times.items():
            times.set_engine_figures(*self._engines_per_prompt(model))

    def check(
        self, request: Request, now_ms: float, *, can_start: bool
    ) -> Failure | None:
        """:returns: the refusal if the answer would be late or the queue is full"""
        prediction = self.predict(request, now_ms, can_start=can_start)
        refusal = super().check(request, now_ms, can_start=can_start)
        if refusal is not None:
            wait_ms = prediction.wait_ms / 2
            return self._refuse(refusal.reason, request, now_ms, wait_ms, prediction)
        remaining_ms = request.deadline_ms - now_ms
        idle_remaining_ms = self._caller_idle_deadline_ms(request) - now_ms
        lateness_ms = prediction.lateness_ms(remaining_ms, idle_remaining_ms)
        if lateness_ms <= 0:
            self._predicted_waits[request.request_id] = prediction.uncorrected_wait_ms
            return None
        reason = Reason.DEADLINE_UNREACHABLE
        return self._refuse(reason, request, now_ms, lateness_ms, prediction)

    def predict(
        self, request: Request, now_ms: float, *, can_start: bool
    ) -> Prediction:
        """:returns: predicted times of a request, if it arrives now"""
        load = self._load_of(request, now_ms)
        times = self._service_times_of(request)
        first_token_ms = times.predict_first_token_ms(request, now_ms)
        answer_ms = times.predict_answer_ms(request, now_ms)
        rate = load.drain.tokens_per_ms(now_ms)
        if can_start and not load.n_requests:
            return Prediction(0.0, first_token_ms, answer_ms, rate)
        n_tokens = load.tokens_ahead(request, self._stretch, rate)
        uncorrected_wait_ms = n_tokens / rate if rate > 0 else 0.0
        wait_ms = uncorrected_wait_ms * self._correction(request).factor(now_ms)
        return Prediction(wait_ms, first_token_ms, answer_ms, rate, uncorrected_wait_ms)

    def predict_wait_ms(
        self, request: Request, now_ms: float, *, can_start: bool
    ) -> float | None:
        """:returns: predicted time in the queue"""
        return self.predict(request, now_ms, can_start=can_start).wait_ms

    def latest_start_ms(self, request: Request) -> float:
        """:returns: time after which even the fastest run would be too late"""
        latest_ms = min(request.deadline_ms, self._caller_idle_deadline_ms(request))
        return latest_ms - self._service_times_of(request).fastest_ms(request)

    def expiry_failure(self, request: Request, now_ms: float) -> Failure:
        """:returns: failure of a request that can no longer be answered in time"""
        prediction = self.predict(request, now_ms, can_start=False)
        reason = Reason.DEADLINE_UNREACHABLE
        return self._refuse(reason, request, now_ms, prediction.wait_ms, prediction)

    def update_retry_after(
        self, request: Request, failure: Failure, now_ms: float
    ) -> Failure:
        """Set the retry delay to when upstreams will have capacity for the request.

        When a group of upstreams dies, all requests that ran there fail at once. With
        equal delays they would return as one burst to fewer upstreams.

        :returns: the failure, with the new delay if the drain rate is known
        """
        prediction = self.predict(request, now_ms, can_start=True)
        if prediction.tokens_per_ms <= 0:
            # Nothing has waited yet, so the drain rate is unknown.
            return failure
        wait_ms = prediction.wait_ms
        refusal = self._refuse(failure.reason, request, now_ms, wait_ms, prediction)
        return failure._replace(retry_after_ms=refusal.retry_after_ms)

    def note_queued(self, request: Request, now_ms: float) -> None:
        """Count a waiting request."""
        super().note_queued(request, now_ms)
        self._load_of(request, now_ms).add(request, now_ms)

    def note_unqueued(
        self, request: Request, now_ms: float, *, is_dispatched: bool
    ) -> None:
        """Remove a request that no longer waits and learn from its wait."""
        super().note_unqueued(request, now_ms, is_dispatched=is_dispatched)
        load = self._load_of(request, now_ms)
        load.discard(request, now_ms, is_dispatched=is_dispatched)
        predicted_ms = self._predicted_waits.pop(request.request_id, None)
        if predicted_ms is not None:
            # An expired or withdrawn request would have waited at least this long.
            waited_ms = now_ms - request.arrived_ms
            self._correction(request).learn(predicted_ms, waited_ms, now_ms)

    def note_first_token(
        self, request: Request, elapsed_ms: float, now_ms: float
    ) -> None:
        """Update the estimated time to the first token."""
        self._service_times_of(request).learn_first_token(request, elapsed_ms, now_ms)

    def note_answer(
        self, request: Request, n_tokens: int, elapsed_ms: float, now_ms: float
    ) -> None:
        """Update the estimated generation time."""
        self._service_times_of(request).learn_answer(
            request, n_tokens, elapsed_ms, now_ms
        )

    def _refuse(
        self,
        reason: Reason,
        request: Request,
        now_ms: float,
        wait_ms: float,
        prediction: Prediction,
    ) -> Failure:
        queue_class = queue_class_of(request)
        schedule = self._retry_schedules.get(queue_class)
        if schedule is None:
            schedule = self._retry_schedules[queue_class] = RetryAfterSchedule(
                self._random_state
            )
        rate = prediction.tokens_per_ms
        work_ms = request.n_kv_tokens / rate if rate > 0 else MAX_RETRY_AFTER_MS
        retry_after_ms = schedule.reserve(now_ms, wait_ms, work_ms)
        detail = self._describe(request, now_ms, prediction)
        return Failure(reason, Ran.NO, retry_after_ms, detail)

    def _describe(self, request: Request, now_ms: float, prediction: Prediction) -> str:
        """:returns: prediction behind a refusal, for the caller and the logs"""
        n_waiting = self._load_of(request, now_ms).n_requests
        caller_remaining_ms = (
            min(request.deadline_ms, self._caller_idle_deadline_ms(request)) - now_ms
        )
        return (
            f"{n_waiting} requests queued; predicted {prediction.wait_ms:.0f} ms in "
            f"the queue, {prediction.first_token_ms:.0f} ms to the first token, "
            f"{prediction.answer_ms:.0f} ms to the last; waited "
            f"{now_ms - request.arrived_ms:.0f} ms, caller times out in "
            f"{caller_remaining_ms:.0f} ms"
        )

    def _caller_idle_deadline_ms(self, request: Request) -> float:
        """Predict when the caller disconnects for lack of a token.

        Unlike the deadline, the idle timeout is a property of the caller's route. It
        is ignored for a prompt that even idle engines cannot prefill in time, as such a
        request could otherwise never be served.

        :returns: the time; infinity if the timeout is ignored
        """
        fastest_ms = self._service_times_of(request).fastest_ms(request)
        is_possible = request.arrived_ms + fastest_ms < request.next_token_deadline_ms
        return request.next_token_deadline_ms if is_possible else math.inf

    def _correction(self, request: Request) -> BiasCorrection:
        key = _CorrectionKey(queue_class_of(request), request.length_class)
        correction = self._corrections.get(key)
        if correction is None:
            correction = self._corrections[key] = BiasCorrection()
        return correction

    def _load_of(self, request: Request, now_ms: float) -> QueueClassLoad:
        key = queue_class_of(request)
        load = self._loads.get(key)
        if load is None:
            load = self._loads[key] = QueueClassLoad(now_ms)
        return load

    def _engines_per_prompt(self, model: str) -> _ModelEngines:
        """:returns: configured speed, and number of engines that may share a prompt"""
        figures, n_engines = self._engines.get(model, _NO_ENGINES)
        return _ModelEngines(figures, min(n_engines, MAX_HELPERS + 1))

    def _service_times_of(self, request: Request) -> ServiceTimes:
        target = queue_class_of(request).target
        times = self._service_times.get(target)
        if times is None:
            times = self._service_times[target] = ServiceTimes()
            times.set_engine_figures(*self._engines_per_prompt(target))
        return times


__all__ = ("PredictedWait", "Prediction")
