"""The HTTP server of bounded connections."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from aiohttp import web

from quetzaldeck.http.bounded_connection import BoundedConnection
from quetzaldeck.http.opaque_writer import OpaqueWriter

if TYPE_CHECKING:
    import asyncio

    from aiohttp import StreamReader
    from aiohttp.abc import AbstractStreamWriter
    from aiohttp.http import RawRequestMessage
    from aiohttp.web_protocol import RequestHandler

    from quetzaldeck.http.open_connections import ConnectionGroup
    from quetzaldeck.http.request_limits import ServerHooks


class _BoundedServer(web.Server):
    """Builds the connections; see the base class."""

    def __call__(self) -> RequestHandler:
        return BoundedConnection(self, loop=self._loop, **self._kwargs)


class BoundedRunner(web.AppRunner):
    """Runs an application on a server with limits.

    :param hooks: of the service
    :param group: the connections of its address
    """

    def __init__(
        self,
        application: web.Application,
        hooks: ServerHooks,
        group: ConnectionGroup,
        **kwargs: Any,
    ) -> None:
        super().__init__(application, **kwargs)
        self._hooks = hooks
        self._group = group

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()

        def make_request(
            message: RawRequestMessage,
            payload: StreamReader,
            protocol: RequestHandler,
            writer: AbstractStreamWriter,
            task: asyncio.Task[None],
        ) -> web.BaseRequest:
            writer = OpaqueWriter(protocol, protocol._loop)
            return server.request_factory(message, payload, protocol, writer, task)

        return _BoundedServer(
            server.request_handler,
            request_factory=make_request,
            handler_cancellation=server.handler_cancellation,
            hooks=self._hooks,
            group=self._group,
            **server._kwargs,
        )


__all__ = ("BoundedRunner",)
