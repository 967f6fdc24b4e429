"""Decides at the door: which route a request takes, whose it is, and its terms.

Load pattern: a configuration that changes while requests arrive, keys that are taken
away, a VM that is cut off from the source of its belief. What is decided here rests on
one configuration; it is looked at again before each send, see :func:`check_again`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.outcomes import Failure, Reason
from quetzaldeck.routing import Route

if TYPE_CHECKING:
    import random

    from quetzaldeck.entry.call_head import CallHead
    from quetzaldeck.entry.view import RoutingView

DEFAULT_DEADLINE_MS = 60_000.0
"""For a caller that does not say how long it waits, on a route without a bound."""

ELSEWHERE_MS = 0.0
"""When to come back after a refusal for a reason that lies in this VM alone: at once,
for a new connection leads to another one."""


class Admitted(NamedTuple):
    """A request that may be served.

    :param service: service that was chosen for it among the route's
    :param customer: ``""`` on a public route
    :param deadline_ms: monotonic time by which it has to be answered
    :param version: version of the configuration that this rests on
    """

    route: Route
    service: str
    customer: str
    priority: int
    deadline_ms: float
    version: int


def admit_call(
    view: RoutingView,
    head: CallHead,
    host: str,
    path: str,
    *,
    now_ms: float,
    has_fresh_keys: bool,
    random_state: random.Random,
) -> Admitted | Failure:
    """Decide on a request that arrived.

    :param has_fresh_keys: whether the list of keys is fresh enough
    :returns: its terms, or the refusal
    """
    route = view.routes.find(host, path)
    if route is None:
        return Failure(Reason.NOT_FOUND, detail=f"no route for {host} {path}")
    customer = ""
    priority = route.priority
    if view.keys is not None and not route.is_public:
        if not has_fresh_keys:
            detail = "this VM cannot confirm keys at the moment"
            return Failure(Reason.NO_BUNDLE, retry_after_ms=ELSEWHERE_MS, detail=detail)
        owner = view.keys.get(head.api_key or "")
        if owner is None:
            return Failure(Reason.UNKNOWN_CUSTOMER)
        customer = owner.customer
        priority = route.priority if owner.priority is None else owner.priority
    bounds_ms = [route.timeout_ms or DEFAULT_DEADLINE_MS]
    if head.deadline_ms is not None:
        bounds_ms.append(head.deadline_ms)
    return Admitted(
        route,
        choose_service(route, random_state),
        customer,
        priority,
        now_ms + min(bounds_ms),
        view.version,
    )


def check_again(
    view: RoutingView, admitted: Admitted, head: CallHead, host: str, path: str
) -> Failure | None:
    """Look at a request again before it is sent, if the configuration has changed.

    One that waited may belong to a route that is gone or moved, or to a key that was
    taken away meanwhile.

    :returns: the refusal; ``None``: it may be sent
    """
    if view.version == admitted.version:
        return None
    route = view.routes.find(host, path)
    if route is None or not route.serves(admitted.service):
        detail = f"the route changed with version {view.version}"
        return Failure(Reason.NO_UPSTREAM, retry_after_ms=ELSEWHERE_MS, detail=detail)
    if view.keys is not None and not route.is_public:
        owner = view.keys.get(head.api_key or "")
        if owner is None or owner.customer != admitted.customer:
            return Failure(Reason.UNKNOWN_CUSTOMER)
    return None


def choose_service(route: Route, random_state: random.Random) -> str:
    """:returns: one of the route's services, by their weights"""
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    if not sum(weights):
        return route.targets[0].service
    return random_state.choices(route.targets, weights)[0].service


__all__ = ("ELSEWHERE_MS", "Admitted", "admit_call", "check_again", "choose_service")
