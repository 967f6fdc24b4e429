"""Runs the attempts of one request until its answer is complete."""

from __future__ import annotations

import asyncio
from contextlib import aclosing, asynccontextmanager
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.decisions import AttemptEnd, AttemptFault
from quetzaldeck.decisions.silence.verdict import SilenceVerdict
from quetzaldeck.gateway.answer import MAX_BUFFERED_CHUNKS, Answer, DropReason
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


class _AttemptRun:
    """One attempt, as a task that owns its connection.

    ``is_left``: another attempt is to replace it, and it goes on until that one adds to
    the answer. ``early``: chunks that came before the ones that precede them, while it
    was not known which attempt goes on.
    """

    def __init__(self, dispatch: Dispatch) -> None:
        self.dispatch = dispatch
        self.is_left = False
        self.has_text = False
        self.early: list[Chunk] = []
        self.task: asyncio.Task[None] | None = None

    @property
    def attempt_id(self) -> str:
        """:returns: id of the attempt"""
        return self.dispatch.attempt_id


class Relay:
    """Runs attempts and yields the text of the answer, each character once.

    An attempt whose engine is silent goes on until the one that replaces it adds to the
    answer. The first that does so ends the others.

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
        self._living: list[_AttemptRun] = []
        self._writer: _AttemptRun | None = None
        self._dispatching: asyncio.Task[Dispatch] | None = None
        self._cancelled: list[asyncio.Task[object]] = []
        self._failure: RequestError | None = None
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
        try:
            self._request_dispatch()
            with self._state.watch_bundle(self._handle_new_bundle):
                while True:
                    event = await self._events.get()
                    self._events.task_done()
                    if isinstance(event, _Text):
                        self._finish_reason = event.finish_reason
                        yield event.text
                        continue
                    if await self._handle_ended(event):
                        return
                    if self._dispatching is None and not self._living:
                        assert self._failure is not None
                        raise self._failure
        finally:
            await self._stop()

    async def _handle_ended(self, task: asyncio.Task[object]) -> bool:
        """:returns: whether an attempt has ended that completed the answer"""
        if task is self._dispatching:
            dispatching, self._dispatching = self._dispatching, None
            try:
                self._start(dispatching.result())
            except RequestError as error:
                self._failure = error
            return False
        for run in self._living:
            if run.task is task:
                self._living.remove(run)
                return await self._handle_ended_attempt(run)
        return False

    async def _handle_ended_attempt(self, run: _AttemptRun) -> bool:
        if self._writer is run:
            self._writer = None
        assert run.task is not None
        try:
            run.task.result()
        except UpstreamError as error:
            await self._note_fault(run, error)
            return False
        except RequestError as error:
            self._ticket.drop_attempt(run.attempt_id)
            self._failure = error
            return False
        await self._ticket.end_attempt(self._build_end(run.dispatch))
        return True

    def _request_dispatch(self) -> None:
        self._dispatching = asyncio.create_task(self._ticket.next_dispatch())
        self._dispatching.add_done_callback(self._events.put_nowait)

    def _start(self, dispatch: Dispatch) -> None:
        self._note_dispatch(dispatch)
        run = _AttemptRun(dispatch)
        if dispatch.plan is not None:
            # A long prompt may fit into the engines only once.
            for other in tuple(self._living):
                if other.dispatch.plan is not None:
                    self._give_up(other)
        run.task = asyncio.create_task(self._run_attempt(run))
        run.task.add_done_callback(self._events.put_nowait)
        self._living.append(run)

    async def _run_attempt(self, run: _AttemptRun) -> None:
        dispatch = run.dispatch
        self._recheck()
        attempt = self._build_attempt(dispatch)
        if dispatch.plan is None:
            self.has_dispatched = True
            await self._read_answer(run, attempt)
            return
        async with self._reserve(dispatch.plan, attempt) as group:
            self._recheck()
            self.has_dispatched = True
            await self._read_answer(run, await group.prefill())

    def _recheck(self) -> None:
        """Check whether the bundle in force allows the next attempt.

        :raises RequestError: if it does not
        """
        failure = self._check.run(may_have_run=self.has_dispatched)
        if failure is not None:
            raise RequestError(failure)

    def _handle_new_bundle(self) -> None:
        """End a request that waits for its next attempt if it would not be sent."""
        if self._living or self._dispatching is None or self._dispatching.done():
            return
        try:
            self._recheck()
        except RequestError as error:
            self._failure = error
            self._cancel(self._dispatching)
            self._dispatching = None

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
        self._failure = None
        self.answer.continue_with(run.attempt_id)
        for other in tuple(self._living):
            if other is not run:
                self._give_up(other)
        if self._dispatching is not None:
            self._cancel(self._dispatching)
            self._dispatching = None
        if run.is_left:
            run.is_left = False
            self._may_retry = await self._ticket.resume_attempt(run.attempt_id)

    def _build_watch(self, run: _AttemptRun, engine: EngineUpstream) -> SilenceWatch:
        """:returns: the watch on the time between two heartbeats or chunks"""

        def handle_verdict(verdict: SilenceVerdict) -> None:
            self._state.connections.note_silent(engine)
            if verdict is SilenceVerdict.REPLACE:
                self._replace(run)

        return SilenceWatch(
            self._ticket,
            self._state.clock,
            run.attempt_id,
            self._ticket.request.request_id,
            self._state.settings.upstreams.idle_ms,
            handle_verdict,
        )

    def _replace(self, run: _AttemptRun) -> None:
        """Wait for the attempt that replaces a silent one, which goes on meanwhile."""
        run.is_left = True
        if self._writer is run:
            self._writer = None
        faults = self._state.metrics.attempt_faults
        faults.labels(AttemptFault.SILENT.value).inc()
        self._request_dispatch()

    def _give_up(self, run: _AttemptRun) -> None:
        self._living.remove(run)
        if run.task is not None:
            self._cancel(run.task)

    def _cancel(self, task: asyncio.Task[object]) -> None:
        task.cancel()
        self._cancelled.append(task)

    async def _stop(self) -> None:
        """Cancel what still runs, and wait until it has released what it holds."""
        for run in tuple(self._living):
            self._give_up(run)
        if self._dispatching is not None:
            self._cancel(self._dispatching)
        await asyncio.gather(*self._cancelled, return_exceptions=True)

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
            retry_after_ms=None if error is None else error.retry_after_ms,
            upstream="" if error is None else error.upstream,
            incarnation="" if error is None else error.incarnation,
        )

    async def _note_fault(self, run: _AttemptRun, error: UpstreamError) -> None:
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
        if run.is_left:
            return
        if not self._may_retry:
            failure = Failure(Reason.UPSTREAM_FAILED, Ran.UNKNOWN)
            self._failure = RequestError(failure)
            return
        try:
            await self._ticket.end_attempt(self._build_end(dispatch, error))
        except RequestError as failed:
            self._failure = failed
        else:
            # Another attempt may have gone on meanwhile, and dropped the retry.
            if self._writer is None:
                self._request_dispatch()

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
