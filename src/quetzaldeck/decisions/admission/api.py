"""Interface and registry of admission policies."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from quetzaldeck.decisions.scheduler_bounds import SchedulerBounds
from quetzaldeck.registry import Registry

if TYPE_CHECKING:
    import random

    from quetzaldeck.bundle.document import Bundle
    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.tuning import Tuning
    from quetzaldeck.outcomes import Failure


class AdmissionPolicy(ABC):
    """Refuses requests that cannot be answered in time, before they use resources.

    The scheduler notifies it of waiting requests and of the progress of attempts.

    :param random_state: source of jitter
    :param bounds: limits of the queue
    """

    def __init__(
        self, *, random_state: random.Random, bounds: SchedulerBounds | None = None
    ) -> None:
        self._random_state = random_state
        self._bounds = bounds or SchedulerBounds()

    def configure(  # noqa: B027 - BoundsOnly needs none
        self, bundle: Bundle, tuning: Tuning
    ) -> None:
        """Apply the engines of a bundle and the parameters of its profile."""

    @abstractmethod
    def check(
        self, request: Request, now_ms: float, *, can_start: bool
    ) -> Failure | None:
        """Decide whether to admit an arriving request.

        :param can_start: whether an upstream has capacity for it now
        :returns: the refusal, ``None`` to admit it
        """

    def predict_wait_ms(
        self, request: Request, now_ms: float, *, can_start: bool
    ) -> float | None:
        """:returns: predicted time in the queue; ``None`` if it predicts none

        :param can_start: whether an upstream has capacity for the request now
        """
        return None

    @abstractmethod
    def latest_start_ms(self, request: Request) -> float:
        """:returns: time after which a dispatch would be too late"""

    @abstractmethod
    def expiry_failure(self, request: Request, now_ms: float) -> Failure:
        """:returns: failure of a request whose latest start time has passed"""

    def update_retry_after(
        self, request: Request, failure: Failure, now_ms: float
    ) -> Failure:
        """Set the retry delay of a final failure whose request did not run.

        :param failure: why the attempts ended, with the delay set by the retry policy
        :returns: the failure, with a better delay if one can be predicted
        """
        return failure

    @abstractmethod
    def note_queued(self, request: Request, now_ms: float) -> None:
        """Record that a request starts to wait."""

    @abstractmethod
    def note_unqueued(
        self, request: Request, now_ms: float, *, is_dispatched: bool
    ) -> None:
        """Record that a request no longer waits."""

    def note_first_token(  # noqa: B027 - BoundsOnly does not learn
        self, request: Request, elapsed_ms: float, now_ms: float
    ) -> None:
        """Record the time between a dispatch and its first token."""

    def note_answer(  # noqa: B027 - BoundsOnly does not learn
        self, request: Request, n_tokens: int, elapsed_ms: float, now_ms: float
    ) -> None:
        """Record the time between the first token and the last."""


admission_policies: Registry[AdmissionPolicy] = Registry("admission policy")

__all__ = ("AdmissionPolicy", "admission_policies")
