"""Request handler for calls of plain services."""

from __future__ import annotations

import asyncio
import hashlib
from typing import TYPE_CHECKING

from aiohttp import web

from quetzaldeck.decisions import Request
from quetzaldeck.decisions.poison import compute_fingerprint
from quetzaldeck.exchange.claim_messages import ClaimRequest
from quetzaldeck.gateway.admission_check import AdmissionCheck
from quetzaldeck.gateway.body import read_body
from quetzaldeck.gateway.claimed_call import ClaimedCall, new_claim_request_id
from quetzaldeck.gateway.errors import RequestError
from quetzaldeck.gateway.memory_pool import ANSWER_MEMORY
from quetzaldeck.gateway.request_headers import read_deadline_ms, read_idempotency_key
from quetzaldeck.gateway.responses import REQUEST_ID_HEADER
from quetzaldeck.gateway.service_path import may_repeat, strip_prefix
from quetzaldeck.gateway.service_run import ServiceRun
from quetzaldeck.outcomes import Failure, Ran, Reason
from quetzaldeck.upstreams import ServiceCall
from quetzaldeck.upstreams.http_service import HOP_BY_HOP

if TYPE_CHECKING:
    from quetzaldeck.bundle import CustomerSpec, ServiceSpec
    from quetzaldeck.gateway.memory_pool import HeldMemory
    from quetzaldeck.gateway.state import GatewayState
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
        with self._state.bodies.open() as held:
            return await self._handle(http_request, request_id, held)

    async def _handle(
        self, http_request: web.Request, request_id: str, held: HeldMemory
    ) -> web.StreamResponse:
        arrived_ms = self._state.clock.now_ms()
        headers = http_request.headers
        customer = self._state.customers.authenticate(headers.get("Authorization"))
        service = self._find_allowed_service(customer, http_request.path)
        path = strip_prefix(service, http_request.raw_path)
        is_repeatable = may_repeat(service, http_request.method, path)
        key = read_idempotency_key(headers)
        if not is_repeatable and not key:
            raise RequestError(Failure(Reason.KEY_REQUIRED))
        deadline_ms = arrived_ms + read_deadline_ms(headers, service.deadline_ms)
        body = await read_body(http_request, self._state.settings.callers, held)
        forwarded_headers = (
            *_list_forwarded_headers(http_request),
            (REQUEST_ID_HEADER, request_id),
        )
        call = ServiceCall(
            http_request.method,
            path,
            forwarded_headers,
            body,
            http_request[ANSWER_MEMORY].reserve,
        )
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
            connection_idle_ms=self._state.settings.upstreams.idle_ms,
        )
        check = self._build_check(http_request, service)
        if is_repeatable:
            answer = await self._serve(request, call, check)
        else:
            answer = await self._serve_once(request, call, check, key)
        return web.Response(
            status=answer.status,
            body=answer.body,
            headers=[*answer.headers, (REQUEST_ID_HEADER, request_id)],
        )

    def _find_allowed_service(self, customer: CustomerSpec, path: str) -> ServiceSpec:
        """:raises RequestError: if there is none that the customer may use"""
        service = self._find_service(path)
        if service is None or service.name not in customer.services:
            raise RequestError(Failure(Reason.NOT_FOUND))
        return service

    def _build_check(
        self, http_request: web.Request, service: ServiceSpec
    ) -> AdmissionCheck:
        def check_allowed(customer: CustomerSpec) -> None:
            found = self._find_allowed_service(customer, http_request.path)
            if found.name != service.name:
                raise RequestError(Failure(Reason.NOT_FOUND))

        authorization = http_request.headers.get("Authorization")
        return AdmissionCheck(self._state, authorization, check_allowed)

    def _find_service(self, path: str) -> ServiceSpec | None:
        for service in self._state.bundle.services:
            if path == service.prefix or path.startswith(service.prefix + "/"):
                return service
        return None

    async def _serve_once(
        self, request: Request, call: ServiceCall, check: AdmissionCheck, key: str
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
        running = asyncio.create_task(self._run_claimed(request, call, check, claimed))
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
        self,
        request: Request,
        call: ServiceCall,
        check: AdmissionCheck,
        claimed: ClaimedCall,
    ) -> ServiceAnswer:
        async with claimed:
            if claimed.answer is not None:
                return claimed.answer
            answer = await self._serve(request, call, check, claimed)
            claimed.store_answer(answer)
            return answer

    async def _serve(
        self,
        request: Request,
        call: ServiceCall,
        check: AdmissionCheck,
        claimed: ClaimedCall | None = None,
    ) -> ServiceAnswer:
        remaining_ms = request.deadline_ms - self._state.clock.now_ms()
        run: ServiceRun | None = None
        try:
            async with (
                asyncio.timeout(remaining_ms / 1_000),
                self._state.dispatch.open_ticket(request) as ticket,
            ):
                run = ServiceRun(self._state, ticket, call, check, claimed)
                return await run.run()
        except TimeoutError:
            ran = Ran.UNKNOWN if run is not None and run.has_dispatched else Ran.NO
            raise RequestError(Failure(Reason.DEADLINE_EXCEEDED, ran)) from None


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
