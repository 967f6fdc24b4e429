"""Runs a call of a plain service: attempts are made until one yields an answer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzaldeck.decisions import AttemptEnd, AttemptFault
from quetzaldeck.decisions.silence.verdict import SilenceVerdict
from quetzaldeck.gateway.errors import RequestError
from quetzaldeck.gateway.silence_watch import SilenceWatch
from quetzaldeck.upstreams import UpstreamError

if TYPE_CHECKING:
    from quetzaldeck.decisions import Dispatch
    from quetzaldeck.gateway.admission_check import AdmissionCheck
    from quetzaldeck.gateway.claimed_call import ClaimedCall
    from quetzaldeck.gateway.state import GatewayState
    from quetzaldeck.gateway.ticket import Ticket
    from quetzaldeck.upstreams import ServiceAnswer, ServiceCall


class _Attempt:
    """One attempt; ``is_left``: another one is to replace it, and it goes on."""

    def __init__(self, dispatch: Dispatch) -> None:
        self.dispatch = dispatch
        self.is_left = False
        self.task: asyncio.Task[ServiceAnswer] | None = None


class ServiceRun:
    """Runs one call; an attempt that is silent goes on until another one answers.

    Plain services send no heartbeats, so a slow answer looks like a service that hangs.
    An attempt is replaced only if the scheduler queues the next one in the same step,
    and the first answer is used.

    :param ticket: the scheduler's handle for the admitted request
    :param check: whether the bundle in force allows the call
    :param claimed: the claim of a call that may not be repeated; nothing replaces it
    """

    def __init__(
        self,
        state: GatewayState,
        ticket: Ticket,
        call: ServiceCall,
        check: AdmissionCheck,
        claimed: ClaimedCall | None,
    ) -> None:
        self._state = state
        self._ticket = ticket
        self._call = call
        self._check = check
        self._claimed = claimed
        self._ended: asyncio.Queue[asyncio.Task[object]] = asyncio.Queue()
        self._living: list[_Attempt] = []
        self._dispatching: asyncio.Task[Dispatch] | None = None
        self._failure: RequestError | None = None
        self._has_dispatched = False
        self._may_have_run = False

    @property
    def has_dispatched(self) -> bool:
        """:returns: whether any attempt has begun"""
        return self._has_dispatched

    async def run(self) -> ServiceAnswer:
        """Make attempts until one yields an answer.

        :returns: the answer
        :raises RequestError: if there is none
        """
        try:
            self._request_dispatch()
            with self._state.watch_bundle(self._handle_new_bundle):
                while True:
                    answer = await self._handle_ended(await self._ended.get())
                    if answer is not None:
                        return answer
                    if self._dispatching is None and not self._living:
                        assert self._failure is not None
                        raise self._failure
        finally:
            await self._stop()

    async def _handle_ended(self, task: asyncio.Task[object]) -> ServiceAnswer | None:
        """:returns: the answer, if an attempt has ended with one"""
        if task is self._dispatching:
            dispatching, self._dispatching = self._dispatching, None
            try:
                self._start(dispatching.result())
            except RequestError as error:
                self._failure = error
            return None
        for attempt in self._living:
            if attempt.task is task:
                self._living.remove(attempt)
                return await self._handle_ended_attempt(attempt)
        return None

    async def _handle_ended_attempt(self, attempt: _Attempt) -> ServiceAnswer | None:
        assert attempt.task is not None
        attempt_id = attempt.dispatch.attempt_id
        try:
            answer = attempt.task.result()
        except UpstreamError as error:
            await self._note_fault(attempt, error)
            return None
        except RequestError as error:
            self._ticket.drop_attempt(attempt_id)
            self._failure = error
            return None
        if attempt.is_left:
            await self._ticket.resume_attempt(attempt_id)
        await self._ticket.end_attempt(AttemptEnd(attempt_id))
        return answer

    async def _note_fault(self, attempt: _Attempt, error: UpstreamError) -> None:
        """Have the next attempt made, unless one is to replace this one already."""
        self._state.metrics.attempt_faults.labels(error.fault.value).inc()
        self._may_have_run = self._may_have_run or error.may_have_run
        if attempt.is_left:
            return
        end = AttemptEnd(
            attempt.dispatch.attempt_id,
            error.fault,
            may_have_run=error.may_have_run,
            is_gone=error.is_gone,
        )
        try:
            await self._ticket.end_attempt(end)
        except RequestError as failure:
            self._failure = failure
        else:
            self._request_dispatch()

    def _request_dispatch(self) -> None:
        self._dispatching = asyncio.create_task(self._ticket.next_dispatch())
        self._dispatching.add_done_callback(self._ended.put_nowait)

    def _start(self, dispatch: Dispatch) -> None:
        self._has_dispatched = True
        attempt = _Attempt(dispatch)
        attempt.task = asyncio.create_task(self._send(attempt))
        attempt.task.add_done_callback(self._ended.put_nowait)
        self._living.append(attempt)

    def _recheck(self, attempt: _Attempt | None = None) -> None:
        """Check whether the bundle in force allows the next attempt.

        :param attempt: the one that is about to be sent
        :raises RequestError: if it does not
        """
        others = [other for other in self._living if other is not attempt]
        failure = self._check.run(may_have_run=self._may_have_run or bool(others))
        if failure is not None:
            raise RequestError(failure)

    def _handle_new_bundle(self) -> None:
        """End a call that waits for its next attempt if it would not be sent."""
        if self._living or self._dispatching is None or self._dispatching.done():
            return
        try:
            self._recheck()
        except RequestError as error:
            self._failure = error
            self._dispatching.cancel()
            self._dispatching = None

    async def _send(self, attempt: _Attempt) -> ServiceAnswer:
        self._recheck(attempt)
        request = self._ticket.request
        remaining_ms = request.deadline_ms - self._state.clock.now_ms()
        idle_ms = self._state.settings.upstreams.idle_ms
        watch = SilenceWatch(
            self._ticket,
            self._state.clock,
            attempt.dispatch.attempt_id,
            request.request_id,
            idle_ms if self._claimed is None else None,
            lambda verdict: self._handle_verdict(attempt, verdict),
        )
        name = attempt.dispatch.upstreams[0]
        if self._claimed is not None:
            self._claimed.begin_dispatch()
        try:
            async with self._state.connections.use_service(name) as upstream:
                return await upstream.call(self._call, remaining_ms, watch)
        except UpstreamError as error:
            if self._claimed is not None and not error.may_have_run:
                self._claimed.undo_dispatch()
            raise

    def _handle_verdict(self, attempt: _Attempt, verdict: SilenceVerdict) -> None:
        if verdict is SilenceVerdict.REPLACE:
            attempt.is_left = True
            faults = self._state.metrics.attempt_faults
            faults.labels(AttemptFault.SILENT.value).inc()
            self._request_dispatch()

    async def _stop(self) -> None:
        """Cancel what still runs, and wait until it has released its connections."""
        tasks: list[asyncio.Task[object]] = [
            attempt.task for attempt in self._living if attempt.task is not None
        ]
        if self._dispatching is not None:
            tasks.append(self._dispatching)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


__all__ = ("ServiceRun",)
