"""The requests that a gateway serves now, and how they are cut off."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING

from quetzaldeck.gateway.errors import RequestError
from quetzaldeck.outcomes import Failure, Ran, Reason

if TYPE_CHECKING:
    from collections.abc import Iterator


class _Served:
    """One request in progress.

    :param task: the task that serves it
    """

    def __init__(self, task: asyncio.Task[object]) -> None:
        self.task = task
        self.is_aborted = False


class InFlightRequests:
    """Counts requests in progress, and ends them when a stop cannot wait."""

    def __init__(self) -> None:
        self._served: dict[str, _Served] = {}
        self._is_empty = asyncio.Event()
        self._is_empty.set()

    def __len__(self) -> int:
        return len(self._served)

    @contextmanager
    def track(
        self, request_id: str, *, task: asyncio.Task[object] | None = None
    ) -> Iterator[None]:
        """Count a request while the context is open.

        :param task: the task that serves it; the current one if not given
        :raises RequestError: if it was cut off meanwhile
        """
        task = task or asyncio.current_task()
        assert task is not None
        self._served[request_id] = _Served(task)
        self._is_empty.clear()
        try:
            with self.translate_abort(request_id):
                yield
        finally:
            del self._served[request_id]
            if not self._served:
                self._is_empty.set()

    @contextmanager
    def translate_abort(self, request_id: str) -> Iterator[None]:
        """Turn a cut-off into the failure that the caller is told.

        Contexts may stand inside each other: the innermost one raises, so that a
        streamed answer ends with an error event and not just with its bytes. A
        cancellation for any other reason goes through.

        :raises RequestError: if the request was cut off in this context
        """
        try:
            yield
        except asyncio.CancelledError:
            served = self._served.get(request_id)
            if served is None or not served.is_aborted:
                raise
            served.task.uncancel()
            failure = Failure(Reason.SHUTTING_DOWN, Ran.UNKNOWN, retry_after_ms=1_000)
            raise RequestError(failure) from None

    def is_aborted(self, request_id: str) -> bool:
        """:returns: whether a stop ended the request"""
        served = self._served.get(request_id)
        return served is not None and served.is_aborted

    async def wait_empty(self) -> None:
        """Wait until no request is in progress."""
        await self._is_empty.wait()

    def cut_off(self) -> tuple[str, ...]:
        """End every request in progress; each caller is told.

        :returns: ids of the requests cut off
        """
        request_ids = []
        for request_id, served in self._served.items():
            if not served.is_aborted:
                served.is_aborted = True
                served.task.cancel()
                request_ids.append(request_id)
        return tuple(request_ids)


__all__ = ("InFlightRequests",)
