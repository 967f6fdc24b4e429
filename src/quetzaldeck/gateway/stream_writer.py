"""Writes a streamed answer, with keep-alives and explicit errors."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from quetzaldeck.gateway.errors import RequestError
from quetzaldeck.outcomes import Failure, Ran, Reason, build_error_body
from quetzaldeck.running_timeout import RunningTimeout
from quetzaldeck.upstreams.sse import DONE, KEEP_ALIVE, encode_event

if TYPE_CHECKING:
    from types import TracebackType

    from quetzaldeck.gateway.settings import CallerBounds


class StreamWriter:
    """Sends events to a caller, and keep-alives while there are none.

    The response starts with the first event, or with a keep-alive comment after the
    maximum silence. Until then a refusal can still set the HTTP status.

    :param http_request: the caller's request
    :param bounds: maximum silence, and the timeout for slow readers
    :param headers: headers of the response
    """

    def __init__(
        self, http_request: web.Request, bounds: CallerBounds, headers: dict[str, str]
    ) -> None:
        self._http_request = http_request
        self._bounds = bounds
        self._response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "Cache-Control": "no-store",
                **headers,
            }
        )
        self._lock = asyncio.Lock()
        self._has_sent = False
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> StreamWriter:
        self._task = asyncio.create_task(self._keep_alive())
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        assert self._task is not None
        self._task.cancel()
        with suppress(asyncio.CancelledError, ConnectionError, RequestError):
            await self._task

    async def send(self, data: bytes) -> None:
        """Send one event.

        :raises RequestError: if the caller disconnected or does not read in time
        """
        self._has_sent = True
        await self._write(encode_event(data))

    async def finish(self) -> web.StreamResponse:
        """End a complete answer.

        :returns: the finished response
        """
        await self._write(encode_event(DONE))
        await self._response.write_eof()
        return self._response

    async def fail(self, failure: Failure, request_id: str) -> RequestError:
        """End an answer that cannot be completed.

        Once the response has started, its status can no longer change. So the caller
        receives an error event, without which a truncated answer would look complete.
        If the caller no longer reads, its connection is aborted instead.

        :returns: the error to raise, with the response if it was started
        """
        if not self._response.prepared:
            return RequestError(failure)
        if failure.reason is not Reason.CALLER_GONE:
            body = msgspec.json.encode(build_error_body(failure, request_id))
            try:
                await self._write(b"event: error\n" + encode_event(body))
                await self._response.write_eof()
            except (RequestError, ConnectionError):
                self._abort_connection()
        else:
            self._abort_connection()
        return RequestError(failure, self._response)

    def _abort_connection(self) -> None:
        if self._http_request.transport is not None:
            self._http_request.transport.abort()

    async def _write(self, data: bytes) -> None:
        try:
            async with (
                self._lock,
                RunningTimeout(self._bounds.write_idle_ms),
            ):
                if not self._response.prepared:
                    await self._response.prepare(self._http_request)
                await self._response.write(data)
        except TimeoutError:
            failure = Failure(Reason.CALLER_GONE, Ran.YES, detail="slow reader")
            raise RequestError(failure) from None
        except ConnectionError:
            raise RequestError(Failure(Reason.CALLER_GONE, Ran.YES)) from None

    async def _keep_alive(self) -> None:
        while True:
            self._has_sent = False
            await asyncio.sleep(self._bounds.silence_ms / 1_000)
            if not self._has_sent:
                await self._write(KEEP_ALIVE)


__all__ = ("StreamWriter",)
