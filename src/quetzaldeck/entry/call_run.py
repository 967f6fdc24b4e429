"""Runs a call: attempts are made until one yields a complete response."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING

from aiohttp import web

from quetzaldeck.decisions import AttemptEnd, AttemptFault
from quetzaldeck.decisions.poison import format_fingerprint
from quetzaldeck.entry.admission import recheck_call
from quetzaldeck.entry.attempt import AttemptRunner
from quetzaldeck.entry.stream_relay import StreamRelay
from quetzaldeck.gateway.errors import RequestError
from quetzaldeck.platform import build_response_headers
from quetzaldeck.routing import RequestKind
from quetzaldeck.telemetry import log_event
from quetzaldeck.upstreams import UpstreamError

if TYPE_CHECKING:
    from quetzaldeck.decisions import Dispatch
    from quetzaldeck.entry.attempt import OpenResponse
    from quetzaldeck.entry.call import Call
    from quetzaldeck.entry.state import EntryState
    from quetzaldeck.gateway.ticket import Ticket

MAX_LOGGED_PARTS = 8
"""Parts of a prompt that one log line names."""


class CallRun:
    """Runs one call.

    A 5xx response from a replica is kept: if no further attempt can be made, the caller
    receives it unchanged.

    :param ticket: the scheduler's handle for the admitted request
    """

    def __init__(self, state: EntryState, call: Call, ticket: Ticket) -> None:
        self._state = state
        self._call = call
        self._ticket = ticket
        self._runner = AttemptRunner(state, call, ticket)
        self._relay = StreamRelay(
            call, state.clock, lived_ms=state.dispatch.poison_bounds.lived_ms
        )
        self._failed_response: web.Response | None = None
        self.n_attempts = 0
        self.n_maybe_run = 0
        self.upstream = ""
        self.predicted_first_event_ms: float | None = None

    @property
    def may_have_run(self) -> bool:
        """:returns: whether a replica may have run the call, or may yet run it"""
        return self._runner.may_have_run

    @property
    def relay(self) -> StreamRelay:
        """:returns: the relay of the caller's event stream, unused for other calls"""
        return self._relay

    async def run(self) -> web.StreamResponse:
        """Make attempts until one yields a complete response.

        :returns: the response
        :raises RequestError: if there is none
        """
        while True:
            dispatch = await self._ticket.next_dispatch()
            self._record_dispatch(dispatch)
            try:
                return await self._attempt(dispatch)
            except asyncio.CancelledError:
                self._record_left(dispatch)
                raise
            except UpstreamError as error:
                try:
                    await self._report_fault(dispatch, error)
                except RequestError:
                    if (
                        self._failed_response is None
                        or self._relay.response is not None
                    ):
                        raise
                    return self._failed_response

    async def _attempt(self, dispatch: Dispatch) -> web.StreamResponse:
        await self._runner.acquire_permits(dispatch)
        # The configuration may have changed while the attempt waited for its turn.
        self._recheck()
        self.n_attempts = dispatch.n_attempt
        self.upstream = dispatch.upstreams[-1]
        last_event_id = self._relay.last_event_id
        async with self._runner.open(dispatch, last_event_id=last_event_id) as opened:
            is_stream = self._call.admitted.route.kind is RequestKind.STREAMING
            if is_stream and opened.head.status == HTTPStatus.OK:
                await self._relay.relay(
                    self.upstream,
                    opened.response,
                    first_byte=self._runner.watch_first_byte(dispatch),
                    gaps=self._runner.watch_gaps(dispatch),
                    on_first_event=lambda: self._ticket.note_first_token(
                        dispatch.attempt_id
                    ),
                    on_lived=lambda: self._ticket.note_lived(dispatch.attempt_id),
                    on_data=lambda: self._state.paths.note_heard(self.upstream),
                )
                await self._ticket.end_attempt(AttemptEnd(dispatch.attempt_id))
                return await self._relay.finish()
            response = await self._read_whole(opened)
        await self._ticket.end_attempt(AttemptEnd(dispatch.attempt_id))
        return response

    async def _read_whole(self, opened: OpenResponse) -> web.Response:
        """Read a response that is not a stream.

        :raises UpstreamError: if its status is a server error
        """
        body = await opened.response.read()
        response = web.Response(
            body=body,
            status=opened.head.status,
            headers=build_response_headers(opened.response.headers),
        )
        if opened.head.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            return response
        self._failed_response = response
        detail = f"{self.upstream}: status {opened.head.status}"
        raise UpstreamError(AttemptFault.FAILED, detail, upstream=self.upstream)

    def _recheck(self) -> None:
        view = self._state.view
        if view is None:
            return
        http_request = self._call.http_request
        failure = recheck_call(
            view,
            self._call.admitted,
            self._call.head,
            http_request.host,
            http_request.rel_url.raw_path,
        )
        if failure is not None:
            raise RequestError(failure)

    async def _report_fault(self, dispatch: Dispatch, error: UpstreamError) -> None:
        self._state.metrics.attempt_faults.labels(error.fault.value).inc()
        log_event(
            "attempt_failed",
            level="WARNING",
            request=self._call.head.call_id,
            fingerprint=format_fingerprint(self._call.fingerprint),
            n_attempt=dispatch.n_attempt,
            upstream=error.upstream or dispatch.upstreams[-1],
            fault=error.fault.value,
            may_have_run=error.may_have_run,
            parts=self._list_logged_parts(),
            error=error,
        )
        self.n_maybe_run += error.may_have_run
        name = dispatch.upstreams[-1]
        is_addressed = error.upstream in ("", name)
        end = AttemptEnd(
            dispatch.attempt_id,
            error.fault,
            n_output_tokens=self._relay.n_events,
            may_have_run=error.may_have_run,
            was_sent=error.was_sent,
            upstream=error.upstream,
            incarnation=(self._runner.incarnation or name) if is_addressed else "",
            retry_after_ms=error.retry_after_ms,
            is_gone=error.is_gone,
        )
        try:
            await self._ticket.end_attempt(end)
        finally:
            replica = self._runner.replica
            checks = self._state.crash_checks
            if error.fault is AttemptFault.BROKEN and replica is not None:
                checks.note_broken(replica)
                checks.note_left(dispatch.upstreams[:-1])
            elif error.fault is AttemptFault.SILENT:
                checks.note_left(dispatch.upstreams)

    def _record_left(self, dispatch: Dispatch) -> None:
        """Record an attempt that nobody waits for any more; its replica may run it."""
        sent_ms = self._runner.sent_ms
        if sent_ms is None:
            return
        self._state.metrics.upstreams.attempts_left.inc()
        log_event(
            "attempt_left",
            request=self._call.head.call_id,
            fingerprint=format_fingerprint(self._call.fingerprint),
            n_attempt=dispatch.n_attempt,
            upstream=dispatch.upstreams[-1],
            run_ms=self._state.clock.now_ms() - sent_ms,
            parts=self._list_logged_parts(),
        )
        self._state.crash_checks.note_left(dispatch.upstreams)

    def _list_logged_parts(self) -> str:
        """:returns: the shared parts of the prompt, the first ones if there are many"""
        return ",".join(self._call.head.shared_parts[:MAX_LOGGED_PARTS])

    def _record_dispatch(self, dispatch: Dispatch) -> None:
        wait_ms = self._state.clock.now_ms() - self._call.arrived_ms
        if dispatch.first_token_ms:
            self.predicted_first_event_ms = wait_ms + dispatch.first_token_ms
        if dispatch.n_attempt == 1:
            length = dispatch.request.length_class.value
            metric = self._state.metrics.queue_wait_seconds.labels(length)
            metric.observe(wait_ms / 1_000)
        log_event(
            "dispatched",
            request=self._call.head.call_id,
            fingerprint=format_fingerprint(self._call.fingerprint),
            n_attempt=dispatch.n_attempt,
            upstream=dispatch.upstreams[-1],
            readers=",".join((*dispatch.upstreams[:-1], *dispatch.helpers)),
            n_prompt_tokens=dispatch.request.n_prompt_tokens,
            wait_ms=wait_ms,
        )


__all__ = ("CallRun",)
