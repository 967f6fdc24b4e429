"""Requests in progress, and how a shutdown aborts them."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING

from quetzaldeck.gateway.errors import RequestError
from quetzaldeck.outcomes import Failure, Ran, Reason

if TYPE_CHECKING:
    from collections.abc import Iterator


class _TrackedRequest:
    """One request in progress.

    :param task: the task that handles the request
    :param call_id: the caller's id of the request; ``""`` if it has none
    """

    def __init__(self, task: asyncio.Task[object], call_id: str) -> None:
        self.task = task
        self.call_id = call_id
        self.is_aborted = False


class InFlightRequests:
    """Tracks requests in progress, and aborts them when a shutdown stops waiting."""

    def __init__(self) -> None:
        self._requests: dict[str, _TrackedRequest] = {}
        self._is_empty = asyncio.Event()
        self._is_empty.set()

    def __len__(self) -> int:
        return len(self._requests)

    @contextmanager
    def track(
        self,
        request_id: str,
        *,
        call_id: str = "",
        task: asyncio.Task[object] | None = None,
    ) -> Iterator[None]:
        """Track a request while the context is open.

        :param call_id: the caller's id of the request, for the logs
        :param task: the task that handles the request; the current task if not given
        :raises RequestError: if the request was aborted meanwhile
        """
        task = task or asyncio.current_task()
        assert task is not None
        self._requests[request_id] = _TrackedRequest(task, call_id)
        self._is_empty.clear()
        try:
            with self.translate_abort(request_id):
                yield
        finally:
            del self._requests[request_id]
            if not self._requests:
                self._is_empty.set()

    @contextmanager
    def translate_abort(
        self, request_id: str, ran: Ran = Ran.UNKNOWN
    ) -> Iterator[None]:
        """Turn the cancellation of an aborted request into a failure for its caller.

        Contexts may be nested: the innermost one raises, so that a streamed answer ends
        with an error event and is not just truncated. A cancellation for any other
        reason is passed on.

        :param ran: whether the request has run, as far as the context knows
        :raises RequestError: if the request was aborted in this context
        """
        try:
            yield
        except asyncio.CancelledError:
            tracked = self._requests.get(request_id)
            if tracked is None or not tracked.is_aborted:
                raise
            tracked.task.uncancel()
            failure = Failure(Reason.SHUTTING_DOWN, ran, retry_after_ms=1_000)
            raise RequestError(failure) from None

    def is_aborted(self, request_id: str) -> bool:
        """:returns: whether a shutdown aborted the request"""
        tracked = self._requests.get(request_id)
        return tracked is not None and tracked.is_aborted

    def list_calls(self) -> tuple[tuple[str, str], ...]:
        """:returns: ids of the requests in progress, ours and those of the callers"""
        return tuple(
            (request_id, tracked.call_id)
            for request_id, tracked in self._requests.items()
        )

    async def wait_empty(self) -> None:
        """Wait until no request is in progress."""
        await self._is_empty.wait()

    def abort_all(self) -> tuple[str, ...]:
        """Abort every request in progress; each caller receives an error.

        :returns: ids of the aborted requests
        """
        request_ids = []
        for request_id, tracked in self._requests.items():
            if not tracked.is_aborted:
                tracked.is_aborted = True
                tracked.task.cancel()
                request_ids.append(request_id)
        return tuple(request_ids)


__all__ = ("InFlightRequests",)
