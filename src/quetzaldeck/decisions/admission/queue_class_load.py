"""Tokens that are queued ahead of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.decisions.estimation import DrainRate
from quetzaldeck.decisions.queueing.fair import MS_PER_TOKEN
from quetzaldeck.decisions.request import MAX_MEDIUM_TOKENS, LengthClass

if TYPE_CHECKING:
    from quetzaldeck.decisions.request import Request

_CLASS_INDICES = {length_class: index for index, length_class in enumerate(LengthClass)}


class QueueClass(NamedTuple):
    """Requests for one target that wait for the same capacity.

    :param target: model name, or key of a plain service
    :param is_long: whether their prompts exceed ``MAX_MEDIUM_TOKENS``
    """

    target: str
    is_long: bool


def queue_class_of(request: Request) -> QueueClass:
    """:returns: the queue class of a request"""
    target = f"service {request.service}" if request.service else request.model
    return QueueClass(target, request.n_prompt_tokens > MAX_MEDIUM_TOKENS)


class _CustomerTokens:
    """Queued tokens of one customer at one priority, by length class."""

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.tokens = [0] * len(_CLASS_INDICES)
        self.counts = [0] * len(_CLASS_INDICES)


class _PriorityLevel:
    """Queued tokens of one priority, by length class and by customer."""

    def __init__(self) -> None:
        self.customers: dict[str, _CustomerTokens] = {}
        self.tokens = [0] * len(_CLASS_INDICES)
        self.weight = 0.0


class QueueClassLoad:
    """Counts the queued tokens of a queue class.

    The cost of each method is independent of the number of customers.

    :param now_ms: time of creation, from which the drain rate is measured
    """

    def __init__(self, now_ms: float) -> None:
        self.drain = DrainRate(now_ms)
        self._levels: dict[int, _PriorityLevel] = {}
        self._n_requests = 0

    @property
    def n_requests(self) -> int:
        """:returns: number of waiting requests"""
        return self._n_requests

    def add(self, request: Request, now_ms: float) -> None:
        """Count a waiting request."""
        level = self._levels.setdefault(request.priority, _PriorityLevel())
        own = level.customers.get(request.customer)
        if own is None:
            own = level.customers[request.customer] = _CustomerTokens(request.weight)
            level.weight += own.weight
        index = _CLASS_INDICES[request.length_class]
        own.counts[index] += 1
        own.tokens[index] += request.n_kv_tokens
        level.tokens[index] += request.n_kv_tokens
        self._n_requests += 1
        self.drain.note_backlog(now_ms, is_backlogged=True)

    def discard(self, request: Request, now_ms: float, *, is_dispatched: bool) -> None:
        """Remove a request that no longer waits; a dispatch counts as drained."""
        if is_dispatched:
            self.drain.note_dispatched(request.n_kv_tokens, now_ms)
        level = self._levels[request.priority]
        own = level.customers[request.customer]
        index = _CLASS_INDICES[request.length_class]
        own.counts[index] -= 1
        own.tokens[index] -= request.n_kv_tokens
        level.tokens[index] -= request.n_kv_tokens
        if not any(own.counts):
            del level.customers[request.customer]
            level.weight -= own.weight
        if not level.customers:
            del self._levels[request.priority]
        self._n_requests -= 1
        self.drain.note_backlog(now_ms, is_backlogged=self._n_requests > 0)

    def tokens_ahead(self, request: Request, stretch: float, rate: float) -> float:
        """Estimate the tokens that will be served before a request that arrives now.

        Includes all tokens of higher priorities. At its own priority, includes the
        tokens of its customer that are due before it, scaled up by the weights of the
        customers that share the queue with it, up to all tokens queued there.

        :param stretch: stretch of the queue. A longer request that arrived earlier is
            served first if it has waited longer than the difference of the due times
        :param rate: tokens of the queue class that are dispatched in a millisecond
        :returns: number of tokens
        """
        ahead = 0.0
        for priority, level in self._levels.items():
            if priority < request.priority:
                ahead += sum(level.tokens)
            elif priority == request.priority:
                ahead += _tokens_ahead_in_level(level, request, stretch, rate)
        return ahead


def _tokens_ahead_in_level(
    level: _PriorityLevel, request: Request, stretch: float, rate: float
) -> float:
    own = level.customers.get(request.customer)
    weight = level.weight
    n_own = 0.0
    if own is None:
        weight += request.weight
    else:
        n_own = _tokens_due_before(own, request, stretch, rate * own.weight / weight)
    scaled = (n_own + request.n_kv_tokens) * weight / request.weight
    return min(float(sum(level.tokens)), scaled - request.n_kv_tokens)


def _tokens_due_before(
    own: _CustomerTokens, request: Request, stretch: float, rate: float
) -> float:
    """:returns: queued tokens of the customer due before a request arriving now"""
    n_classes = _CLASS_INDICES[request.length_class] + 1
    before = float(sum(own.tokens[:n_classes]))
    wait_ms = sum(own.tokens) / rate if rate > 0 else 0.0
    for n_tokens, n_requests in zip(
        own.tokens[n_classes:], own.counts[n_classes:], strict=True
    ):
        if n_requests and wait_ms > 0:
            n_more = n_tokens / n_requests - request.n_prompt_tokens
            due_gap_ms = stretch * n_more * MS_PER_TOKEN
            before += n_tokens * min(1.0, max(0.0, 1.0 - due_gap_ms / wait_ms))
    return before


__all__ = ("QueueClass", "QueueClassLoad", "queue_class_of")
