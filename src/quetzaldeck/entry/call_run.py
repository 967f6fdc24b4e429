"""Runs a call: attempts are made until one yields a complete response."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from quetzaldeck.clock.clock import round_timer_s
from quetzaldeck.decisions.silence.verdict import SilenceVerdict
from quetzaldeck.decisions.silence_thresholds import SILENCE_RECHECK_MS
from quetzaldeck.entry.attempt_log import AttemptLog
from quetzaldeck.entry.attempt_run import AttemptRun
from quetzaldeck.entry.handover.client import NotTakenError
from quetzaldeck.entry.send_check import NotAllowedError, SendCheck
from quetzaldeck.entry.sending import CallAccount
from quetzaldeck.entry.stream_relay import StreamRelay
from quetzaldeck.gateway.errors import RequestError
from quetzaldeck.outcomes import Failure, Ran, Reason
from quetzaldeck.upstreams import UpstreamError

if TYPE_CHECKING:
    from aiohttp import web

    from quetzaldeck.decisions import Dispatch
    from quetzaldeck.entry.call import Call
    from quetzaldeck.entry.handover.offer import HandoverOffer
    from quetzaldeck.entry.state import EntryState
    from quetzaldeck.gateway.ticket import Ticket


class CallRun:
    """Runs one call; an attempt that is silent goes on until another one writes.

    What is given up is ended only by what takes its place. So a call is answered as
    long as any of its attempts lives, whatever stops the others: the configuration, a
    budget, a fault of the next upstream. The first attempt that has something for the
    caller claims it, and the others are cancelled.

    A 5xx response from a replica is kept: if no further attempt can be made, the caller
    receives it unchanged.

    :param ticket: the scheduler's handle for the request, not entered yet
    :param offer: hands the call over to another VM
    """

    def __init__(
        self, state: EntryState, call: Call, ticket: Ticket, offer: HandoverOffer
    ) -> None:
        self._state = state
        self._call = call
        self._ticket = ticket
        self._offer = offer
        self._log = AttemptLog(state, call)
        self._relay = StreamRelay(
            call, state.clock, lived_ms=state.dispatch.poison_bounds.lived_ms
        )
        self._ended: asyncio.Queue[asyncio.Task[object] | None] = asyncio.Queue()
        self._living: list[AttemptRun] = []
        # What may replace the attempts that live: the next one, or another VM.
        self._dispatching: asyncio.Task[Dispatch] | None = None
        self._handing_over: asyncio.Task[web.StreamResponse] | None = None
        self._cancelled: list[asyncio.Task[object]] = []
        # Why nothing replaces them, and an error that a replica has sent.
        self._failure: RequestError | None = None
        self._failed_response: web.Response | None = None
        self._account = CallAccount()
        self._send_check = SendCheck(state, call, self._account)
        self._has_offered = False
        # When the path was first found to be back after the call had been offered.
        self._returned_ms: float | None = None
        self._may_retry = True
        self.n_attempts = 0
        self.upstream = ""
        self.predicted_first_event_ms: float | None = None

    @property
    def account(self) -> CallAccount:
        """:returns: what is known of the sendings of the call"""
        return self._account

    @property
    def relay(self) -> StreamRelay:
        """:returns: the relay of the caller's event stream, unused for other calls"""
        return self._relay

    async def run(self) -> web.StreamResponse:
        """Run the call here, or have another VM run it.

        :returns: the response
        :raises RequestError: if there is none
        """
        try:
            return await self._run()
        except RequestError as error:
            failure = self._account.word(error.failure)
            raise RequestError(failure, error.response) from error

    async def _run(self) -> web.StreamResponse:
        if self._offer.is_preferred():
            try:
                return await self._offer.hand_over(self._relay, self._account)
            except RequestError:
                if self._account.may_have_run:
                    raise
        try:
            async with self._ticket:
                return await self._run_attempts()
        except RequestError as error:
            if self._has_offered:
                raise
            if not self._offer.allows(error.failure, self._account):
                raise
        return await self._offer.hand_over(self._relay, self._account)

    async def _run_attempts(self) -> web.StreamResponse:
        """Make attempts until one yields a complete response."""
        try:
            self._request_dispatch()
            with (
                self._state.watch_view(self._handle_new_view),
                self._state.evacuations.watch(self._handle_evacuation),
            ):
                while True:
                    response = await self._handle_ended(await self._next_ended())
                    response = response or self._find_last_response()
                    if response is not None:
                        return response
        finally:
            await self._stop()

    async def _next_ended(self) -> asyncio.Task[object] | None:
        """Wait for the end of an attempt, or of what is to replace one.

        :returns: what has ended; ``None`` if nothing has, but waiting may be in vain
        """
        while True:
            wait_ms = self._remaining_wait_ms()
            if self._is_kept():
                wait_ms = min(wait_ms, SILENCE_RECHECK_MS)
            timeout_s = None if wait_ms == math.inf else round_timer_s(wait_ms)
            try:
                async with asyncio.timeout(timeout_s):
                    return await self._ended.get()
            except TimeoutError:
                if self._remaining_wait_ms() <= 0.0:
                    return None
                if self._is_kept():
                    await self._ask_again()

    def _remaining_wait_ms(self) -> float:
        """:returns: for how long the call may still be answered

        Nothing can replace a silent attempt once the call has failed otherwise. A
        caller that has received nothing is told so as soon as its upstream has been
        silent for longer than sound ones may be. A silence shows nothing while the path
        is lost, so it counts from when the path is back, once.
        """
        if self._dispatching is not None or self._handing_over is not None:
            return math.inf
        if not self._living:
            return 0.0
        if self._failure is None or self._relay.response is not None:
            return math.inf
        heard_ms = max(attempt.heard_ms for attempt in self._living)
        heard_ms = max(heard_ms, self._returned_ms or heard_ms)
        bound_ms = self._state.paths.monitor.bounds.sound_silence_ms
        return max(0.0, heard_ms + bound_ms - self._state.clock.now_ms())

    async def _handle_ended(
        self, task: asyncio.Task[object] | None
    ) -> web.StreamResponse | None:
        """:returns: the response, if it is complete

        :raises RequestError: if the caller is gone
        """
        if task is None:
            return None
        if task is self._dispatching:
            dispatching, self._dispatching = self._dispatching, None
            try:
                self._start(dispatching.result())
                if not self._has_offered:
                    self._failure = None
            except RequestError as error:
                self._fail(error)
        elif task is self._handing_over:
            handing_over, self._handing_over = self._handing_over, None
            try:
                return handing_over.result()
            except RequestError as error:
                self._failure = error
                if isinstance(error, NotTakenError):
                    await self._note_not_taken()
        else:
            for attempt in self._living:
                if attempt.task is task:
                    return await self._handle_ended_attempt(attempt)
        return None

    async def _handle_ended_attempt(
        self, attempt: AttemptRun
    ) -> web.StreamResponse | None:
        self._living.remove(attempt)
        try:
            response = attempt.task.result()
        except UpstreamError as error:
            self._failed_response = attempt.failed_response or self._failed_response
            await self._report_fault(attempt, error)
            return None
        except NotAllowedError as error:
            self._ticket.drop_attempt(attempt.dispatch.attempt_id)
            self._refuse(error)
            return None
        self.upstream = attempt.upstream
        return response

    def _find_last_response(self) -> web.StreamResponse | None:
        """:returns: a replica's own error, if nothing better may still come

        :raises RequestError: if nothing may come, and there is none
        """
        if self._remaining_wait_ms() or not self._ended.empty():
            return None
        assert self._failure is not None
        if self._failed_response is None or self._relay.response is not None:
            raise self._failure
        return self._failed_response

    def _start(self, dispatch: Dispatch) -> None:
        if dispatch.first_token_ms:
            wait_ms = self._state.clock.now_ms() - self._call.arrived_ms
            self.predicted_first_event_ms = wait_ms + dispatch.first_token_ms
        self._log.record_dispatch(dispatch)
        self.n_attempts = dispatch.n_attempt
        self.upstream = dispatch.upstreams[-1]
        attempt = AttemptRun(
            self._state,
            self._call,
            self._ticket,
            self._relay,
            dispatch,
            self._account.open(dispatch.upstreams[-1]),
            check=self._prepare,
            claim=self._claim,
            on_verdict=self._handle_verdict,
        )
        self._living.append(attempt)
        attempt.task.add_done_callback(self._ended.put_nowait)

    async def _claim(self, winner: AttemptRun) -> None:
        """Let an attempt write to the caller, and give up all others."""
        self._failure = None
        if len(self._living) == 1 and not winner.is_left and not self._handing_over:
            return
        self._give_up_others(winner)
        if not winner.is_left:
            return
        winner.is_left = False
        self._log.record_resumed(winner)
        is_tracked = await self._ticket.resume_attempt(winner.dispatch.attempt_id)
        self._may_retry = is_tracked

    async def _claim_for_other_vm(self) -> None:
        self._give_up_others(None)
        self._ticket.withdraw()

    def _give_up_others(self, winner: AttemptRun | None) -> None:
        others = [attempt for attempt in self._living if attempt is not winner]
        for attempt in others:
            self._give_up(attempt)
        if self._dispatching is not None:
            self._drop_dispatch(self._dispatching)
        if self._handing_over is not None and winner is not None:
            self._cancel(self._handing_over)
            self._handing_over = None

    def _give_up(self, attempt: AttemptRun) -> None:
        self._living.remove(attempt)
        self._cancel(attempt.task)
        if attempt.runner.sent_ms is None and attempt.dispatch.plan is None:
            self._ticket.drop_attempt(attempt.dispatch.attempt_id)
        if not attempt.is_left:
            self._log.record_left(attempt)

    def _drop_dispatch(self, dispatching: asyncio.Task[Dispatch]) -> None:
        self._dispatching = None
        self._ticket.drop_dispatch(dispatching)
        self._cancelled.append(dispatching)

    def _cancel(self, task: asyncio.Task[object]) -> None:
        task.cancel()
        self._cancelled.append(task)

    async def _stop(self) -> None:
        """Cancel what still runs, and wait until it has released what it holds."""
        self._give_up_others(None)
        if self._handing_over is not None:
            self._cancel(self._handing_over)
        await asyncio.gather(*self._cancelled, return_exceptions=True)

    async def _note_not_taken(self) -> None:
        """Go on with a call that no other VM has run."""
        self._ticket.note_handed_over(is_over=True)
        if self._returned_ms is not None:
            self._returned_ms = self._state.clock.now_ms()
        if self._is_kept():
            await self._ask_again()

    def _handle_verdict(self, attempt: AttemptRun, verdict: SilenceVerdict) -> None:
        if self._has_offered and verdict is not SilenceVerdict.NO_PATH:
            self._note_returned()
        if verdict is SilenceVerdict.REPLACE:
            self._replace(attempt)
        elif verdict is SilenceVerdict.NO_PATH:
            if not self._has_offered:
                self._offer_to_other_vm()
        elif not self._has_offered:
            # The path may have been lost for a moment.
            self._failure = None

    def _replace(self, attempt: AttemptRun) -> None:
        """Wait for the attempt that replaces a silent one, which goes on meanwhile."""
        attempt.is_left = True
        self._log.record_replaced(attempt)
        self._request_dispatch()

    def _fail(self, error: RequestError) -> None:
        """Record that this VM makes no further attempt; another one may.

        Attempts that are still alive go on meanwhile.
        """
        self._failure = error
        if not self._living or self._has_offered:
            return
        if self._offer.allows(error.failure, self._account):
            self._hand_over()

    def _request_dispatch(self) -> None:
        self._dispatching = asyncio.create_task(self._ticket.next_dispatch())
        self._dispatching.add_done_callback(self._ended.put_nowait)

    def _offer_to_other_vm(self) -> None:
        """Hand the call over while its silent attempt goes on.

        A caller that has received nothing is refused if no VM may take it.
        """
        failure = Failure(Reason.NO_PATH, Ran.UNKNOWN)
        if self._offer.allows(failure, self._account):
            self._hand_over()
        else:
            self._failure = RequestError(failure)
            self._ended.put_nowait(None)

    def _hand_over(self) -> None:
        """Have another VM make the attempts that are left; this one makes no more."""
        self._has_offered = True
        self._ticket.note_handed_over()
        hand_over = self._offer.hand_over(
            self._relay, self._account, self._claim_for_other_vm
        )
        self._handing_over = asyncio.create_task(hand_over)
        self._handing_over.add_done_callback(self._ended.put_nowait)

    def _prepare(self, attempt: AttemptRun) -> None:
        """Check whether an attempt may be sent, and free the memory that it may need.

        A long prompt may fit into the replicas only once: attempts that hold memory for
        it are given up for one that has to reserve it.

        :raises NotAllowedError: if the configuration in force does not allow it
        """
        self._send_check.run()
        if attempt.dispatch.plan is None:
            return
        for other in tuple(self._living):
            if other is not attempt and other.dispatch.plan is not None:
                self._give_up(other)

    def _handle_new_view(self) -> None:
        """End what waits to be sent if it would not be sent any more.

        An attempt waits for its turn at an upstream, or for memory; a call waits for
        its next attempt.
        """
        for attempt in tuple(self._living):
            if attempt.runner.sent_ms is None and not attempt.task.done():
                self._end_if_refused(attempt)
        if self._dispatching is None or self._dispatching.done():
            return
        if self._living or self._handing_over is not None:
            return
        try:
            self._send_check.run()
        except NotAllowedError as error:
            self._drop_dispatch(self._dispatching)
            self._refuse(error)
            self._ended.put_nowait(None)

    def _handle_evacuation(self) -> None:
        """Place attempts again that wait to be sent to an evacuated zone."""
        for attempt in self._living:
            attempt.divert()

    def _end_if_refused(self, attempt: AttemptRun) -> None:
        try:
            self._send_check.run()
        except NotAllowedError as error:
            self._give_up(attempt)
            self._ticket.drop_attempt(attempt.dispatch.attempt_id)
            self._refuse(error)

    def _refuse(self, error: NotAllowedError) -> None:
        """Record that the configuration in force does not allow the next attempt."""
        self._fail(RequestError(self._account.word(error.failure)))

    async def _report_fault(self, attempt: AttemptRun, error: UpstreamError) -> None:
        """Record the fault of an attempt; one that is not replaced yet is retried."""
        self._log.record_fault(attempt, error)
        try:
            if not attempt.is_left:
                await self._retry(attempt, error)
            elif self._is_kept():
                await self._ask_again()
        finally:
            self._log.check_replica(attempt, error)

    async def _retry(self, attempt: AttemptRun, error: UpstreamError) -> None:
        """Ask the scheduler for the next attempt.

        An attempt that goes on while the scheduler decides drops what it decided.
        """
        if not self._may_retry:
            self._fail(RequestError(Failure(Reason.UPSTREAM_FAILED, Ran.UNKNOWN)))
            return
        try:
            await self._ticket.end_attempt(attempt.build_end(error))
        except RequestError as failure:
            if not self._has_resumed():
                self._fail(failure)
        else:
            if not self._has_resumed():
                self._request_dispatch()

    def _is_kept(self) -> bool:
        """:returns: whether nothing is to replace the attempts that live, or to follow

        What prevents it may pass: a lost path, a limit, a suspicion.
        """
        return (
            self._dispatching is None
            and self._handing_over is None
            and self._may_retry
            and not self._has_resumed()
        )

    async def _ask_again(self) -> None:
        """Ask whether another attempt may be made by now."""
        try:
            self._send_check.run()
            await self._ticket.retry_kept()
        except NotAllowedError:
            return
        except RequestError as error:
            if self._has_resumed():
                return
            if not self._has_offered:
                self._fail(error)
            elif error.failure.reason is not Reason.NO_PATH:
                self._note_returned()
        else:
            if self._has_resumed():
                return
            if self._has_offered:
                self._note_returned()
            self._request_dispatch()

    def _note_returned(self) -> None:
        self._returned_ms = self._returned_ms or self._state.clock.now_ms()

    def _has_resumed(self) -> bool:
        return any(not attempt.is_left for attempt in self._living)


__all__ = ("CallRun",)
