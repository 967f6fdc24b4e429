"""The HTTP server on which other VMs hand over requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from aiohttp import web

from quetzaldeck.entry.handler import CallHandler, refuse_request
from quetzaldeck.entry.handover_head import MAX_HANDOVER_BYTES
from quetzaldeck.http import (
    SHORT_SHUTDOWN_TIMEOUT_S,
    HttpServiceBase,
    ListenAddress,
    RequestLimits,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from multidict import CIMultiDictProxy

    from quetzaldeck.entry.state import EntryState


class HandoverService(HttpServiceBase):
    """Serves requests that other VMs hand over, on a port that callers do not reach.

    The port tells such a request from one of a caller: no header does, so that a caller
    can't pass its request off as handed over.

    :param read_state: returns the VM's state, once its session is open
    """

    shutdown_timeout_s = SHORT_SHUTDOWN_TIMEOUT_S
    serves_callers = True

    def __init__(
        self, listen: ListenAddress, read_state: Callable[[], EntryState], **kwargs: Any
    ) -> None:
        super().__init__(listen, **kwargs)
        self._read_state = read_state

    async def open(self) -> web.Application:
        """Build the application."""
        application = web.Application()
        handler = CallHandler(self._read_state())
        application.router.add_route("*", "/{path:.*}", handler.handle_handed_over)
        return application

    def read_request_limits(self) -> RequestLimits:
        """:returns: the limits of the configuration in force; see the base class"""
        limits = self._read_state().request_limits
        max_header_bytes = limits.max_header_bytes + MAX_HANDOVER_BYTES
        return limits._replace(max_header_bytes=max_header_bytes)

    def refuse(self, headers: CIMultiDictProxy[str]) -> web.StreamResponse:
        """:returns: a response which states that the request was not run"""
        return refuse_request(self._read_state(), headers)

    async def close(self) -> None:
        """Do nothing: the socket, the only resource, is closed already."""


__all__ = ("HandoverService",)
