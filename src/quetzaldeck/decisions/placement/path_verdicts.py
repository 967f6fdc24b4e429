"""Which services this VM reaches, as far as placement depends on it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.paths import PathVerdict
from quetzaldeck.outcomes import Failure, Reason

if TYPE_CHECKING:
    from quetzaldeck.decisions.request import Request

NO_UPSTREAM_RETRY_MS = 1_000.0
"""Suggested retry delay for callers while no upstream serves the target."""


class PathVerdicts:
    """Keeps the services whose upstreams this VM does not reach, or may not reach."""

    def __init__(self) -> None:
        self._lost: dict[str, PathVerdict] = {}
        self._doubted: set[str] = set()

    @property
    def has_lost(self) -> bool:
        """:returns: whether this VM reaches no upstream of some service"""
        return bool(self._lost)

    def is_lost(self, target: str) -> bool:
        """:returns: whether this VM reaches no upstream of a target"""
        return target in self._lost

    def is_doubted(self, target: str) -> bool:
        """:returns: whether a probe of the path to a target is not answered yet"""
        return target in self._doubted

    def observe(self, service: str, verdict: PathVerdict) -> None:
        """Apply whether this VM reaches the upstreams of a service."""
        self._lost.pop(service, None)
        self._doubted.discard(service)
        if verdict is PathVerdict.DOUBTED:
            self._doubted.add(service)
        elif not verdict.allows_attempts:
            self._lost[service] = verdict

    def check(self, request: Request) -> Failure | None:
        """:returns: the refusal of a request whose upstreams this VM does not reach"""
        verdict = self._lost.get(request.target)
        if verdict in (None, PathVerdict.UNREACHED):
            return None
        detail = f"{request.target}: no upstream answers this VM"
        if verdict is PathVerdict.PARTITIONED:
            detail += ", while they answer other VMs"
            return Failure(Reason.NO_PATH, retry_after_ms=0.0, detail=detail)
        return Failure(
            Reason.NO_PATH, retry_after_ms=NO_UPSTREAM_RETRY_MS, detail=detail
        )


__all__ = ("NO_UPSTREAM_RETRY_MS", "PathVerdicts")
