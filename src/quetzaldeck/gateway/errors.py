"""The error that ends a request without a complete answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from aiohttp import web

    from quetzaldeck.outcomes import Failure


class RequestError(Exception):
    """A request was refused or failed.

    :param failure: what is reported to the caller
    :param response: the streamed response, if it was started and already ended
    """

    def __init__(
        self, failure: Failure, response: web.StreamResponse | None = None
    ) -> None:
        super().__init__(f"{failure.reason.value} (ran: {failure.ran.value})")
        self._failure = failure
        self._response = response

    @property
    def failure(self) -> Failure:
        """:returns: what is reported to the caller"""
        return self._failure

    @property
    def response(self) -> web.StreamResponse | None:
        """:returns: the response that ended with the failure, if one was started"""
        return self._response


__all__ = ("RequestError",)
