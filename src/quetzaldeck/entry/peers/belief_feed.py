"""Tells other VMs what this one believes, as soon as it changes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzaldeck.belief import ChangeLog
from quetzaldeck.entry.peers.belief_news import BeliefNews

if TYPE_CHECKING:
    from quetzaldeck.belief import FleetBelief, SourceAnswer
    from quetzaldeck.clock import Clock


class BeliefFeed:
    """Answers questions of other VMs from this VM's belief.

    :param belief: may be old; what is told states its age
    """

    def __init__(self, belief: FleetBelief, clock: Clock) -> None:
        self._belief = belief
        self._clock = clock
        self._log = ChangeLog()
        self._changed = asyncio.Event()

    def note(self, reading: SourceAnswer) -> None:
        """Take what this VM has just read, and wake the VMs that wait for news."""
        self._log.note(reading)
        if reading.changes:
            self._changed.set()
            self._changed = asyncio.Event()

    async def wait_for_news(
        self, revision: int, version: int, wait_ms: float
    ) -> BeliefNews | None:
        """Wait until there is something new, or for ``wait_ms``.

        :param revision: counter of changes that the asker knows
        :param version: version of the configuration that the asker has
        :returns: the news; ``None`` if this VM knows nothing itself
        """
        asked_ms = self._clock.now_ms()
        if self._belief.revision <= revision and version >= self._version:
            changed = self._changed
            try:
                async with asyncio.timeout(wait_ms / 1_000):
                    await changed.wait()
            except TimeoutError:
                pass
        if self._belief.configuration is None:
            return None
        return self._build(revision, version, self._clock.now_ms() - asked_ms)

    @property
    def _version(self) -> int:
        configuration = self._belief.configuration
        return 0 if configuration is None else configuration.version

    def _build(self, revision: int, version: int, waited_ms: float) -> BeliefNews:
        belief = self._belief
        now_ms = self._clock.uptime_ms()
        changed = self._log.list_changed(revision)
        is_complete = changed is None and belief.revision > revision
        if is_complete:
            replicas = belief.list_replicas()
            removed: tuple[str, ...] = ()
        else:
            entries = {name: belief.find_entry(name) for name in changed or ()}
            replicas = tuple(entry for entry in entries.values() if entry is not None)
            removed = tuple(name for name, entry in entries.items() if entry is None)
        return BeliefNews(
            max(revision, belief.revision),
            belief.age_ms(now_ms),
            waited_ms,
            is_complete,
            belief.configuration if version < self._version else None,
            replicas,
            removed,
            belief.trouble_age_ms(now_ms),
        )


__all__ = ("BeliefFeed",)
