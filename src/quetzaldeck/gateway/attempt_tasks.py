"""The tasks of one request: its attempts, and the wait for its next dispatch."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Generic, Self, TypeVar

from quetzaldeck.clock.clock import MS_PER_SECOND
from quetzaldeck.decisions import AttemptFault
from quetzaldeck.decisions.silence_thresholds import SILENCE_RECHECK_MS
from quetzaldeck.gateway.errors import RequestError

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from types import TracebackType

    from quetzaldeck.decisions import AttemptEnd, Dispatch
    from quetzaldeck.gateway.ticket import Ticket
    from quetzaldeck.telemetry import GatewayMetrics

Result = TypeVar("Result")


class AttemptTask(Generic[Result]):
    """One attempt, as a task that owns its connection.

    ``is_replaced``: another attempt is to replace it, and it keeps running.
    """

    def __init__(self, dispatch: Dispatch) -> None:
        self.dispatch = dispatch
        self.is_replaced = False
        self.task: asyncio.Task[Result] | None = None

    @property
    def attempt_id(self) -> str:
        """:returns: id of the attempt"""
        return self.dispatch.attempt_id

    def result(self) -> Result:
        """:returns: what the attempt, which has ended, returned or raised"""
        assert self.task is not None
        return self.task.result()


class AttemptTasks(Generic[Result]):
    """Waits for dispatches and runs the attempts, until it is closed.

    A replacement that is refused while a silent attempt runs may be possible later, so
    it is asked for again until then.

    On entry it begins to wait for the first dispatch. On exit it cancels what still
    runs, and waits until that has released its connections.

    :param ticket: the scheduler's handle for the admitted request
    :param check: raises ``RequestError`` if the next attempt may not be sent
    :param start: starts the attempt of a dispatch; see :meth:`run`
    :param on_end: is called with each task that has ended; see :meth:`take_ended`
    """

    def __init__(
        self,
        ticket: Ticket,
        metrics: GatewayMetrics,
        *,
        check: Callable[[], None],
        start: Callable[[Dispatch], None],
        on_end: Callable[[asyncio.Task[object]], None],
    ) -> None:
        self._ticket = ticket
        self._metrics = metrics
        self._check = check
        self._start = start
        self._on_end = on_end
        self._living: list[AttemptTask[Result]] = []
        self._dispatching: asyncio.Task[Dispatch] | None = None
        self._asking: asyncio.Task[None] | None = None
        self._is_exchanging = False
        self._cancelled: list[asyncio.Task[object]] = []
        self.failure: RequestError | None = None

    @property
    def living(self) -> tuple[AttemptTask[Result], ...]:
        """:returns: attempts that have neither ended nor been cancelled"""
        return tuple(self._living)

    async def __aenter__(self) -> Self:
        self.request_dispatch()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for attempt in self.living:
            self.give_up(attempt)
        self._give_up_dispatch()
        await asyncio.gather(*self._cancelled, return_exceptions=True)

    def request_dispatch(self) -> None:
        """Wait for the next dispatch, and start its attempt."""
        self._dispatching = asyncio.create_task(self._ticket.next_dispatch())
        self._dispatching.add_done_callback(self._on_end)

    def run(
        self,
        attempt: AttemptTask[Result],
        coroutine: Coroutine[object, object, Result],
    ) -> None:
        """Run an attempt.

        :param coroutine: sends the attempt and reads its answer
        """
        attempt.task = asyncio.create_task(coroutine)
        attempt.task.add_done_callback(self._on_end)
        self._living.append(attempt)

    def take_ended(self, task: asyncio.Task[object]) -> AttemptTask[Result] | None:
        """Handle the end of a task.

        :returns: the attempt, if one has ended with an answer or an upstream's fault
        """
        if task is self._dispatching:
            dispatching, self._dispatching = self._dispatching, None
            try:
                self._start(dispatching.result())
            except RequestError as error:
                self._note_refused(error)
            return None
        if task is self._asking:
            self._asking = None
            self.request_dispatch()
            return None
        attempt = next((a for a in self._living if a.task is task), None)
        if attempt is None:
            return None
        self._living.remove(attempt)
        fault = task.exception()
        if isinstance(fault, RequestError):
            self._ticket.drop_attempt(attempt.attempt_id)
            self._note_refused(fault)
            return None
        return attempt

    def raise_if_none_left(self) -> None:
        """Check that an attempt runs or is waited for.

        :raises RequestError: why there is none
        """
        if self._dispatching is None and not self._living:
            assert self.failure is not None
            raise self.failure

    async def end_failed(self, end: AttemptEnd) -> bool:
        """:returns: whether the scheduler retries the request of a failed attempt"""
        try:
            await self._ticket.end_attempt(end)
        except RequestError as error:
            self._note_refused(error)
            return False
        return True

    async def retry_if_last(self) -> None:
        """Ask for another attempt once a replaced one has failed and none is left."""
        if self._living or self._dispatching is not None:
            return
        while self._is_exchanging:
            await asyncio.sleep(0)
        if self._asking is not None and self._asking.done():
            self._asking = None
            self.request_dispatch()
            return
        self._stop_asking()
        try:
            self._check()
            await self._ticket.retry_kept()
        except RequestError as error:
            self.failure = error
        else:
            self.request_dispatch()

    def replace(self, attempt: AttemptTask[Result]) -> None:
        """Wait for the attempt that replaces a silent one, which keeps running."""
        attempt.is_replaced = True
        self._metrics.attempt_faults.labels(AttemptFault.SILENT.value).inc()
        self.request_dispatch()

    def keep_only(self, attempt: AttemptTask[Result]) -> None:
        """Give up all other attempts, and the wait for the next one."""
        self.failure = None
        for other in self.living:
            if other is not attempt:
                self.give_up(other)
        self._give_up_dispatch()

    def give_up(self, attempt: AttemptTask[Result]) -> None:
        """Cancel an attempt."""
        self._living.remove(attempt)
        if attempt.task is not None:
            self._cancel(attempt.task)

    def handle_new_bundle(self) -> None:
        """End a request that waits for its next attempt if it would not be sent."""
        if self._living or self._dispatching is None or self._dispatching.done():
            return
        try:
            self._check()
        except RequestError as error:
            self.failure = error
            self._give_up_dispatch()

    def _note_refused(self, error: RequestError) -> None:
        self.failure = error
        if self._living and self._asking is None:
            self._asking = asyncio.create_task(self._ask_again())
            self._asking.add_done_callback(self._on_end)

    async def _ask_again(self) -> None:
        """Wait until the scheduler has queued another attempt."""
        while True:
            await asyncio.sleep(SILENCE_RECHECK_MS / MS_PER_SECOND)
            self._is_exchanging = True
            try:
                self._check()
                await self._ticket.retry_kept()
            except RequestError as error:
                self.failure = error
            else:
                return
            finally:
                self._is_exchanging = False

    def _stop_asking(self) -> None:
        if self._asking is not None:
            self._cancel(self._asking)
            self._asking = None

    def _give_up_dispatch(self) -> None:
        self._stop_asking()
        if self._dispatching is not None:
            self._ticket.drop_dispatch(self._dispatching)
            self._cancelled.append(self._dispatching)
            self._dispatching = None

    def _cancel(self, task: asyncio.Task[object]) -> None:
        task.cancel()
        self._cancelled.append(task)


__all__ = ("AttemptTask", "AttemptTasks")
