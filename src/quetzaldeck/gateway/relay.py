"""Runs the attempts of one request until its answer is complete."""

from __future__ import annotations

import asyncio
from contextlib import aclosing, asynccontextmanager
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.decisions import AttemptEnd, AttemptFault
from quetzaldeck.decisions.silence.verdict import SilenceVerdict
from quetzaldeck.gateway.answer import MAX_BUFFERED_CHUNKS, Answer, DropReason
from quetzaldeck.gateway.attempt_tasks import AttemptTask, AttemptTasks
from quetzaldeck.gateway.errors import RequestError
from quetzaldeck.gateway.group_run import GroupRun
from quetzaldeck.gateway.release_task import Release
from quetzaldeck.gateway.silence_watch import SilenceWatch
from quetzaldeck.outcomes import Failure, Ran, Reason
from quetzaldeck.telemetry import log_event
from quetzaldeck.upstreams import Attempt, UpstreamError

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, AsyncIterator

    from quetzaldeck.decisions import Dispatch
    from quetzaldeck.decisions.groups import GroupPlan
    from quetzaldeck.gateway.admission_check import AdmissionCheck
    from quetzaldeck.gateway.state import GatewayState
    from quetzaldeck.gateway.ticket import Ticket
    from quetzaldeck.upstreams import Chunk, CompletionCall, EngineUpstream


MAX_UNREAD_TEXTS = 16
"""Texts that wait for a caller until no more are read from the engine: several lines of
one packet, so that there is not one switch of tasks per line."""


class _Text(NamedTuple):
    """Text for the caller; the last one has the reason why the answer ends."""

    text: str
    finish_reason: str | None


class _AttemptRun(AttemptTask[None]):
    """One attempt.

    ``early``: chunks that came before the ones that precede them, while it was not
    known which attempt continues.
    """

    def __init__(self, dispatch: Dispatch) -> None:
        super().__init__(dispatch)
        self.has_text = False
        self.early: list[Chunk] = []


class Relay:
    """Runs attempts and yields the text of the answer, each character once.

    An attempt whose engine is silent keeps running until the one that replaces it adds
    to the answer. The first attempt that does so ends the others.

    :param ticket: the admitted request
    :param call: the caller's call
    :param check: whether the bundle in force allows the call
    """

    def __init__(
        self,
        state: GatewayState,
        ticket: Ticket,
        call: CompletionCall,
        check: AdmissionCheck,
    ) -> None:
        self._state = state
        self._ticket = ticket
        self._call = call
        self._check = check
        self._events: asyncio.Queue[_Text | asyncio.Task[object]] = asyncio.Queue()
        self._finish_reason: str | None = None
        self._attempts: AttemptTasks[None] = AttemptTasks(
            ticket,
            state.metrics,
            check=self._recheck,
            start=self._start,
            on_end=self._events.put_nowait,
        )
        self._writer: AttemptTask[None] | None = None
        self._may_retry = True
        self.answer = Answer()
        self.has_dispatched = False
        self.has_noted_ttft = False

    @property
    def finish_reason(self) -> str | None:
        """:returns: why the answer ends with the text that was yielded last, if so"""
        return self._finish_reason

    async def stream(self) -> AsyncGenerator[str, None]:
        """Yield the text of the answer as it arrives.

        The consumer must close the generator, even after an error (``aclosing``).
        Otherwise the engine would continue to run and the memory of the group would
        stay reserved until the generator is garbage-collected.

        :raises RequestError: if the answer cannot be completed in time
        """
        async with self._attempts:
            with self._state.watch_bundle(self._attempts.handle_new_bundle):
                while True:
                    event = await self._events.get()
                    self._events.task_done()
                    if isinstance(event, _Text):
                        self._finish_reason = event.finish_reason
                        yield event.text
                        continue
                    run = self._attempts.take_ended(event)
                    if run is not None and await self._handle_ended(run):
                        return
                    self._attempts.raise_if_none_left()

    async def _handle_ended(self, run: AttemptTask[None]) -> bool:
        """:returns: whether the attempt has completed the answer"""
        if self._writer is run:
            self._writer = None
        try:
            run.result()
        except UpstreamError as error:
            await self._note_fault(run, error)
            return False
        await self._ticket.end_attempt(self._build_end(run.dispatch))
        return True

    def _start(self, dispatch: Dispatch) -> None:
        self._note_dispatch(dispatch)
        if dispatch.plan is not None:
            # A long prompt may fit into the engines only once.
            for other in self._attempts.living:
                if other.dispatch.plan is not None:
                    self._attempts.give_up(other)
        run = _AttemptRun(dispatch)
        self._attempts.run(run, self._run_attempt(run))

    async def _run_attempt(self, run: _AttemptRun) -> None:
        dispatch = run.dispatch
        self._recheck()
        attempt = self._build_attempt(dispatch)
        if dispatch.plan is None:
            self._state.check_open(dispatch.upstreams[-1])
            self.has_dispatched = True
            await self._read_answer(run, attempt)
            return
        async with self._reserve(dispatch.plan, attempt) as group:
            self._recheck()
            for name in dispatch.upstreams:
                self._state.check_open(name)
            self.has_dispatched = True
            await self._read_answer(run, await group.prefill())

    def _recheck(self) -> None:
        """Check whether the bundle in force allows the next attempt.

        :raises RequestError: if it does not
        """
        failure = self._check.run(may_have_run=self.has_dispatched)
        if failure is not None:
            raise RequestError(failure)

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

    async def _read_answer(self, run: _AttemptRun, attempt: Attempt) -> None:
        """Add the chunks of an attempt to the answer until it is complete.

        An engine is not read faster than the caller reads.
        """
        name = run.dispatch.upstreams[-1]
        has_ended = False
        try:
            async with (
                self._state.connections.use_engine(name) as engine,
                aclosing(
                    engine.complete(attempt, self._build_watch(run, engine))
                ) as chunks,
            ):
                async for chunk in chunks:
                    if chunk.cache_events is not None:
                        self._state.note_cache_events(chunk.cache_events)
                    for text in await self._accept(run, chunk):
                        self._note_text(run)
                        finish_reason = self.answer.finish_reason
                        self._events.put_nowait(_Text(text, finish_reason))
                    if self._events.qsize() >= MAX_UNREAD_TEXTS:
                        await self._events.join()
                    if self._writer is run and self.answer.finish_reason is not None:
                        break
            self._check_end(run)
            has_ended = True
        finally:
            if not has_ended:
                self._state.releases.send(Release(name, attempt.attempt_id))

    def _note_text(self, run: _AttemptRun) -> None:
        if not run.has_text:
            run.has_text = True
            self._ticket.note_first_token(run.attempt_id)

    async def _accept(self, run: _AttemptRun, chunk: Chunk) -> list[str]:
        """:returns: texts that a chunk adds to the answer"""
        chunks = [chunk]
        if self._writer is not run:
            if chunk.attempt_id != run.attempt_id:
                self._note_drop(DropReason.FOREIGN)
                return []
            if chunk.offset > self.answer.offset:
                self._keep_early(run, chunk)
                return []
            if not self.answer.lacks(chunk):
                if chunk.text:
                    self._note_drop(DropReason.DUPLICATE)
                return []
            await self._claim(run)
            chunks, run.early = [*run.early, chunk], []
        texts = []
        for each in chunks:
            text = self.answer.accept(each)
            if isinstance(text, DropReason):
                self._note_drop(text)
            else:
                texts.append(text)
        return texts

    def _keep_early(self, run: _AttemptRun, chunk: Chunk) -> None:
        if len(run.early) >= MAX_BUFFERED_CHUNKS:
            self._note_drop(DropReason.GAP)
        run.early.append(chunk)

    async def _claim(self, run: _AttemptRun) -> None:
        """Let an attempt continue the answer, and give up all others."""
        self._writer = run
        self.answer.continue_with(run.attempt_id)
        self._attempts.keep_only(run)
        if run.is_replaced:
            run.is_replaced = False
            self._may_retry = await self._ticket.resume_attempt(run.attempt_id)

    def _build_watch(self, run: _AttemptRun, engine: EngineUpstream) -> SilenceWatch:
        """:returns: the watch on the time between two heartbeats or chunks"""

        def handle_verdict(verdict: SilenceVerdict) -> None:
            self._state.connections.note_silent(engine)
            if verdict is SilenceVerdict.REPLACE:
                if self._writer is run:
                    self._writer = None
                self._attempts.replace(run)

        return SilenceWatch(
            self._ticket,
            self._state.clock,
            run.attempt_id,
            self._ticket.request.request_id,
            self._state.settings.upstreams.idle_ms,
            handle_verdict,
        )

    def _check_end(self, run: _AttemptRun) -> None:
        """Check that the attempt completed the answer.

        An engine may end its stream although a chunk is missing. If that counted as a
        success, the request would wait for a dispatch that never comes.

        :raises UpstreamError: if the answer is incomplete
        """
        if self._writer is not run or self.answer.finish_reason is None:
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
            was_sent=error is None or error.was_sent,
            retry_after_ms=None if error is None else error.retry_after_ms,
            upstream="" if error is None else error.upstream,
            incarnation="" if error is None else error.incarnation,
        )

    async def _note_fault(self, run: AttemptTask[None], error: UpstreamError) -> None:
        """Have the next attempt made, unless one is to replace this one already."""
        dispatch = run.dispatch
        self._state.metrics.attempt_faults.labels(error.fault.value).inc()
        log_event(
            "attempt_failed",
            level="WARNING",
            request=dispatch.request.request_id,
            attempt=dispatch.attempt_id,
            upstream=error.upstream or ",".join(dispatch.upstreams),
            error=error,
        )
        if run.is_replaced:
            await self._attempts.retry_if_last()
            return
        if not self._may_retry:
            failure = Failure(Reason.UPSTREAM_FAILED, Ran.UNKNOWN)
            self._attempts.failure = RequestError(failure)
            return
        is_retried = await self._attempts.end_failed(self._build_end(dispatch, error))
        # Another attempt may have gone on meanwhile, and dropped the retry.
        if is_retried and self._writer is None:
            self._attempts.request_dispatch()

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
