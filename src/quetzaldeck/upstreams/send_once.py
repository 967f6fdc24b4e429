"""Client middleware that prevents aiohttp from resending a call on its own."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    from aiohttp import ClientHandlerType, ClientRequest, ClientResponse


class ConnectionLostError(aiohttp.ClientError):
    """The connection was lost during a call; the call may have run."""


async def send_once(
    request: ClientRequest, handler: ClientHandlerType
) -> ClientResponse:
    """Send a request once, as a middleware of aiohttp's client.

    If the connection is lost, aiohttp resends GET, PUT and DELETE once, without knowing
    which calls may be repeated: a call that ran before the connection was lost would
    run twice. aiohttp resends only after ``ClientOSError`` and
    ``ServerDisconnectedError``, so both are raised as :class:`ConnectionLostError`.
    Errors of refused connections and connect timeouts are passed on.

    :raises ConnectionLostError: if the connection was lost
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionLostError(repr(error)) from error


__all__ = ("ConnectionLostError", "send_once")
