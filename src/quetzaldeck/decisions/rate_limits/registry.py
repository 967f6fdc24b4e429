"""The rate limits that are in force, by the latest statement of each upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.decisions.rate_limits.statement import RateLimitStatement

if TYPE_CHECKING:
    from collections.abc import Mapping

ENDED_TTL_MS = 30_000.0
"""How long the end of a limit is remembered, so that an older statement which arrives
by way of another VM does not put the limit in force again."""


class RateLimitChange(NamedTuple):
    """A limit that was named, changed or ended.

    :param before: requests a second until now; ``None``: no limit
    :param since_ms: uptime when the first of the limits in a row was named
    """

    statement: RateLimitStatement
    before: float | None
    since_ms: float


class _Entry(NamedTuple):
    statement: RateLimitStatement
    since_ms: float


class RateLimitRegistry:
    """Keeps the latest statement of each upstream that has named a limit."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}

    def find(self, upstream: str) -> RateLimitStatement | None:
        """:returns: the limit in force of an upstream; ``None``: it names none"""
        entry = self._entries.get(upstream)
        if entry is None or entry.statement.requests_per_s is None:
            return None
        return entry.statement

    def list_statements(self) -> list[RateLimitStatement]:
        """:returns: the latest statement of each upstream, ends of limits included"""
        return [entry.statement for entry in self._entries.values()]

    def note(self, statement: RateLimitStatement) -> RateLimitChange | None:
        """Apply a statement, unless a later one is known.

        :returns: the change; ``None`` if the same limit, or none, was in force before
        """
        entry = self._entries.get(statement.upstream)
        if entry is None:
            if statement.requests_per_s is None:
                return None
            entry = _Entry(statement._replace(requests_per_s=None), statement.heard_ms)
        elif statement.heard_ms <= entry.statement.heard_ms:
            return None
        before = entry.statement.requests_per_s
        since_ms = entry.since_ms
        if before is None or statement.incarnation != entry.statement.incarnation:
            since_ms = statement.heard_ms
        self._entries[statement.upstream] = _Entry(statement, since_ms)
        if statement.requests_per_s == before:
            return None
        return RateLimitChange(statement, before, since_ms)

    def expire(self, incarnations: Mapping[str, str], now_ms: float) -> list[str]:
        """Forget upstreams that are gone or restarted, and limits that ended long ago.

        :param incarnations: incarnations of the upstreams that exist, by name
        :returns: names of the upstreams that are gone or have restarted
        """
        gone = [
            name
            for name, (statement, _) in self._entries.items()
            if incarnations.get(name) != statement.incarnation
        ]
        for name in gone:
            del self._entries[name]
        for name, (statement, _) in tuple(self._entries.items()):
            has_ended = statement.requests_per_s is None
            if has_ended and now_ms - statement.heard_ms > ENDED_TTL_MS:
                del self._entries[name]
        return gone


__all__ = ("RateLimitChange", "RateLimitRegistry")
