"""A route: which requests go to which services, and how they are handled."""

from __future__ import annotations

from typing import NamedTuple

from quetzaldeck.routing.kind import RequestKind


class WeightedService(NamedTuple):
    """A service that gets a share of a route's requests.

    :param weight: share, relative to the weights of the route's other services
    """

    service: str
    weight: float


class Route(NamedTuple):
    """One route of the configuration in force.

    :param host: host name that it applies to, in lower case
    :param prefix: path prefix that it applies to
    :param kind: whether its requests may be repeated and how they are answered
    :param timeout_ms: longest time that a caller has to wait
    :param target_latency_ms: latency target of an answer, or of the first event of a
        stream; a later one is worth less to the caller
    :param priority: 0 is the highest
    :param targets: services that may run its requests
    :param max_attempts: maximum number of upstreams that may run one request
    :param is_public: whether its requests need no API key
    :param is_resumable: whether a stream may be continued by another upstream
    :param max_gap_ms: longest gap between two events of a stream; 0: no limit
    :param has_prompt: whether its requests carry prompts for engines
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_ms: float
    target_latency_ms: float
    priority: int
    targets: tuple[WeightedService, ...]
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    max_gap_ms: float = 0.0
    has_prompt: bool = False

    @property
    def is_repeatable(self) -> bool:
        """:returns: whether a request that may have run already may be run again"""
        return self.kind is RequestKind.IDEMPOTENT or self.is_resumable

    def serves(self, service: str) -> bool:
        """:returns: whether the route allows a service to run its requests"""
        return any(target.service == service for target in self.targets)


__all__ = ("Route", "WeightedService")
