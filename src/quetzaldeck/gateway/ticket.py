"""The interface through which a handler uses the dispatch task for one request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzaldeck.decisions import Rejection
from quetzaldeck.gateway.errors import RequestError
from quetzaldeck.gateway.messages import (
    DropAttempt,
    EndAttempt,
    JudgeSilence,
    NoteFirstToken,
    NoteHandedOver,
    NoteLived,
    NoteReserved,
    NoteSent,
    ResumeAttempt,
    RetryKept,
    Submit,
    Withdraw,
)

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import TracebackType

    from quetzaldeck.decisions import AttemptEnd, Decision, Dispatch, Request
    from quetzaldeck.decisions.silence.verdict import SilenceVerdict
    from quetzaldeck.gateway.messages import Message
    from quetzaldeck.outcomes import Failure


class Ticket:
    """Admits a request on entry and always withdraws it on exit.

    :param request: the request to admit
    :param send: adds a message to the dispatch task's mailbox
    """

    def __init__(self, request: Request, send: Callable[[Message], None]) -> None:
        self._request = request
        self._send = send
        self._decisions: asyncio.Queue[Decision] = asyncio.Queue()

    @property
    def request(self) -> Request:
        """:returns: the admitted request"""
        return self._request

    async def __aenter__(self) -> Ticket:
        reply = self._new_reply()
        self._send(Submit(self._request, reply, self._decisions))
        try:
            failure = await reply
        except asyncio.CancelledError:
            self._send(Withdraw(self._request.request_id))
            raise
        if failure is not None:
            raise RequestError(failure)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.withdraw()

    def withdraw(self) -> None:
        """Have the scheduler forget the request and release what it holds."""
        self._send(Withdraw(self._request.request_id))

    async def next_dispatch(self) -> Dispatch:
        """:returns: the next dispatch of the request, as soon as it has been placed

        :raises RequestError: if it was rejected while it was queued; a request whose
            silent attempt runs is kept, see :meth:`retry_kept`
        """
        decision = await self._decisions.get()
        if isinstance(decision, Rejection):
            raise RequestError(decision.failure)
        return decision

    def note_first_token(self, attempt_id: str) -> None:
        """Notify the scheduler that the prompt has been prefilled."""
        self._send(NoteFirstToken(attempt_id))

    def note_lived(self, attempt_id: str) -> None:
        """Notify the scheduler that the engine survived the beginning of its answer."""
        self._send(NoteLived(attempt_id))

    def note_reserved(self, attempt_id: str) -> None:
        """Notify the scheduler that the attempt no longer waits for memory."""
        self._send(NoteReserved(attempt_id))

    def note_sent(self, attempt_id: str) -> None:
        """Notify the scheduler that the attempt no longer waits for its turn."""
        self._send(NoteSent(attempt_id))

    async def judge_silence(self, attempt_id: str, silent_ms: float) -> SilenceVerdict:
        """:returns: whether another attempt replaces a silent one, or why not"""
        loop = asyncio.get_running_loop()
        reply: asyncio.Future[SilenceVerdict] = loop.create_future()
        self._send(JudgeSilence(attempt_id, silent_ms, reply))
        return await reply

    async def resume_attempt(self, attempt_id: str) -> bool:
        """Take back a replaced attempt that continues before the other one writes.

        Pending dispatches of the other one are discarded.

        :returns: whether the scheduler tracks it again
        """
        self._drop_decisions()
        reply: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._send(ResumeAttempt(self._request.request_id, attempt_id, reply))
        is_tracked = await reply
        self._drop_decisions()
        return is_tracked

    def drop_dispatch(self, dispatching: asyncio.Task[Dispatch]) -> None:
        """Stop waiting for a dispatch; the attempt of one that has come is not sent."""
        if not dispatching.done():
            dispatching.cancel()
        elif not dispatching.cancelled() and dispatching.exception() is None:
            self.drop_attempt(dispatching.result().attempt_id)

    def _drop_decisions(self) -> None:
        while not self._decisions.empty():
            decision = self._decisions.get_nowait()
            if not isinstance(decision, Rejection):
                self.drop_attempt(decision.attempt_id)

    async def retry_kept(self) -> None:
        """Have another attempt queued, after the next one was rejected or not sent.

        :raises RequestError: if there is none
        """
        reply = self._new_reply()
        self._send(RetryKept(self._request.request_id, reply))
        failure = await reply
        if failure is not None:
            raise RequestError(failure)

    def drop_attempt(self, attempt_id: str) -> None:
        """Notify the scheduler that an attempt is not sent after all."""
        self._send(DropAttempt(attempt_id))

    def note_handed_over(self, *, is_over: bool = False) -> None:
        """Notify the scheduler that another VM makes the attempts that are left.

        :param is_over: whether none does any more, and none has run the request
        """
        self._send(NoteHandedOver(self._request.request_id, is_over))

    async def end_attempt(self, end: AttemptEnd) -> None:
        """Notify the scheduler of the end of an attempt.

        :raises RequestError: if the request failed and is not retried
        """
        reply = self._new_reply()
        self._send(EndAttempt(end, reply))
        failure = await reply
        if failure is not None:
            raise RequestError(failure)

    def _new_reply(self) -> asyncio.Future[Failure | None]:
        return asyncio.get_running_loop().create_future()


__all__ = ("Ticket",)
