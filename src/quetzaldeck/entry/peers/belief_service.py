"""The HTTP endpoint that publishes a VM's fleet state to other VMs."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from aiohttp import web

from quetzaldeck.entry.peers.belief_update import (
    AFTER_FIELD,
    BELIEF_PATH,
    VERSION_FIELD,
    WAIT_FIELD,
)
from quetzaldeck.http import (
    SHORT_SHUTDOWN_TIMEOUT_S,
    HttpServiceBase,
    ListenAddress,
    json_response,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzaldeck.entry.peers.belief_feed import BeliefFeed

MAX_WAIT_MS = 30_000.0
"""Longest time for which a long poll is held, whatever wait it requests."""


class BeliefService(HttpServiceBase):
    """Answers long polls on the port for other VMs.

    :param read_feed: returns the feed, once the session is open
    """

    shutdown_timeout_s = SHORT_SHUTDOWN_TIMEOUT_S

    def __init__(
        self, listen: ListenAddress, read_feed: Callable[[], BeliefFeed], **kwargs: Any
    ) -> None:
        super().__init__(listen, **kwargs)
        self._read_feed = read_feed

    async def open(self) -> web.Application:
        """Build the application."""
        application = web.Application()
        application.add_routes([web.get(BELIEF_PATH, self._answer)])
        return application

    async def close(self) -> None:
        """Do nothing: the socket, the only resource, is closed already."""

    async def _answer(self, request: web.Request) -> web.Response:
        try:
            revision = int(request.query[AFTER_FIELD])
            version = int(request.query[VERSION_FIELD])
            wait_ms = float(request.query[WAIT_FIELD])
        except (KeyError, ValueError) as error:
            text = f"{BELIEF_PATH}: {error!r}"
            return web.Response(status=HTTPStatus.BAD_REQUEST, text=text)
        wait_ms = min(max(0.0, wait_ms), MAX_WAIT_MS)
        update = await self._read_feed().wait_for_update(revision, version, wait_ms)
        if update is None:
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        return json_response(update)


__all__ = ("BeliefService",)
