"""Request handler for calls of plain services."""

from __future__ import annotations

import asyncio
import hashlib
from typing import TYPE_CHECKING

from aiohttp import web

from quetzaldeck.decisions import AttemptEnd, Request
from quetzaldeck.decisions.poison import compute_fingerprint
from quetzaldeck.exchange.claim_messages import ClaimRequest
from quetzaldeck.gateway.body import read_body
from quetzaldeck.gateway.claimed_call import ClaimedCall, new_claim_request_id
from quetzaldeck.gateway.errors import RequestError
from quetzaldeck.gateway.request_headers import read_deadline_ms, read_idempotency_key
from quetzaldeck.gateway.responses import REQUEST_ID_HEADER
from quetzaldeck.gateway.service_path import may_repeat, strip_prefix
from quetzaldeck.outcomes import Failure, Ran, Reason
from quetzaldeck.upstreams import ServiceCall, UpstreamError
from quetzaldeck.upstreams.http_service import HOP_BY_HOP

if TYPE_CHECKING:
    from quetzaldeck.bundle import ServiceSpec
    from quetzaldeck.decisions import Dispatch
    from quetzaldeck.gateway.state import GatewayState
    from quetzaldeck.gateway.ticket import Ticket
    from quetzaldeck.upstreams import ServiceAnswer

_NOT_FORWARDED = HOP_BY_HOP | {"authorization", REQUEST_ID_HEADER.lower()}


class ServiceHandler:
    """Serves the path prefixes of the bundle's plain services."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state

    async def handle(
        self, http_request: web.Request, request_id: str
    ) -> web.StreamResponse:
        """Serve one call.

        :raises RequestError: if the call is refused or fails
        """
        arrived_ms = self._state.clock.now_ms()
        headers = http_request.headers
        customer = self._state.customers.authenticate(headers.get("Authorization"))
        service = self._find_service(http_request.path)
        if service is None or service.name not in customer.services:
            raise RequestError(Failure(Reason.NOT_FOUND))
        path = strip_prefix(service, http_request.raw_path)
        is_repeatable = may_repeat(service, http_request.method, path)
        key = read_idempotency_key(headers)
        if not is_repeatable and not key:
            raise RequestError(Failure(Reason.KEY_REQUIRED))
        deadline_ms = arrived_ms + read_deadline_ms(headers, service.deadline_ms)
        body = await read_body(http_request, self._state.settings.callers)
        forwarded_headers = (
            *_list_forwarded_headers(http_request),
            (REQUEST_ID_HEADER, request_id),
        )
        call = ServiceCall(http_request.method, path, forwarded_headers, body)
        request = Request(
            request_id=request_id,
            customer=customer.name,
            model="",
            service=service.name,
            n_prompt_tokens=1,
            max_output_tokens=1,
            priority=service.priority,
            weight=customer.weight,
            arrived_ms=arrived_ms,
            deadline_ms=deadline_ms,
            fingerprint=compute_fingerprint(
                customer.name, service.name, http_request.method, path, body
            ),
            is_repeatable=is_repeatable,
        )
        if is_repeatable:
            answer = await self._serve(request, call)
        else:
            answer = await self._serve_once(request, call, key)
        return web.Response(
            status=answer.status,
            body=answer.body,
            headers=[*answer.headers, (REQUEST_ID_HEADER, request_id)],
        )

    def _find_service(self, path: str) -> ServiceSpec | None:
        for service in self._state.bundle.services:
            if path == service.prefix or path.startswith(service.prefix + "/"):
                return service
        return None

    async def _serve_once(
        self, request: Request, call: ServiceCall, key: str
    ) -> ServiceAnswer:
        """Serve a call that may not be repeated, or replay its earlier answer."""
        claim_request = ClaimRequest(
            new_claim_request_id(),
            request.customer,
            key,
            _digest(request.service, call),
            request.deadline_ms - self._state.clock.now_ms(),
        )
        claimed = ClaimedCall(self._state, self._state.agent_client, claim_request)
        running = asyncio.create_task(self._run_claimed(request, call, claimed))
        try:
            return await asyncio.shield(running)
        except asyncio.CancelledError:
            is_aborted = self._state.in_flight.is_aborted(request.request_id)
            if claimed.may_have_run and not is_aborted:
                self._state.detached_calls.add(request.request_id, running)
            else:
                running.cancel()
                await asyncio.wait({running})
            raise

    async def _run_claimed(
        self, request: Request, call: ServiceCall, claimed: ClaimedCall
    ) -> ServiceAnswer:
        async with claimed:
            if claimed.answer is not None:
                return claimed.answer
            answer = await self._serve(request, call, claimed)
            claimed.store_answer(answer)
            return answer

    async def _serve(
        self, request: Request, call: ServiceCall, claimed: ClaimedCall | None = None
    ) -> ServiceAnswer:
        remaining_ms = request.deadline_ms - self._state.clock.now_ms()
        dispatch: Dispatch | None = None
        try:
            async with (
                asyncio.timeout(remaining_ms / 1_000),
                self._state.dispatch.open_ticket(request) as ticket,
            ):
                while True:
                    dispatch = await ticket.next_dispatch()
                    answer = await self._run_attempt(ticket, dispatch, call, claimed)
                    if answer is not None:
                        return answer
        except TimeoutError:
            ran = Ran.NO if dispatch is None else Ran.UNKNOWN
            raise RequestError(Failure(Reason.DEADLINE_EXCEEDED, ran)) from None

    async def _run_attempt(
        self,
        ticket: Ticket,
        dispatch: Dispatch,
        call: ServiceCall,
        claimed: ClaimedCall | None,
    ) -> ServiceAnswer | None:
        name = dispatch.upstreams[0]
        remaining_ms = ticket.request.deadline_ms - self._state.clock.now_ms()
        if claimed is not None:
            claimed.begin_dispatch()
        try:
            async with self._state.connections.use_service(name) as upstream:
                answer = await upstream.call(call, remaining_ms)
        except UpstreamError as error:
            if claimed is not None and not error.may_have_run:
                claimed.undo_dispatch()
            self._state.metrics.attempt_faults.labels(error.fault.value).inc()
            await ticket.end_attempt(
                AttemptEnd(
                    dispatch.attempt_id,
                    error.fault,
                    may_have_run=error.may_have_run,
                    is_gone=error.is_gone,
                )
            )
            return None
        await ticket.end_attempt(AttemptEnd(dispatch.attempt_id))
        return answer


def _digest(service: str, call: ServiceCall) -> str:
    """:returns: digest of a call, to detect the reuse of its key for another call"""
    head = f"{service} {call.method} {call.path}\n".encode()
    return hashlib.blake2b(head + call.body, digest_size=16).hexdigest()


def _list_forwarded_headers(http_request: web.Request) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, value)
        for name, value in http_request.headers.items()
        if name.lower() not in _NOT_FORWARDED
    )


__all__ = ("ServiceHandler",)
