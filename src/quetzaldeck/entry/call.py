"""An admitted request, and the form of it that the scheduler works with."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from aiohttp import web
from multidict import CIMultiDict

from quetzaldeck.decisions import Request
from quetzaldeck.decisions.poison import compute_part_fingerprint
from quetzaldeck.entry.admission import Admitted, recheck_call
from quetzaldeck.entry.call_head import CallHead
from quetzaldeck.entry.handover_head import HandoverHead
from quetzaldeck.gateway.memory_pool import HeldMemory
from quetzaldeck.platform.caller_timeouts import stream_idle_timeout_ms
from quetzaldeck.routing import RequestKind, Route

if TYPE_CHECKING:
    from quetzaldeck.entry.view import RoutingView
    from quetzaldeck.outcomes import Failure

TOKENS_WITHOUT_PROMPT = 1
"""Token count of a request without a prompt: the least that token accounting allows."""


class Call(NamedTuple):
    """An admitted request with its complete body.

    :param request_id: assigned by this VM, because callers may reuse their own ids
    :param body: ``None`` if the request has none
    :param arrived_ms: monotonic time of its arrival
    :param fingerprint: hash of what a replica runs; equal for repeated requests
    :param headers: the caller's headers
    :param answer: memory of its answer
    :param handover: what the VM states that has handed it over; ``None``: the caller
        sent it to this VM
    """

    request_id: str
    http_request: web.Request
    head: CallHead
    admitted: Admitted
    body: bytes | None
    arrived_ms: float
    fingerprint: int
    headers: CIMultiDict[str]
    answer: HeldMemory
    handover: HandoverHead | None = None


def build_request(call: Call, view: RoutingView) -> Request:
    """:returns: the scheduler's description of a call"""
    admitted = call.admitted
    route = admitted.route
    service = view.services.get(admitted.service)
    is_engine = service is not None and service.engine is not None
    prompt = call.head.prompt if is_engine else None
    return Request(
        request_id=call.request_id,
        customer=admitted.customer,
        model=admitted.service if is_engine else "",
        service="" if is_engine else admitted.service,
        n_prompt_tokens=TOKENS_WITHOUT_PROMPT
        if prompt is None
        else prompt.n_prompt_tokens,
        max_output_tokens=0 if prompt is None else prompt.max_output_tokens,
        priority=admitted.priority,
        arrived_ms=call.arrived_ms,
        deadline_ms=admitted.deadline_ms,
        fingerprint=call.fingerprint,
        part_fingerprints=tuple(map(compute_part_fingerprint, call.head.shared_parts)),
        is_repeatable=route.is_repeatable,
        max_attempts=_max_attempts(call),
        target_ms=route.target_latency_ms,
        max_gap_ms=route.max_gap_ms,
        caller_idle_timeout_ms=_caller_idle_timeout_ms(route),
    )


def check_call(
    call: Call, view: RoutingView | None, *, may_have_run: bool
) -> Failure | None:
    """Check whether the configuration in force allows a call to be sent now.

    :param may_have_run: whether an upstream of this VM may have run it
    :returns: the refusal; ``None`` if it may be sent
    """
    if view is None:
        return None
    has_run_elsewhere = call.handover is not None and call.handover.may_have_run
    return recheck_call(
        view,
        call.admitted,
        call.head,
        call.http_request.host,
        call.http_request.rel_url.raw_path,
        may_have_run=may_have_run or has_run_elsewhere,
    )


def _max_attempts(call: Call) -> int | None:
    """:returns: attempts left that may run; ``None``: the VM's limit applies"""
    max_attempts = call.admitted.route.max_attempts
    if max_attempts is None or call.handover is None:
        return max_attempts
    return max(1, max_attempts - call.handover.n_attempts)


def _caller_idle_timeout_ms(route: Route) -> float:
    """:returns: time without a token after which the caller disconnects

    0: the caller waits until its deadline.
    """
    if route.kind is not RequestKind.STREAMING:
        return 0.0
    return stream_idle_timeout_ms(route.target_latency_ms, route.max_gap_ms)


__all__ = ("Call", "build_request", "check_call")
