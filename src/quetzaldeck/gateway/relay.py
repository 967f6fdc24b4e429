"""Runs the attempts of one request until its answer is complete."""

from __future__ import annotations

from contextlib import aclosing, asynccontextmanager
from typing import TYPE_CHECKING

from quetzaldeck.decisions import AttemptEnd, AttemptFault
from quetzaldeck.gateway.answer import Answer, DropReason
from quetzaldeck.gateway.errors import RequestError
from quetzaldeck.gateway.group_run import GroupRun
from quetzaldeck.gateway.release_task import Release
from quetzaldeck.outcomes import Failure, Ran, Reason
from quetzaldeck.telemetry import log_event
from quetzaldeck.upstreams import Attempt, UpstreamError

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, AsyncIterator

    from quetzaldeck.decisions import Dispatch
    from quetzaldeck.decisions.groups import GroupPlan
    from quetzaldeck.gateway.state import GatewayState
    from quetzaldeck.gateway.ticket import Ticket
    from quetzaldeck.upstreams import CompletionCall


class Relay:
    """Runs attempts and yields the text of the answer, each character once.

    :param ticket: the admitted request
    :param call: the caller's call
    """

    def __init__(
        self, state: GatewayState, ticket: Ticket, call: CompletionCall
    ) -> None:
        self._state = state
        self._ticket = ticket
        self._call = call
        self.answer = Answer()
        self.has_dispatched = False
        self.has_noted_ttft = False

    async def stream(self) -> AsyncGenerator[str, None]:
        """Yield the text of the answer as it arrives.

        The consumer must close the generator, even after an error (``aclosing``).
        Otherwise the engine would continue to run and the memory of the group would
        stay reserved until the generator is garbage-collected.

        :raises RequestError: if the answer cannot be completed in time
        """
        while self.answer.finish_reason is None:
            dispatch = await self._ticket.next_dispatch()
            self._note_dispatch(dispatch)
            try:
                async with aclosing(self._run_attempt(dispatch)) as texts:
                    async for text in texts:
                        yield text
            except UpstreamError as error:
                await self._note_fault(dispatch, error)
            else:
                await self._ticket.end_attempt(self._build_end(dispatch))

    async def _run_attempt(self, dispatch: Dispatch) -> AsyncGenerator[str, None]:
        attempt = self._build_attempt(dispatch)
        self.answer.begin_attempt(attempt.attempt_id)
        if dispatch.plan is None:
            self.has_dispatched = True
            name = dispatch.upstreams[0]
            async with aclosing(self._read_answer(name, attempt)) as texts:
                async for text in texts:
                    yield text
            return
        async with self._reserve(dispatch.plan, attempt) as run:
            self.has_dispatched = True
            attempt = await run.prefill()
            name = dispatch.upstreams[-1]
            async with aclosing(self._read_answer(name, attempt)) as texts:
                async for text in texts:
                    yield text

    @asynccontextmanager
    async def _reserve(
        self, plan: GroupPlan, attempt: Attempt
    ) -> AsyncIterator[GroupRun]:
        counter = self._state.metrics.upstreams.reservations
        run = GroupRun(
            self._state.connections,
            self._state.releases.send,
            plan,
            attempt,
            self._state.clock,
        )
        try:
            await run.__aenter__()
        except UpstreamError as error:
            counter.labels(error.fault.value).inc()
            raise
        counter.labels("granted").inc()
        self._ticket.note_reserved(attempt.attempt_id)
        try:
            yield run
        finally:
            await run.__aexit__(None, None, None)

    async def _read_answer(
        self, name: str, attempt: Attempt
    ) -> AsyncGenerator[str, None]:
        has_ended = False
        is_first = True
        try:
            async with (
                self._state.connections.use_engine(name) as engine,
                aclosing(engine.complete(attempt)) as chunks,
            ):
                async for chunk in chunks:
                    if chunk.cache_events is not None:
                        self._state.note_cache_events(chunk.cache_events)
                    text = self.answer.accept(chunk)
                    if isinstance(text, DropReason):
                        self._note_drop(text)
                        continue
                    if is_first:
                        is_first = False
                        self._ticket.note_first_token(attempt.attempt_id)
                    yield text
                    if self.answer.finish_reason is not None:
                        break
            self._check_end()
            has_ended = True
        finally:
            if not has_ended:
                self._state.releases.send(Release(name, attempt.attempt_id))

    def _check_end(self) -> None:
        """Check that the attempt completed the answer.

        An engine may end its stream although a chunk is missing. If that counted as a
        success, the request would wait for a dispatch that never comes.

        :raises UpstreamError: if the answer is incomplete
        """
        if self.answer.finish_reason is None:
            detail = "the stream ended with a chunk missing"
            raise UpstreamError(AttemptFault.BAD_ANSWER, detail)

    def _note_drop(self, drop: DropReason) -> None:
        self._state.metrics.dropped_chunks.labels(drop.value).inc()
        if drop is DropReason.GAP:
            detail = "a chunk is missing from the stream"
            raise UpstreamError(AttemptFault.BAD_ANSWER, detail)

    def _build_attempt(self, dispatch: Dispatch) -> Attempt:
        request = dispatch.request
        timeout_ms = request.deadline_ms - self._state.clock.now_ms()
        if timeout_ms <= 0:
            ran = Ran.UNKNOWN if self.has_dispatched else Ran.NO
            raise RequestError(Failure(Reason.DEADLINE_EXCEEDED, ran))
        return Attempt(
            dispatch.attempt_id,
            self._state.owner,
            self._call,
            dispatch.rank,
            timeout_ms,
            delivered=self.answer.text,
            cache_cursor=self._state.cache_cursor(dispatch.upstreams[-1]),
            n_delivered_tokens=self.answer.n_output_tokens,
        )

    def _build_end(
        self, dispatch: Dispatch, error: UpstreamError | None = None
    ) -> AttemptEnd:
        return AttemptEnd(
            dispatch.attempt_id,
            None if error is None else error.fault,
            n_output_tokens=self.answer.n_output_tokens,
            n_prompt_tokens=self.answer.n_prompt_tokens,
            may_have_run=error is None or error.may_have_run,
            retry_after_ms=None if error is None else error.retry_after_ms,
            upstream="" if error is None else error.upstream,
            incarnation="" if error is None else error.incarnation,
        )

    async def _note_fault(self, dispatch: Dispatch, error: UpstreamError) -> None:
        self._state.metrics.attempt_faults.labels(error.fault.value).inc()
        log_event(
            "attempt_failed",
            level="WARNING",
            request=dispatch.request.request_id,
            attempt=dispatch.attempt_id,
            upstream=error.upstream or ",".join(dispatch.upstreams),
            error=error,
        )
        await self._ticket.end_attempt(self._build_end(dispatch, error))

    def _note_dispatch(self, dispatch: Dispatch) -> None:
        request = dispatch.request
        wait_ms = self._state.clock.now_ms() - request.arrived_ms
        if dispatch.n_attempt == 1:
            self._state.metrics.queue_wait_seconds.labels(
                request.length_class.value
            ).observe(wait_ms / 1_000)
        log_event(
            "dispatched",
            request=request.request_id,
            attempt=dispatch.attempt_id,
            upstream=",".join(dispatch.upstreams),
            wait_ms=wait_ms,
        )


__all__ = ("Relay",)
