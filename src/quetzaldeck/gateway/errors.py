"""How a request ends without an answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from aiohttp import web

    from quetzaldeck.outcomes import Failure


class RequestError(Exception):
    """A request was refused or failed.

    :param failure: what the caller is told
    :param response: the response in which the caller was told already
    """

    def __init__(
        self, failure: Failure, response: web.StreamResponse | None = None
    ) -> None:
        super().__init__(f"{failure.reason.value} (ran: {failure.ran.value})")
        self._failure = failure
        self._response = response
        self.route = ""
        """Name of the route, for the logs; ``""`` if none was found."""

    @property
    def failure(self) -> Failure:
        """:returns: what the caller is told"""
        return self._failure

    @property
    def response(self) -> web.StreamResponse | None:
        """:returns: the response that ended with the failure, if one began"""
        return self._response


__all__ = ("RequestError",)
