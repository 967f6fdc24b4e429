"""One attempt of a call, as a task that owns its connection."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING

from aiohttp import web

from quetzaldeck.decisions import AttemptEnd, AttemptFault
from quetzaldeck.entry.attempt import AttemptRunner
from quetzaldeck.http.answer_bounds import read_body
from quetzaldeck.platform import build_response_headers
from quetzaldeck.routing import RequestKind
from quetzaldeck.upstreams import UpstreamError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from quetzaldeck.decisions import Dispatch
    from quetzaldeck.decisions.silence.verdict import SilenceVerdict
    from quetzaldeck.entry.attempt import OpenResponse
    from quetzaldeck.entry.call import Call
    from quetzaldeck.entry.sending import Sending
    from quetzaldeck.entry.state import EntryState
    from quetzaldeck.entry.stream_relay import StreamRelay
    from quetzaldeck.gateway.ticket import Ticket


class AttemptRun:
    """Sends a call to the upstream of one dispatch, and forwards the answer.

    Several attempts of a call may live at a time. Each claims the caller before it
    writes; the others are cancelled then.

    :param sending: records what is known of the run
    :param check: called before memory is reserved and before the call is sent; raises
        if it must not be
    :param claim: awaited before the attempt writes to the caller
    :param on_verdict: called with verdicts of the scheduler on a silent attempt
    """

    def __init__(
        self,
        state: EntryState,
        call: Call,
        ticket: Ticket,
        relay: StreamRelay,
        dispatch: Dispatch,
        sending: Sending,
        *,
        check: Callable[[AttemptRun], None],
        claim: Callable[[AttemptRun], Awaitable[None]],
        on_verdict: Callable[[AttemptRun, SilenceVerdict], None],
    ) -> None:
        self._state = state
        self._call = call
        self._ticket = ticket
        self._relay = relay
        self._check = check
        self._claim = claim
        self._heard_ms = state.clock.now_ms()
        self._has_started = False
        self._diversion: UpstreamError | None = None
        self.dispatch = dispatch
        self.is_left = False
        """Whether another attempt is to replace this one, which keeps running."""
        self.failed_response: web.Response | None = None
        """A server error of the upstream, which the caller gets if nothing else."""
        self.runner = AttemptRunner(
            state,
            call,
            ticket,
            sending,
            check=lambda: check(self),
            on_verdict=lambda verdict: on_verdict(self, verdict),
        )
        self.task = asyncio.create_task(self._run())

    @property
    def upstream(self) -> str:
        """:returns: the upstream that answers"""
        return self.dispatch.upstreams[-1]

    @property
    def heard_ms(self) -> float:
        """:returns: when the answer last went on, or when the request was sent

        It is the current time while the request waits for its turn, or for memory: the
        upstream has nothing to answer yet.
        """
        sent_ms = self.runner.sent_ms
        if sent_ms is None:
            return self._state.clock.now_ms()
        return max(self._heard_ms, sent_ms)

    def build_end(self, error: UpstreamError) -> AttemptEnd:
        """:returns: what the scheduler is told of the fault of this attempt"""
        is_addressed = error.upstream in ("", self.upstream)
        incarnation = self.runner.incarnation or self.upstream
        return AttemptEnd(
            self.dispatch.attempt_id,
            error.fault,
            n_output_tokens=self._relay.n_events,
            may_have_run=error.may_have_run,
            was_sent=error.was_sent,
            upstream=error.upstream,
            incarnation=incarnation if is_addressed else "",
            retry_after_ms=error.retry_after_ms,
            is_gone=error.is_gone,
        )

    def divert(self) -> None:
        """End an attempt that is not sent yet if its upstream takes nothing new.

        One that has not started notices it itself.
        """
        is_waiting = self._has_started and self.runner.sent_ms is None
        if self._diversion is not None or not is_waiting or self.task.done():
            return
        try:
            self._state.availability.check(self.dispatch.upstreams)
        except UpstreamError as error:
            self._diversion = error
            self.task.cancel()

    async def _run(self) -> web.StreamResponse:
        """:returns: the complete response

        :raises UpstreamError: if the upstream failed, or takes nothing new
        :raises RequestError: if the call must not be sent, or its caller is gone
        """
        self._has_started = True
        try:
            return await self._make()
        except asyncio.CancelledError:
            if self._diversion is None or self.task.uncancel():
                raise
            raise self._diversion from None
        finally:
            self.runner.drop_callbacks()

    async def _make(self) -> web.StreamResponse:
        """:returns: the complete response

        :raises UpstreamError: if the upstream failed
        :raises RequestError: if the call must not be sent, or its caller is gone
        """
        dispatch = self.dispatch
        await self.runner.acquire_permits(dispatch)
        self._check(self)
        last_event_id = self._relay.last_event_id
        async with self.runner.open(dispatch, last_event_id=last_event_id) as opened:
            self._note_heard()
            is_stream = self._call.admitted.route.kind is RequestKind.STREAMING
            if is_stream and opened.head.status == HTTPStatus.OK:
                await self._forward_events(opened)
                await self._end()
                return await self._relay.finish()
            response = await self._read_whole(opened)
        await self._end()
        return response

    async def _end(self) -> None:
        await self._claim(self)
        await self._ticket.end_attempt(AttemptEnd(self.dispatch.attempt_id))

    async def _forward_events(self, opened: OpenResponse) -> None:
        attempt_id = self.dispatch.attempt_id
        await self._relay.relay(
            self.upstream,
            opened.response,
            first_byte=self.runner.watch_first_byte(self.dispatch),
            gaps=self.runner.watch_gaps(self.dispatch),
            claim=lambda: self._claim(self),
            on_first_event=lambda: self._ticket.note_first_token(attempt_id),
            on_lived=lambda: self._ticket.note_lived(attempt_id),
            on_data=self._note_path,
            on_progress=self._note_heard,
            may_write=lambda: not self.is_left,
        )

    async def _read_whole(self, opened: OpenResponse) -> web.Response:
        """Read a response that is not a stream.

        :raises UpstreamError: if its status is a server error, or if the caller has
            received a part of a stream, which nothing else can continue
        """
        response = web.Response(
            body=await self._read_body(opened),
            status=opened.head.status,
            headers=build_response_headers(opened.response.headers),
        )
        detail = f"{self.upstream}: status {opened.head.status}"
        if opened.head.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            self.failed_response = response
            raise UpstreamError(AttemptFault.FAILED, detail, upstream=self.upstream)
        if self._relay.response is not None:
            detail += " in place of the rest of a stream"
            raise UpstreamError(AttemptFault.BAD_ANSWER, detail, upstream=self.upstream)
        return response

    async def _read_body(self, opened: OpenResponse) -> bytes:
        """:raises OverBoundError: if the body is longer than the settings allow"""
        watch = self.runner.watch_first_byte(self.dispatch)

        async def read() -> bytes:
            data = await watch.wait(opened.response.content.readany)
            if data:
                self._note_data()
            return data

        max_bytes = self._state.settings.bounds.max_answer_bytes
        return await read_body(
            opened.response, max_bytes, read=read, reserve=self._call.answer.reserve
        )

    def _note_data(self) -> None:
        self._note_heard()
        self._note_path()

    def _note_path(self) -> None:
        self._state.paths.note_heard(self.upstream)

    def _note_heard(self) -> None:
        self._heard_ms = self._state.clock.now_ms()


__all__ = ("AttemptRun",)
