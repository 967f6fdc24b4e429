"""What has changed of this VM's load since the others were told."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.peer_load import UpstreamShare

if TYPE_CHECKING:
    from collections.abc import Iterable

IDLE = UpstreamShare()
"""What others believe of an upstream that they were told nothing of."""

REPEAT_MS = 1_000.0
"""Pause after which loads that did not change are told again; see ``FORGET_MS`` of the
peer load, which allows for one lost message."""


class LoadChanges:
    """Remembers what was told."""

    def __init__(self) -> None:
        self._told: dict[str, tuple[float, UpstreamShare]] = {}

    def take(
        self, shares: Iterable[tuple[str, UpstreamShare]], now_ms: float
    ) -> list[tuple[str, UpstreamShare]]:
        """:returns: upstreams of which the others should be told, with their loads"""
        changed = []
        for upstream, share in shares:
            told_ms, told = self._told.get(upstream, (0.0, None))
            is_due = share.has_load and now_ms - told_ms >= REPEAT_MS
            if share == told and not is_due:
                continue
            if told is None and share == IDLE:
                continue
            self._told[upstream] = (now_ms, share)
            changed.append((upstream, share))
        return changed


__all__ = ("REPEAT_MS", "LoadChanges")
