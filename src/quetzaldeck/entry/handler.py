"""Serves one request of a caller, from its headers to the end of its response."""

from __future__ import annotations

import asyncio
import uuid
from typing import TYPE_CHECKING

from aiohttp import web
from multidict import CIMultiDict

from quetzaldeck.clock.clock import MS_PER_SECOND
from quetzaldeck.decisions import classify_length
from quetzaldeck.decisions.admission.startup_wait import (
    STARTUP_RETRY_AFTER_MS,
    startup_wait_ms,
)
from quetzaldeck.decisions.poison import compute_fingerprint
from quetzaldeck.entry.admission import RETRY_ELSEWHERE_MS, admit_call
from quetzaldeck.entry.call import Call, build_request
from quetzaldeck.entry.call_run import CallRun
from quetzaldeck.entry.error_response import error_response, http_status
from quetzaldeck.entry.handover.offer import HandoverOffer
from quetzaldeck.entry.handover_head import (
    FAILURE,
    format_failure,
    read_handover_head,
    remove_handover_fields,
)
from quetzaldeck.entry.sending import Evidence
from quetzaldeck.gateway.body import read_body
from quetzaldeck.gateway.errors import RequestError
from quetzaldeck.gateway.settings import CallerBounds
from quetzaldeck.http.socket_wait import read_wait_ms
from quetzaldeck.http.written import write_whole
from quetzaldeck.outcomes import Failure, Ran, Reason
from quetzaldeck.platform import CALL_ID, read_call_head
from quetzaldeck.telemetry import locate_error, log_event

if TYPE_CHECKING:
    from multidict import CIMultiDictProxy

    from quetzaldeck.entry.admission import Admitted
    from quetzaldeck.entry.call_head import CallHead
    from quetzaldeck.entry.handover_head import HandoverHead
    from quetzaldeck.entry.state import EntryState
    from quetzaldeck.entry.view import RoutingView
    from quetzaldeck.gateway.memory_pool import HeldMemory


MAX_AWAITED_IDLE_MS = 2_000.0
"""How long a caller may take nothing of its answer while other answers wait for memory:
they keep the replicas waiting that send them."""


class CallProgress:
    """How far a request has come, for the line on its end.

    :param call_id: the caller's id
    :param arrived_ms: when its bytes arrived
    :param answer: memory of its answer
    """

    def __init__(self, call_id: str, arrived_ms: float, answer: HeldMemory) -> None:
        self.call_id = call_id
        self.arrived_ms = arrived_ms
        self.answer = answer
        self.deadline_ms = arrived_ms
        self.route = ""
        self.is_read = False
        self.run: CallRun | None = None


class CallHandler:
    """Handles the HTTP requests of a VM's callers."""

    def __init__(self, state: EntryState) -> None:
        self._state = state

    async def handle_handed_over(self, http_request: web.Request) -> web.StreamResponse:
        """Serve a request that another VM hands over."""
        try:
            handover = read_handover_head(http_request.headers)
        except ValueError as error:
            # The other VM takes no response for its own that does not echo the id.
            headers = {CALL_ID: http_request.headers.get(CALL_ID, "")}
            return web.Response(status=400, text=str(error), headers=headers)
        return await self.handle(http_request, handover)

    async def handle(
        self, http_request: web.Request, handover: HandoverHead | None = None
    ) -> web.StreamResponse:
        """Serve one request; every outcome becomes a response here.

        :param handover: what the VM that hands it over states; ``None``: a caller did
        """
        # A request may have waited in its socket while this VM started or was late.
        wait_ms = read_wait_ms(http_request.transport)
        arrived_ms = self._state.clock.now_ms() - wait_ms
        request_id = uuid.uuid4().hex
        call_id = http_request.headers.get(CALL_ID, "")
        answer = self._state.answers.open()
        progress = CallProgress(call_id, arrived_ms, answer)
        kind = "call" if handover is None else "handed_over"
        self._state.metrics.requests.labels(kind).inc()
        response: web.StreamResponse | None = None
        try:
            # A response that is still being written is in progress, too.
            with self._state.in_flight.track(request_id, call_id=call_id), answer:
                response = await self._respond(
                    http_request, request_id, progress, handover
                )
                await self._write(http_request, response, progress)
        except RequestError as error:
            assert response is not None
            reason = error.failure.reason.value
            self._state.metrics.responses_cut_off.labels(reason).inc()
            if http_request.transport is not None:
                http_request.transport.abort()
        return response

    async def _respond(
        self,
        http_request: web.Request,
        request_id: str,
        progress: CallProgress,
        handover: HandoverHead | None,
    ) -> web.StreamResponse:
        """:returns: the response to one request, whatever becomes of it"""
        call_id = progress.call_id
        try:
            with self._state.in_flight.translate_abort(request_id, Ran.NO):
                response = await self._serve(
                    http_request, request_id, progress, handover
                )
        except RequestError as error:
            self._record_failure(error.failure, progress)
            if error.response is not None:
                return error.response
            response = error_response(error.failure, call_id, CALL_ID)
            if handover is not None:
                response.headers[FAILURE] = format_failure(error.failure)
        except asyncio.CancelledError:
            failure = Failure(Reason.CALLER_GONE, Ran.UNKNOWN)
            self._record_failure(failure, progress)
            raise
        except Exception as error:
            failure = Failure(
                Reason.INTERNAL_ERROR, Ran.UNKNOWN, detail=locate_error(error)
            )
            self._record_failure(failure, progress)
            response = error_response(failure, call_id, CALL_ID)
            if handover is not None:
                response.headers[FAILURE] = format_failure(failure)
        if not self._state.is_ready and not response.prepared:
            # The load balancer redirects new connections only: the next request on a
            # connection that stays open would be refused by this VM again.
            response.force_close()
        return response

    async def _write(
        self,
        http_request: web.Request,
        response: web.StreamResponse,
        progress: CallProgress,
    ) -> None:
        """Write a response, or the rest of a stream, and record it if that fails.

        A caller does not wait longer than its deadline, and may be slow for a while.
        """
        transport = http_request.transport
        if response.prepared and (transport is None or transport.is_closing()):
            return
        remaining_ms = max(0.0, progress.deadline_ms - self._state.clock.now_ms())
        unread_ms = self._state.settings.connections.unread_answer_ms
        try:
            await write_whole(
                http_request,
                response,
                max_ms=remaining_ms + unread_ms,
                read_max_idle_ms=self._read_max_idle_ms,
            )
        except ConnectionError as error:
            # The HTTP server meets the same error and closes the connection.
            self._record_unsent(response, progress, error)
        except asyncio.CancelledError as error:
            self._record_unsent(response, progress, error)
            raise

    def _read_max_idle_ms(self) -> float:
        """:returns: for how long a caller may take nothing of its answer"""
        unread_ms = self._state.settings.connections.unread_answer_ms
        if self._state.answers.is_awaited:
            return min(unread_ms, MAX_AWAITED_IDLE_MS)
        return unread_ms

    def _record_unsent(
        self,
        response: web.StreamResponse,
        progress: CallProgress,
        error: BaseException,
    ) -> None:
        log_event(
            "response_unsent",
            level="WARNING",
            request=progress.call_id,
            status=response.status,
            elapsed_ms=self._state.clock.now_ms() - progress.arrived_ms,
            error=type(error).__name__,
        )

    async def _serve(
        self,
        http_request: web.Request,
        request_id: str,
        progress: CallProgress,
        handover: HandoverHead | None,
    ) -> web.StreamResponse:
        arrived_ms = progress.arrived_ms
        self._check_drain()
        head = _read_head(http_request)
        view = await self._wait_for_view(head)
        if handover is not None and view.version < handover.version:
            detail = (
                f"this VM has version {view.version} of the configuration; the request "
                f"was admitted under version {handover.version}"
            )
            raise RequestError(Failure(Reason.NO_BUNDLE, detail=detail))
        admitted = self._admit(view, http_request, head, arrived_ms, handover)
        progress.route = admitted.route.name
        progress.deadline_ms = admitted.deadline_ms
        with self._state.bodies.open() as held:
            body = await read_body(http_request, _caller_bounds(view), held)
            progress.is_read = True
            # The body may have ended long after the head came.
            self._check_drain()
            call = _build_call(
                request_id, http_request, head, admitted, body, progress, handover
            )
            if handover is not None:
                await self._confirm_path(admitted)
            return await self._run(call, view, progress)

    def _check_drain(self) -> None:
        """:raises RequestError: if a shutdown leaves no time for another request"""
        if self._state.drain.refuses:
            failure = Failure(Reason.SHUTTING_DOWN, retry_after_ms=RETRY_ELSEWHERE_MS)
            raise RequestError(failure)

    async def _confirm_path(self, admitted: Admitted) -> None:
        """Check that this VM reaches the service of a request.

        :raises RequestError: if that is not known
        """
        service = admitted.service
        remaining_ms = max(0.0, admitted.deadline_ms - self._state.clock.now_ms())
        if not await self._state.paths.confirm(service, remaining_ms):
            detail = f"{service}: it is not known that this VM reaches an upstream"
            raise RequestError(Failure(Reason.NO_PATH, detail=detail))

    async def _wait_for_view(self, head: CallHead) -> RoutingView:
        """:returns: the configuration in force; a VM that just started waits for one

        :raises RequestError: if none is loaded in time
        """
        view = self._state.view
        if view is None:
            wait_ms = startup_wait_ms(head.deadline_ms)
            log_event("waits_for_configuration", request=head.call_id, wait_ms=wait_ms)
            view = await self._state.wait_for_view(wait_ms)
        if view is None:
            detail = "this VM has just started and has not loaded a configuration yet"
            failure = Failure(Reason.NO_BUNDLE, Ran.NO, STARTUP_RETRY_AFTER_MS, detail)
            raise RequestError(failure)
        return view

    def _admit(
        self,
        view: RoutingView,
        http_request: web.Request,
        head: CallHead,
        arrived_ms: float,
        handover: HandoverHead | None,
    ) -> Admitted:
        """Admit a request; a continued one under the version that admitted it first.

        :raises RequestError: if it is refused
        """
        service = ""
        if handover is not None and handover.may_have_run:
            service = handover.service
            routes = self._state.past_routes.find(
                handover.version, arrived_ms - handover.age_ms
            )
            if routes is not None:
                view = view._replace(version=handover.version, routes=routes)
        admitted = admit_call(
            view,
            head,
            http_request.host,
            http_request.rel_url.raw_path,
            now_ms=arrived_ms,
            has_fresh_keys=self._state.has_fresh_keys,
            random_state=self._state.random_state,
            service=service,
        )
        if isinstance(admitted, Failure):
            raise RequestError(admitted)
        return admitted

    async def _run(
        self, call: Call, view: RoutingView, progress: CallProgress
    ) -> web.StreamResponse:
        ticket = self._state.dispatch.open_ticket(build_request(call, view))
        run = CallRun(self._state, call, ticket, HandoverOffer(self._state, call))
        progress.run = run
        remaining_ms = call.admitted.deadline_ms - self._state.clock.now_ms()
        try:
            with self._state.in_flight.translate_abort(call.request_id, Ran.NO):
                async with asyncio.timeout(max(0.0, remaining_ms) / 1_000):
                    response = await run.run()
        except TimeoutError:
            failure = run.account.word(Failure(Reason.DEADLINE_EXCEEDED))
            raise self._build_error(call, run, failure) from None
        except RequestError as error:
            failure = run.account.word(error.failure)
            raise self._build_error(call, run, failure) from None
        except Exception as error:
            detail = locate_error(error)
            failure = Failure(Reason.INTERNAL_ERROR, Ran.UNKNOWN, detail=detail)
            raise self._build_error(call, run, failure) from error
        self._record_response(call, run, response)
        return response

    def _build_error(self, call: Call, run: CallRun, failure: Failure) -> RequestError:
        """End a failed call.

        An error body written after a stream has started would be read as a part of the
        stream. The connection is aborted instead, which shows the caller that the
        stream is incomplete.

        :returns: the error, with the response if one has started
        """
        response = run.relay.response
        if response is None:
            return RequestError(failure)
        self._record_cut_off(call, run, failure)
        run.relay.abort()
        return RequestError(failure._replace(ran=Ran.YES), response)

    def _record_cut_off(self, call: Call, run: CallRun, failure: Failure) -> None:
        self._state.metrics.responses_cut_off.labels(failure.reason.value).inc()
        log_event(
            "response_cut_off",
            level="WARNING",
            request=call.head.call_id,
            reason=failure.reason.value,
            n_attempts=run.n_attempts,
            n_events=run.relay.n_events,
            remaining_ms=call.admitted.deadline_ms - self._state.clock.now_ms(),
        )

    def _record_response(
        self, call: Call, run: CallRun, response: web.StreamResponse
    ) -> None:
        elapsed_ms = self._state.clock.now_ms() - call.arrived_ms
        metrics = self._state.metrics
        metrics.completed.labels("call").inc()
        kind = call.admitted.route.kind.value
        metrics.answer_seconds.labels(kind).observe(elapsed_ms / MS_PER_SECOND)
        first_ms = run.relay.first_event_ms
        if first_ms is not None and call.head.prompt is not None:
            length = classify_length(call.head.prompt.n_prompt_tokens)
            ttft = metrics.ttft_seconds.labels(length.value)
            ttft.observe(first_ms / MS_PER_SECOND)
        log_event(
            "request_answered",
            request=call.head.call_id,
            route=call.admitted.route.name,
            customer=call.admitted.customer,
            version=call.admitted.version,
            status=response.status,
            upstream=run.upstream,
            n_attempts=run.n_attempts,
            n_events=run.relay.n_events,
            n_prompt_tokens=_n_prompt_tokens(call),
            first_event_ms=first_ms,
            target_ms=call.admitted.route.target_latency_ms,
            predicted_first_event_ms=run.predicted_first_event_ms,
            max_gap_ms=run.relay.max_gap_ms,
            target_gap_ms=call.admitted.route.max_gap_ms,
            elapsed_ms=elapsed_ms,
        )

    def _record_failure(self, failure: Failure, progress: CallProgress) -> None:
        labels = (failure.reason.value, failure.ran.value)
        self._state.metrics.failures.labels(*labels).inc()
        state = self._state
        run = progress.run
        if failure.ran is Ran.NO:
            evidence = Evidence.UNSENT if run is None else run.account.evidence
            state.metrics.promises.labels(evidence.value).inc()
        log_event(
            "request_failed",
            request=progress.call_id,
            route=progress.route,
            reason=failure.reason.value,
            ran=failure.ran.value,
            status=http_status(failure),
            retry_after_ms=failure.effective_retry_after_ms,
            elapsed_ms=state.clock.now_ms() - progress.arrived_ms,
            version=0 if state.view is None else state.view.version,
            belief_age_ms=state.belief.age_ms(state.clock.uptime_ms()),
            is_read=progress.is_read,
            n_attempts=0 if run is None else run.n_attempts,
            n_events=0 if run is None else run.relay.n_events,
            sendings="" if run is None else run.account.render(),
            detail=failure.detail,
        )


def refuse_request(
    state: EntryState, headers: CIMultiDictProxy[str]
) -> web.StreamResponse:
    """Refuse a request that is not read, as there is no memory for it.

    :returns: a response which states that it was not run
    """
    call_id = headers.get(CALL_ID, "")
    detail = "no memory for another request in progress"
    failure = Failure(
        Reason.QUEUE_FULL, retry_after_ms=RETRY_ELSEWHERE_MS, detail=detail
    )
    state.metrics.failures.labels(failure.reason.value, failure.ran.value).inc()
    state.metrics.promises.labels(Evidence.UNSENT.value).inc()
    log_event(
        "request_failed",
        request=call_id,
        reason=failure.reason.value,
        ran=failure.ran.value,
        status=http_status(failure),
        detail=detail,
    )
    response = error_response(failure, call_id, CALL_ID)
    response.force_close()
    return response


def _read_head(http_request: web.Request) -> CallHead:
    try:
        return read_call_head(http_request.headers)
    except ValueError as error:
        failure = Failure(Reason.MALFORMED_REQUEST, detail=str(error))
        raise RequestError(failure) from error


def _build_call(
    request_id: str,
    http_request: web.Request,
    head: CallHead,
    admitted: Admitted,
    body: bytes,
    progress: CallProgress,
    handover: HandoverHead | None,
) -> Call:
    return Call(
        request_id,
        http_request,
        head,
        admitted,
        body if http_request.body_exists else None,
        progress.arrived_ms,
        _fingerprint(http_request, admitted.customer, body),
        remove_handover_fields(http_request.headers)
        if handover is not None
        else CIMultiDict(http_request.headers),
        progress.answer,
        handover,
    )


def _fingerprint(http_request: web.Request, customer: str, body: bytes) -> int:
    """:returns: a hash of what a replica is sent; equal for repeated requests"""
    return compute_fingerprint(
        customer, http_request.method, http_request.host, http_request.raw_path, body
    )


def _n_prompt_tokens(call: Call) -> int | None:
    prompt = call.head.prompt
    return None if prompt is None else prompt.n_prompt_tokens


def _caller_bounds(view: RoutingView) -> CallerBounds:
    return CallerBounds(max_body_bytes=view.limits.max_body_bytes)


__all__ = ("CallHandler", "refuse_request")
