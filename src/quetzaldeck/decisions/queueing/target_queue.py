"""The queue before one model or plain service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.queueing.start_time_fair_queue import StartTimeFairQueue

if TYPE_CHECKING:
    from collections.abc import Iterator

    from quetzaldeck.decisions.queueing.api import PlaceFunction
    from quetzaldeck.decisions.queueing.start_time_fair_queue import Placed
    from quetzaldeck.decisions.request import Request

LOWER_SHARE = 0.125
"""Tokens that each lower priority may have for each token of the higher ones."""

MAX_CREDIT_TOKENS = 200_000.0
"""Bound of what a priority saves up while it cannot be placed, so that it does not
take the fleet for minutes once it can."""


class TargetQueue:
    """Priorities of the bundle, 0 first, and a rota of customers in each.

    A lower priority has a guaranteed share while higher ones have work: without it,
    a customer of high priority that keeps its queue full would stop all others.
    """

    def __init__(self) -> None:
        self._rotas: dict[int, StartTimeFairQueue] = {}
        self._credits: dict[int, float] = {}

    def __len__(self) -> int:
        return sum(len(rota) for rota in self._rotas.values())

    def __iter__(self) -> Iterator[Request]:
        for rota in self._rotas.values():
            yield from rota

    def push(self, request: Request, due_ms: float) -> None:
        """Add a request that is due at ``due_ms``."""
        rota = self._rotas.get(request.priority)
        if rota is None:
            rota = self._rotas[request.priority] = StartTimeFairQueue()
        rota.push(request, due_ms)

    def discard(self, request: Request) -> None:
        """Take a request out that is not served."""
        rota = self._rotas[request.priority]
        rota.discard(request)
        if not rota:
            self._forget(request.priority)

    def take(self, place: PlaceFunction) -> Placed | None:
        """:returns: the next request that can be placed"""
        for priority in self._order():
            placed = self._rotas[priority].take(place)
            if placed is not None:
                self._charge(priority, placed.request)
                return placed
        return None

    def _order(self) -> list[int]:
        """:returns: priorities with work: those with earned credit, then 0 to 9"""
        ordered = sorted(self._rotas)
        earned = [p for p in ordered if self._credits.get(p, 0.0) > 0.0]
        return earned + [p for p in ordered if p not in earned]

    def _charge(self, priority: int, request: Request) -> None:
        n_tokens = request.n_kv_tokens
        if self._credits.get(priority, 0.0) > 0.0:
            self._credits[priority] -= n_tokens
        for other in self._rotas:
            if other > priority:
                earned = self._credits.get(other, 0.0) + LOWER_SHARE * n_tokens
                self._credits[other] = min(MAX_CREDIT_TOKENS, earned)
        if not self._rotas[priority]:
            self._forget(priority)

    def _forget(self, priority: int) -> None:
        del self._rotas[priority]
        self._credits.pop(priority, None)


__all__ = ("LOWER_SHARE", "MAX_CREDIT_TOKENS", "TargetQueue")
