"""The gateway's HTTP service."""

from __future__ import annotations

import asyncio
import uuid
from contextlib import suppress
from typing import TYPE_CHECKING, Any

from aiohttp import web

from quetzaldeck.clock import Clock
from quetzaldeck.decisions.admission.startup_wait import startup_wait_ms
from quetzaldeck.gateway.completions import CompletionHandler
from quetzaldeck.gateway.errors import RequestError
from quetzaldeck.gateway.memory_pool import ANSWER_MEMORY
from quetzaldeck.gateway.request_headers import MAX_DEADLINE_MS, read_deadline_ms
from quetzaldeck.gateway.responses import error_response
from quetzaldeck.gateway.services import ServiceHandler
from quetzaldeck.gateway.session import GatewaySession
from quetzaldeck.gateway.status import build_status
from quetzaldeck.http import (
    Bound,
    ConnectionGuard,
    HttpServiceBase,
    OpenConnections,
    RequestLimits,
    Stall,
    json_response,
    metrics_response,
)
from quetzaldeck.http.written import write_whole
from quetzaldeck.outcomes import Failure, Ran, Reason
from quetzaldeck.telemetry import log_event

RETRY_AFTER_MS = 1_000
"""Wait before a retry if this VM shuts down; the retry is sent to another VM."""

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp.typedefs import Handler as WebHandler
    from multidict import CIMultiDictProxy

    from quetzaldeck.gateway.settings import GatewaySettings

    Handler = Callable[[web.Request, str], Awaitable[web.StreamResponse]]


class GatewayService(HttpServiceBase):
    """Serves the requests of callers on one VM."""

    serves_callers = True

    def __init__(
        self, settings: GatewaySettings, *, clock: Clock | None = None, **kwargs: Any
    ) -> None:
        clock = clock or Clock()
        super().__init__(
            settings.listen,
            open_connections=OpenConnections(settings.process_limits, clock),
            **kwargs,
        )
        self._settings = settings
        self._session = GatewaySession(settings, clock)
        self._session.metrics.connections.watch(
            self.open_connections, names={Bound.HEAD_TIME: Stall.NO_REQUEST}
        )
        self._connection_guard_task: asyncio.Task[None] | None = None
        self._connection_guard = ConnectionGuard(
            lambda: self.connections,
            clock,
            request_timeout_ms=settings.callers.request_head_ms,
            read_timeout_ms=settings.callers.write_idle_ms,
            on_abort=self._note_aborted_connection,
        )

    @property
    def session(self) -> GatewaySession:
        """:returns: the session that handles the requests"""
        return self._session

    async def open(self) -> web.Application:
        """Start the session."""
        await self._session.__aenter__()
        self._connection_guard_task = asyncio.create_task(self._connection_guard.run())
        completions = self._report_errors(
            "model", CompletionHandler(self._session.state).handle
        )
        services = self._report_errors(
            "service", ServiceHandler(self._session.state).handle
        )
        application = web.Application(middlewares=[self._note_connection])
        application.add_routes(
            [
                web.post("/v1/completions", completions),
                web.post("/v1/chat/completions", completions),
                web.get("/v1/models", self._report_errors("models", self._list_models)),
                web.get("/healthz", self._healthz),
                web.get("/readyz", self._readyz),
                web.get("/v1/status", self._status),
                web.get("/metrics", self._metrics),
                web.route("*", "/{path:.*}", services),
            ]
        )
        return application

    def read_request_limits(self) -> RequestLimits:
        """:returns: the limits in the settings; see the base class"""
        bounds = self._settings.callers
        connections = self._settings.connections
        return RequestLimits(
            bounds.max_body_bytes,
            bounds.request_head_ms,
            max_empty_lines=connections.max_empty_lines,
            unread_answer_ms=connections.unread_answer_ms,
        )

    def refuse(self, headers: CIMultiDictProxy[str]) -> web.StreamResponse:
        """:returns: a response which states that the request was not run"""
        request_id = uuid.uuid4().hex
        detail = "no memory for another request in progress"
        failure = Failure(
            Reason.QUEUE_FULL, retry_after_ms=RETRY_AFTER_MS, detail=detail
        )
        self._note_failure(failure, request_id)
        response = error_response(failure, request_id)
        response.force_close()
        return response

    async def drain(self) -> int:
        """Shut down gracefully; see :class:`quetzaldeck.gateway.drain.Drain`."""
        n_aborted = await self._session.state.drain.run()
        await self._session.report_to_agent()
        return n_aborted

    def abort_drain(self) -> None:
        """Abort the requests that are still in progress."""
        self._session.state.drain.abort()

    async def close(self) -> None:
        """Close the session."""
        if self._connection_guard_task is not None:
            self._connection_guard_task.cancel()
        await self._session.__aexit__(None, None, None)

    @web.middleware
    async def _note_connection(
        self, request: web.Request, handler: WebHandler
    ) -> web.StreamResponse:
        self._connection_guard.note_request(request.protocol)
        return await handler(request)

    def _report_errors(
        self, kind: str, handler: Handler
    ) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
        """:returns: ``handler``, with errors turned into JSON error responses"""

        async def serve(request: web.Request) -> web.StreamResponse:
            request_id = uuid.uuid4().hex
            self._session.metrics.requests.labels(kind).inc()
            response: web.StreamResponse | None = None
            try:
                # A response that is still being written is in progress, too.
                state = self._session.state
                with state.in_flight.track(request_id), state.answers.open() as held:
                    request[ANSWER_MEMORY] = held
                    response = await respond(request, request_id)
                    with suppress(ConnectionError):
                        bounds = self._settings.callers
                        await write_whole(
                            request,
                            response,
                            max_ms=bounds.body_total_ms,
                            read_max_idle_ms=lambda: bounds.write_idle_ms,
                        )
            except RequestError as error:
                assert response is not None
                self._note_failure(error.failure, request_id)
                if request.transport is not None:
                    request.transport.abort()
            return response

        async def respond(request: web.Request, request_id: str) -> web.StreamResponse:
            metrics = self._session.metrics
            try:
                response = await self._serve(handler, request, request_id)
            except RequestError as error:
                self._note_failure(error.failure, request_id)
                if error.response is not None:
                    return error.response
                response = error_response(error.failure, request_id)
                self._close_if_leaving(response)
                return response
            except asyncio.CancelledError:
                failure = Failure(Reason.CALLER_GONE, Ran.UNKNOWN)
                self._note_failure(failure, request_id)
                raise
            metrics.completed.labels(kind).inc()
            log_event("request_answered", request=request_id, kind=kind)
            return response

        return serve

    async def _serve(
        self, handler: Handler, request: web.Request, request_id: str
    ) -> web.StreamResponse:
        state = self._session.state
        if state.drain.refuses:
            failure = Failure(Reason.SHUTTING_DOWN, retry_after_ms=RETRY_AFTER_MS)
            raise RequestError(failure)
        try:
            with state.in_flight.translate_abort(request_id):
                await self._wait_for_bundle(request)
                response = await handler(request, request_id)
        except RequestError:
            raise
        except Exception as error:
            log_event("internal_error", level="ERROR", error=repr(error))
            raise RequestError(Failure(Reason.INTERNAL_ERROR, Ran.UNKNOWN)) from error
        self._close_if_leaving(response)
        return response

    async def _wait_for_bundle(self, request: web.Request) -> None:
        """Let a request that reached a VM that just started wait for its bundle.

        A load balancer uses VMs that are not ready while most of its probes fail.
        """
        if self._session.state.bundle_version == 0:
            deadline_ms = read_deadline_ms(request.headers, MAX_DEADLINE_MS)
            await self._session.state.wait_for_bundle(startup_wait_ms(deadline_ms))

    def _close_if_leaving(self, response: web.StreamResponse) -> None:
        """Close the connection, so that the load balancer opens one to another VM.

        If it stayed open, the next request on it would reach a gateway that no longer
        accepts requests.
        """
        if self._session.state.drain.is_leaving and not response.prepared:
            response.force_close()

    def _note_aborted_connection(self, stall: Stall) -> None:
        self._session.metrics.connections_broken.labels(stall.value).inc()
        log_event("connection_broken", why=stall.value)

    def _note_failure(self, failure: Failure, request_id: str) -> None:
        labels = (failure.reason.value, failure.ran.value)
        self._session.metrics.failures.labels(*labels).inc()
        log_event(
            "request_failed",
            request=request_id,
            reason=failure.reason.value,
            ran=failure.ran.value,
            detail=failure.detail,
        )

    async def _list_models(
        self, request: web.Request, request_id: str
    ) -> web.StreamResponse:
        state = self._session.state
        customer = state.customers.authenticate(request.headers.get("Authorization"))
        data = [
            {"id": model.name, "object": "model", "version": model.version}
            for model in state.bundle.models
            if model.name in customer.models
        ]
        return json_response({"object": "list", "data": data})

    async def _healthz(self, request: web.Request) -> web.Response:
        return json_response({"status": "ok"})

    async def _readyz(self, request: web.Request) -> web.Response:
        state = self._session.state
        is_ready = state.bundle_version > 0 and not state.drain.is_leaving
        return json_response(
            {"bundle_version": state.bundle_version, "phase": state.drain.phase},
            status=200 if is_ready else 503,
        )

    async def _status(self, request: web.Request) -> web.Response:
        return json_response(build_status(self._session.state))

    async def _metrics(self, request: web.Request) -> web.Response:
        return metrics_response(self._session.metrics.registry)


__all__ = ("GatewayService",)
