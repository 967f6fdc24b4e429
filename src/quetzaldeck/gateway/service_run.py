"""Runs a call of a plain service: attempts are made until one yields an answer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzaldeck.decisions import AttemptEnd
from quetzaldeck.decisions.silence.verdict import SilenceVerdict
from quetzaldeck.gateway.attempt_tasks import AttemptTask, AttemptTasks
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


class ServiceRun:
    """Runs one call; a silent attempt keeps running until another one answers.

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
        self._attempts: AttemptTasks[ServiceAnswer] = AttemptTasks(
            ticket,
            state.metrics,
            check=self._recheck,
            start=self._start,
            on_end=self._ended.put_nowait,
        )
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
        async with self._attempts:
            with self._state.watch_bundle(self._attempts.handle_new_bundle):
                while True:
                    attempt = self._attempts.take_ended(await self._ended.get())
                    if attempt is not None:
                        answer = await self._handle_ended(attempt)
                        if answer is not None:
                            return answer
                    self._attempts.raise_if_none_left()

    async def _handle_ended(
        self, attempt: AttemptTask[ServiceAnswer]
    ) -> ServiceAnswer | None:
        """:returns: the answer, if the attempt has ended with one"""
        try:
            answer = attempt.result()
        except UpstreamError as error:
            await self._note_fault(attempt, error)
            return None
        if attempt.is_replaced:
            await self._ticket.resume_attempt(attempt.attempt_id)
        await self._ticket.end_attempt(AttemptEnd(attempt.attempt_id))
        return answer

    async def _note_fault(
        self, attempt: AttemptTask[ServiceAnswer], error: UpstreamError
    ) -> None:
        """Have the next attempt made, unless one is to replace this one already."""
        self._state.metrics.attempt_faults.labels(error.fault.value).inc()
        self._may_have_run = self._may_have_run or error.may_have_run
        if attempt.is_replaced:
            await self._attempts.retry_if_last()
            return
        end = AttemptEnd(
            attempt.attempt_id,
            error.fault,
            may_have_run=error.may_have_run,
            was_sent=error.was_sent,
            upstream=error.upstream,
            is_gone=error.is_gone,
        )
        if await self._attempts.end_failed(end):
            self._attempts.request_dispatch()

    def _start(self, dispatch: Dispatch) -> None:
        self._has_dispatched = True
        attempt: AttemptTask[ServiceAnswer] = AttemptTask(dispatch)
        self._attempts.run(attempt, self._send(attempt))

    def _recheck(self, attempt: AttemptTask[ServiceAnswer] | None = None) -> None:
        """Check whether the bundle in force allows the next attempt.

        :param attempt: the one that is about to be sent
        :raises RequestError: if it does not
        """
        others = [other for other in self._attempts.living if other is not attempt]
        failure = self._check.run(may_have_run=self._may_have_run or bool(others))
        if failure is not None:
            raise RequestError(failure)

    async def _send(self, attempt: AttemptTask[ServiceAnswer]) -> ServiceAnswer:
        self._recheck(attempt)
        request = self._ticket.request
        remaining_ms = request.deadline_ms - self._state.clock.now_ms()
        idle_ms = self._state.settings.upstreams.idle_ms
        watch = SilenceWatch(
            self._ticket,
            self._state.clock,
            attempt.attempt_id,
            request.request_id,
            idle_ms if self._claimed is None else None,
            lambda verdict: self._handle_verdict(attempt, verdict),
        )
        name = attempt.dispatch.upstreams[0]
        self._state.check_open(name)
        if self._claimed is not None:
            self._claimed.begin_dispatch()
        try:
            async with self._state.connections.use_service(name) as upstream:
                return await upstream.call(self._call, remaining_ms, watch)
        except UpstreamError as error:
            if self._claimed is not None and not error.may_have_run:
                self._claimed.undo_dispatch()
            raise

    def _handle_verdict(
        self, attempt: AttemptTask[ServiceAnswer], verdict: SilenceVerdict
    ) -> None:
        if verdict is SilenceVerdict.REPLACE:
            self._attempts.replace(attempt)


__all__ = ("ServiceRun",)
