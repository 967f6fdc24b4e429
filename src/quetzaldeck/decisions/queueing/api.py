"""Interface and registry of queue policies."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from quetzaldeck.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from quetzaldeck.decisions.queueing.passed_over import PassedOver
    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.tuning import Tuning

    PlaceFunction = Callable[[Request], tuple[str, ...] | None]


class QueuePolicy(ABC):
    """Holds admitted requests and chooses the next one to be placed."""

    def configure(self, tuning: Tuning) -> None:  # noqa: B027 - fifo has no tuning
        """Apply the tuning of the bundle's profile to requests pushed from now on."""

    @abstractmethod
    def push(self, request: Request) -> None:
        """Add a request."""

    @abstractmethod
    def requeue(self, request: Request) -> None:
        """Add a request whose attempt failed; it keeps its place in the order."""

    @abstractmethod
    def take(
        self, now_ms: float, place: PlaceFunction
    ) -> tuple[Request, tuple[str, ...]] | None:
        """Remove and return the next request that can be placed.

        :param place: returns the upstreams for a request, ``None`` if it cannot be
            placed now
        :returns: the request and its upstreams, ``None`` if no request can be placed
        """

    @abstractmethod
    def remove(self, request_id: str) -> Request | None:
        """:returns: the removed request, ``None`` if it was not queued"""

    def note_served_elsewhere(  # noqa: B027 - fifo has no shares
        self, target: str, customer: str, n_tokens: int
    ) -> None:
        """Note tokens that other VMs dispatched for a customer while requests waited.

        :param target: label of the queue; see ``share_target``
        """

    def pop_passed_over(self) -> list[PassedOver]:
        """:returns: requests overtaken since the last call, while VMs share service"""
        return []

    @abstractmethod
    def __iter__(self) -> Iterator[Request]:
        """:returns: the queued requests in unspecified order"""

    @abstractmethod
    def __len__(self) -> int:
        """:returns: number of queued requests"""


queue_policies: Registry[QueuePolicy] = Registry("queue policy")

__all__ = ("QueuePolicy", "queue_policies")
