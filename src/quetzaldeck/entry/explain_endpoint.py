"""Answers where a request would go now and why, without sending it."""

from __future__ import annotations

import math
import random
import uuid
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from quetzaldeck.clock.clock import MS_PER_SECOND
from quetzaldeck.entry.admission import Admitted, admit_call
from quetzaldeck.entry.call import Call, build_request
from quetzaldeck.entry.call_head import CallHead, PromptSize
from quetzaldeck.entry.explain_query import read_explain_query
from quetzaldeck.http import json_response
from quetzaldeck.outcomes import Failure, Reason
from quetzaldeck.telemetry import locate_error, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import web

    from quetzaldeck.decisions.explanations import Explanation
    from quetzaldeck.entry.explain_query import ExplainQuery
    from quetzaldeck.entry.state import EntryState
    from quetzaldeck.entry.view import RoutingView

EXPLAIN_PATH = "/v1/explain"

MIN_INTERVAL_MS = 500.0
"""Time between two answers: each takes the time of several placements from the requests
of callers."""

_NOT_KNOWN = frozenset((Reason.NOT_FOUND, Reason.UNKNOWN_CUSTOMER))


class ExplainEndpoint:
    """Explains placements of one VM, a few a second at most.

    :param get_state: returns the state of the VM; raises ``RuntimeError`` before it has
        one
    """

    def __init__(self, get_state: Callable[[], EntryState]) -> None:
        self._get_state = get_state
        self._next_ms = -math.inf

    async def handle(self, http_request: web.Request) -> web.Response:
        """:returns: the explanation as JSON, or an error"""
        try:
            query = read_explain_query(http_request.query)
        except ValueError as error:
            return _error(HTTPStatus.BAD_REQUEST, str(error))
        try:
            state = self._get_state()
        except RuntimeError:
            return _error(HTTPStatus.SERVICE_UNAVAILABLE, "this VM is starting")
        view = state.view
        if view is None:
            detail = "this VM has not loaded a configuration yet"
            return _error(HTTPStatus.SERVICE_UNAVAILABLE, detail)
        now_ms = state.clock.now_ms()
        if now_ms < self._next_ms:
            retry_after_s = math.ceil((self._next_ms - now_ms) / MS_PER_SECOND)
            return _error(
                HTTPStatus.TOO_MANY_REQUESTS,
                f"this VM explains a placement every {MIN_INTERVAL_MS:.0f} ms at most",
                headers={"Retry-After": str(retry_after_s)},
            )
        self._next_ms = now_ms + MIN_INTERVAL_MS
        return await _explain(state, view, query, http_request)


async def _explain(
    state: EntryState,
    view: RoutingView,
    query: ExplainQuery,
    http_request: web.Request,
) -> web.Response:
    key = _find_key(view, query.customer)
    if query.customer and view.keys is not None and key is None:
        detail = f"no customer {query.customer!r} has an API key in this configuration"
        return _error(HTTPStatus.NOT_FOUND, detail)
    prompt = PromptSize(query.n_prompt_tokens, query.max_output_tokens)
    head = CallHead("", key, None, prompt)
    arrived_ms = state.clock.now_ms()
    admitted = admit_call(
        view,
        head,
        query.host,
        query.path,
        now_ms=arrived_ms,
        has_fresh_keys=state.has_fresh_keys,
        random_state=_copy_random_state(state.random_state),
    )
    answer = _describe_vm(state, view)
    if state.drain.refuses:
        admitted = Failure(Reason.SHUTTING_DOWN)
    if isinstance(admitted, Failure):
        if admitted.reason in _NOT_KNOWN:
            detail = admitted.detail or "the route needs a customer with an API key"
            return _error(HTTPStatus.NOT_FOUND, detail)
        refusal = {"outcome": "refused", "failure": _describe_failure(admitted)}
        return json_response(answer | refusal)
    call = Call(
        uuid.uuid4().hex,
        http_request,
        head,
        admitted,
        body=None,
        arrived_ms=arrived_ms,
        fingerprint=0,
        headers=http_request.headers.copy(),
        answer=state.answers.open(),
    )
    request = build_request(call, view)
    try:
        explanation = await state.dispatch.explain(request)
    except Exception as error:
        detail = locate_error(error)
        log_event("explanation_failed", level="ERROR", error=detail)
        return _error(HTTPStatus.INTERNAL_SERVER_ERROR, detail)
    answer |= _describe_request(admitted, query)
    return json_response(answer | _describe_explanation(explanation))


def _find_key(view: RoutingView, customer: str) -> str | None:
    """:returns: an API key of a customer; ``None`` if it has none"""
    keys = view.keys or {}
    return next((key for key in keys if keys[key].customer == customer), None)


def _copy_random_state(original: random.Random) -> random.Random:
    copied = random.Random()
    copied.setstate(original.getstate())
    return copied


def _describe_vm(state: EntryState, view: RoutingView) -> dict[str, Any]:
    return {
        "vm": state.settings.vm,
        "availability_zone": state.settings.availability_zone,
        "version": view.version,
        "fleet_state_age_ms": state.belief.age_ms(state.clock.uptime_ms()),
        "holds_for": "this VM at the moment of the answer",
    }


def _describe_request(admitted: Admitted, query: ExplainQuery) -> dict[str, Any]:
    return {
        "route": admitted.route.name,
        "customer": admitted.customer,
        "priority": admitted.priority,
        "n_prompt_tokens": query.n_prompt_tokens,
        "max_output_tokens": query.max_output_tokens,
    }


def _describe_failure(failure: Failure) -> dict[str, Any]:
    return {
        "reason": failure.reason.value,
        "detail": failure.detail,
        "retry_after_ms": failure.effective_retry_after_ms,
    }


def _describe_explanation(explanation: Explanation) -> dict[str, Any]:
    failure = explanation.failure
    described = explanation._asdict()
    described["failure"] = None if failure is None else _describe_failure(failure)
    described["candidates"] = [item._asdict() for item in explanation.candidates]
    return described


def _error(
    status: HTTPStatus, detail: str, *, headers: dict[str, str] | None = None
) -> web.Response:
    return json_response({"error": detail}, status=status, headers=headers)


__all__ = ("EXPLAIN_PATH", "MIN_INTERVAL_MS", "ExplainEndpoint")
