"""A request that is refused for the crashes in which it ran."""

from __future__ import annotations

from typing import NamedTuple

from quetzaldeck.decisions.poison.fingerprint import format_fingerprint


class BlockedRequest(NamedTuple):
    """What operators and callers are told of a refused request.

    :param crashed: upstreams that crashed while they ran it, in that order
    :param since_ms: monotonic time of the first of these crashes
    :param until_ms: monotonic time from which on it is admitted again
    """

    fingerprint: int
    crashed: tuple[str, ...]
    since_ms: float
    until_ms: float

    @property
    def name(self) -> str:
        """:returns: the request as logs and metrics name it"""
        return format_fingerprint(self.fingerprint)


__all__ = ("BlockedRequest",)
