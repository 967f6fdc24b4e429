"""Publishes this VM's fleet state to other VMs as soon as it changes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzaldeck.belief import ChangeLog
from quetzaldeck.entry.peers.belief_update import BeliefUpdate

if TYPE_CHECKING:
    from quetzaldeck.belief import FleetBelief, SourceAnswer
    from quetzaldeck.clock import Clock


class BeliefFeed:
    """Answers long polls of other VMs from this VM's fleet state.

    :param belief: this VM's fleet state; may be old, so each answer states its age
    """

    def __init__(self, belief: FleetBelief, clock: Clock) -> None:
        self._belief = belief
        self._clock = clock
        self._log = ChangeLog()
        self._changed = asyncio.Event()

    def note(self, answer: SourceAnswer) -> None:
        """Note what this VM has just read, and answer the long polls if it changed."""
        self._log.note(answer)
        if answer.changes or answer.lists_zones:
            self._changed.set()
            self._changed = asyncio.Event()

    async def wait_for_update(
        self, revision: int, version: int, wait_ms: float
    ) -> BeliefUpdate | None:
        """Wait until there is a change, at most for ``wait_ms``.

        :param revision: revision of the store that the polling VM has
        :param version: version of the configuration that the polling VM has
        :returns: the changes; ``None`` if this VM has no fleet state yet
        """
        started_ms = self._clock.now_ms()
        if self._belief.revision <= revision and version >= self._version:
            changed = self._changed
            try:
                async with asyncio.timeout(wait_ms / 1_000):
                    await changed.wait()
            except TimeoutError:
                pass
        if self._belief.configuration is None:
            return None
        return self._build(revision, version, self._clock.now_ms() - started_ms)

    @property
    def _version(self) -> int:
        configuration = self._belief.configuration
        return 0 if configuration is None else configuration.version

    def _build(self, revision: int, version: int, waited_ms: float) -> BeliefUpdate:
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
        return BeliefUpdate(
            max(revision, belief.revision),
            belief.age_ms(now_ms),
            waited_ms,
            is_complete,
            belief.configuration if version < self._version else None,
            replicas,
            removed,
            belief.trouble_age_ms(now_ms),
            self._list_zones(revision, is_complete=is_complete),
        )

    def _list_zones(
        self, revision: int, *, is_complete: bool
    ) -> tuple[str, ...] | None:
        """:returns: the evacuated zones; ``None`` if they need not be sent"""
        zones = tuple(sorted(self._belief.evacuated_zones))
        if is_complete:
            return zones or None
        return zones if self._log.have_zones_changed(revision) else None


__all__ = ("BeliefFeed",)
