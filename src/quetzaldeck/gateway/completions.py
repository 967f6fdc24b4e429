"""Request handler for completion and chat calls."""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from typing import TYPE_CHECKING

import msgspec
import xxhash

from quetzaldeck.decisions import Request
from quetzaldeck.decisions.prefix import CHARACTERS_PER_TOKEN, hash_prefixes
from quetzaldeck.gateway.admission_check import AdmissionCheck
from quetzaldeck.gateway.body import read_body
from quetzaldeck.gateway.errors import RequestError
from quetzaldeck.gateway.parse import parse_call
from quetzaldeck.gateway.relay import Relay
from quetzaldeck.gateway.request_headers import read_deadline_ms, read_priority
from quetzaldeck.gateway.responses import (
    REQUEST_ID_HEADER,
    build_answer,
    build_chunk,
)
from quetzaldeck.gateway.stream_writer import StreamWriter
from quetzaldeck.http import json_response
from quetzaldeck.outcomes import Failure, Ran, Reason
from quetzaldeck.telemetry import log_event

if TYPE_CHECKING:
    from aiohttp import web

    from quetzaldeck.bundle import CustomerSpec
    from quetzaldeck.gateway.memory_pool import HeldMemory
    from quetzaldeck.gateway.state import GatewayState
    from quetzaldeck.upstreams import CompletionCall


class CompletionHandler:
    """Serves ``/v1/completions`` and ``/v1/chat/completions``."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state

    async def handle(
        self, http_request: web.Request, request_id: str
    ) -> web.StreamResponse:
        """Serve one call.

        :raises RequestError: if the call is refused or fails; the error holds the
            streamed response if it was started
        """
        with self._state.bodies.open() as held:
            return await self._handle(http_request, request_id, held)

    async def _handle(
        self, http_request: web.Request, request_id: str, held: HeldMemory
    ) -> web.StreamResponse:
        arrived_ms = self._state.clock.now_ms()
        headers = http_request.headers
        customer = self._state.customers.authenticate(headers.get("Authorization"))
        deadline_ms = arrived_ms + read_deadline_ms(headers, customer.deadline_ms)
        body = await read_body(http_request, self._state.settings.callers, held)
        is_chat = http_request.path.endswith("/chat/completions")
        call = parse_call(body, self._state.settings.callers, is_chat=is_chat)
        fingerprint = xxhash.xxh3_64_intdigest(body)
        # A request may run for minutes, and its raw body would double its memory.
        del body
        _check_allowed(customer, call)
        request = Request(
            request_id=request_id,
            customer=customer.name,
            model=call.model,
            adapter=call.adapter,
            n_prompt_tokens=max(1, len(call.prompt) // CHARACTERS_PER_TOKEN),
            max_output_tokens=call.max_output_tokens,
            priority=read_priority(headers, customer),
            weight=customer.weight,
            arrived_ms=arrived_ms,
            deadline_ms=deadline_ms,
            prefix_hashes=hash_prefixes(call.prompt),
            fingerprint=fingerprint,
            connection_idle_ms=self._state.settings.upstreams.idle_ms,
        )
        check = AdmissionCheck(
            self._state,
            headers.get("Authorization"),
            lambda customer: _check_allowed(customer, call),
        )
        return await self._serve(http_request, request, call, check)

    async def _serve(
        self,
        http_request: web.Request,
        request: Request,
        call: CompletionCall,
        check: AdmissionCheck,
    ) -> web.StreamResponse:
        remaining_ms = request.deadline_ms - self._state.clock.now_ms()
        async with self._state.dispatch.open_ticket(request) as ticket:
            relay = Relay(self._state, ticket, call, check)
            if call.is_streamed:
                writer = StreamWriter(
                    http_request,
                    self._state.settings.callers,
                    {REQUEST_ID_HEADER: request.request_id},
                )
                return await self._stream(writer, relay, request, call, remaining_ms)
            try:
                async with asyncio.timeout(remaining_ms / 1_000):
                    async with aclosing(relay.stream()) as texts:
                        async for _ in texts:
                            self._note_ttft(relay, request)
            except TimeoutError:
                failure = Failure(Reason.DEADLINE_EXCEEDED)
                raise RequestError(_with_execution_state(failure, relay)) from None
        return json_response(
            build_answer(call, request.request_id, relay.answer),
            headers={REQUEST_ID_HEADER: request.request_id},
        )

    async def _stream(
        self,
        writer: StreamWriter,
        relay: Relay,
        request: Request,
        call: CompletionCall,
        remaining_ms: float,
    ) -> web.StreamResponse:
        request_id = request.request_id
        try:
            with self._state.in_flight.translate_abort(request_id):
                async with (
                    asyncio.timeout(remaining_ms / 1_000),
                    writer,
                    aclosing(relay.stream()) as texts,
                ):
                    async for text in texts:
                        self._note_ttft(relay, request)
                        chunk = build_chunk(call, request_id, text, relay.finish_reason)
                        await writer.send(msgspec.json.encode(chunk))
                return await writer.finish()
        except TimeoutError:
            failure = Failure(Reason.DEADLINE_EXCEEDED)
        except RequestError as error:
            failure = error.failure
        except Exception as error:
            log_event("internal_error", level="ERROR", error=repr(error))
            failure = Failure(Reason.INTERNAL_ERROR, Ran.UNKNOWN)
        raise await writer.fail(_with_execution_state(failure, relay), request_id)

    def _note_ttft(self, relay: Relay, request: Request) -> None:
        if relay.has_noted_ttft:
            return
        relay.has_noted_ttft = True
        ttft_ms = self._state.clock.now_ms() - request.arrived_ms
        self._state.metrics.ttft_seconds.labels(request.length_class.value).observe(
            ttft_ms / 1_000
        )


def _with_execution_state(failure: Failure, relay: Relay) -> Failure:
    """:returns: ``failure``, with ``ran`` set to what is known of the execution"""
    if relay.answer.offset:
        return failure._replace(ran=Ran.YES)
    if relay.has_dispatched and failure.ran is Ran.NO:
        return failure._replace(ran=Ran.UNKNOWN)
    return failure


def _check_allowed(customer: CustomerSpec, call: CompletionCall) -> None:
    if call.model not in customer.models:
        detail = f"customer {customer.name!r} has no model {call.model!r}"
        raise RequestError(Failure(Reason.UNKNOWN_MODEL, detail=detail))
    if call.adapter and call.adapter not in customer.adapters:
        detail = f"customer {customer.name!r} has no adapter {call.adapter!r}"
        raise RequestError(Failure(Reason.UNKNOWN_MODEL, detail=detail))


__all__ = ("CompletionHandler",)
