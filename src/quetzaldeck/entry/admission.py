"""Admission of a request: its route, service, customer, priority and deadline.

The configuration may change while requests arrive, keys may be revoked, and the VM may
lose its connection to the platform's store. A request is admitted under one version of
the configuration and checked again before each send, see :func:`recheck_call`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.outcomes import Failure, Reason
from quetzaldeck.routing import RequestKind, Route

if TYPE_CHECKING:
    import random

    from quetzaldeck.entry.call_head import CallHead
    from quetzaldeck.entry.view import RoutingView

DEFAULT_DEADLINE_MS = 60_000.0
"""Applies if neither the caller nor the route sets a deadline."""

RETRY_ELSEWHERE_MS = 0.0
"""Retry-after time of a refusal whose cause affects this VM only: the caller may retry
at once, as a new connection goes to another VM."""


class Admitted(NamedTuple):
    """The outcome of admission for a request that may be served.

    :param service: the service chosen from the route's targets
    :param customer: ``""`` on a public route
    :param deadline_ms: monotonic time by which the response is due
    :param version: version of the configuration under which it was admitted
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
    service: str = "",
) -> Admitted | Failure:
    """Admit or refuse an incoming request.

    :param has_fresh_keys: whether the key list is recent enough to authenticate with
    :param service: service that may have run it already; ``""``: none
    :returns: the admitted request, or the refusal
    """
    route = view.routes.find(host, path)
    if route is None:
        return Failure(Reason.NOT_FOUND, detail=f"no route for {host} {path}")
    if service and not route.serves(service):
        if route.kind is RequestKind.STREAMING:
            detail = f"route {route.name} has no service {service} to go on at"
            return Failure(Reason.NO_UPSTREAM, detail=detail)
        service = ""
    customer = ""
    priority = route.priority
    if view.keys is not None and not route.is_public:
        if not has_fresh_keys:
            detail = "the API key list of this VM is too old to authenticate requests"
            return Failure(
                Reason.NO_BUNDLE, retry_after_ms=RETRY_ELSEWHERE_MS, detail=detail
            )
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
        service or choose_service(route, random_state),
        customer,
        priority,
        now_ms + min(bounds_ms),
        view.version,
    )


def recheck_call(
    view: RoutingView,
    admitted: Admitted,
    head: CallHead,
    host: str,
    path: str,
    *,
    may_have_run: bool = False,
) -> Failure | None:
    """Check a request again before it is sent, if the configuration has changed.

    While the request was queued its route may have been removed or pointed to another
    service, or its key revoked. A request that may have run already ends under the
    configuration that admitted it, unless its key is revoked.

    :param may_have_run: whether an upstream may have run it
    :returns: the refusal; ``None`` if it may be sent
    """
    if view.version == admitted.version:
        return None
    route = view.routes.find(host, path)
    if may_have_run:
        route = admitted.route
    if route is None or not route.serves(admitted.service):
        detail = (
            f"configuration version {view.version} removed the route or its service"
        )
        return Failure(
            Reason.NO_UPSTREAM, retry_after_ms=RETRY_ELSEWHERE_MS, detail=detail
        )
    if view.keys is not None and not route.is_public:
        owner = view.keys.get(head.api_key or "")
        if owner is None or owner.customer != admitted.customer:
            return Failure(Reason.UNKNOWN_CUSTOMER)
    return None


def choose_service(route: Route, random_state: random.Random) -> str:
    """:returns: one of the route's services, chosen at random by weight"""
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    if not sum(weights):
        return route.targets[0].service
    return random_state.choices(route.targets, weights)[0].service


__all__ = (
    "RETRY_ELSEWHERE_MS",
    "Admitted",
    "admit_call",
    "choose_service",
    "recheck_call",
)
