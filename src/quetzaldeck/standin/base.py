"""Base class of the stand-ins: an HTTP service with fault injection."""

from __future__ import annotations

import asyncio
from abc import abstractmethod
from typing import TYPE_CHECKING, Any

import msgspec
from aiohttp import web

from quetzaldeck.config import FindingsError, load_data
from quetzaldeck.http import HttpServiceBase, json_response
from quetzaldeck.http.echoed_calls import CALL_ID_HEADER
from quetzaldeck.standin.connection_faults import ConnectionFaults
from quetzaldeck.standin.fault_request import FaultRequest

if TYPE_CHECKING:
    from collections.abc import Coroutine, Iterable

    from aiohttp.typedefs import Handler

    from quetzaldeck.http import ListenAddress

FAULTS_PATH = "/standin/faults"
MAX_BODY_BYTES = 64 << 20
RESTART_MS = 500.0
"""How long a stand-in is down after a crash requested over HTTP."""


class StandinBase(HttpServiceBase):
    """An HTTP service that can crash, pause and break or silence its connections."""

    max_body_bytes = MAX_BODY_BYTES

    def __init__(self, listen: ListenAddress, **kwargs: Any) -> None:
        super().__init__(listen, **kwargs)
        self._connection_faults = ConnectionFaults()
        self._fault_tasks: set[asyncio.Task[None]] = set()
        self.n_crashes = 0

    @abstractmethod
    async def set_faults(self, data: Any) -> None:
        """Replace the persistent faults.

        :param data: the faults as decoded JSON, in the format of the settings
        :raises FindingsError: with all errors in ``data``
        """

    async def reset_state(self) -> None:
        """Discard all state that a crash would lose."""

    async def close(self) -> None:
        """Cancel the faults that are still running."""
        for task in list(self._fault_tasks):
            task.cancel()
        await asyncio.gather(*self._fault_tasks, return_exceptions=True)

    async def pause(self, duration_ms: float) -> None:
        """Send nothing for ``duration_ms``; returns after this time."""
        await self._connection_faults.pause(duration_ms)

    def silence_connections(self) -> None:
        """Silence the open connections for good; new connections work."""
        self._connection_faults.silence(self.connections)

    def break_connections(self) -> None:
        """Abort all open connections."""
        for connection in self.connections:
            if connection.transport is not None:
                connection.transport.abort()

    async def crash(self, down_ms: float = 0.0) -> None:
        """Simulate a crash and restart: abort all connections and discard all state.

        :param down_ms: time for which connections are refused; returns after it
        """
        self.n_crashes += 1
        await self.stop_listening()
        self.break_connections()
        await self.reset_state()
        await asyncio.sleep(down_ms / 1_000)
        await self.listen()

    def build_application(self, routes: Iterable[web.RouteDef]) -> web.Application:
        """:returns: an application to which the connection faults apply"""
        application = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=[self._apply_connection_faults]
        )
        application.on_response_prepare.append(_echo_call_id)
        application.add_routes([web.post(FAULTS_PATH, self._handle_faults), *routes])
        return application

    def start_fault(self, fault: Coroutine[Any, Any, None]) -> None:
        """Run a fault in the background, so that the current request is not delayed."""
        task = asyncio.create_task(fault)
        self._fault_tasks.add(task)
        task.add_done_callback(self._fault_tasks.discard)

    @web.middleware
    async def _apply_connection_faults(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if request.path == FAULTS_PATH:
            return await handler(request)
        await self._connection_faults.wait_until_sendable(request)
        response = await handler(request)
        await self._connection_faults.wait_until_sendable(request)
        return response

    async def _handle_faults(self, request: web.Request) -> web.Response:
        try:
            data = msgspec.json.decode(await request.read())
            fault_request = load_data(data, FaultRequest, FAULTS_PATH)
            if fault_request.faults is not None:
                await self.set_faults(fault_request.faults)
        except msgspec.DecodeError as error:
            return json_response({"findings": [str(error)]}, status=400)
        except FindingsError as error:
            findings = [finding.render() for finding in error.findings]
            return json_response({"findings": findings}, status=400)
        if fault_request.silence_connections:
            self.silence_connections()
        if fault_request.pause_ms:
            self.start_fault(self.pause(fault_request.pause_ms))
        if fault_request.crash:
            self.start_fault(self.crash(RESTART_MS))
        elif fault_request.break_connections:
            self.break_connections()
        return json_response({})


async def _echo_call_id(request: web.Request, response: web.StreamResponse) -> None:
    call_id = request.headers.get(CALL_ID_HEADER)
    if call_id is not None:
        response.headers[CALL_ID_HEADER] = call_id


__all__ = ("FAULTS_PATH", "StandinBase")
