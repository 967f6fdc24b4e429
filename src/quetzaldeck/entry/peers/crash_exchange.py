"""Requests that crash upstreams, in the messages between VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from quetzaldeck.entry.peers.messages import (
    PeerMessage,
    build_crash_update,
    build_run_update,
    read_crash_update,
    read_run_update,
)
from quetzaldeck.entry.peers.node import MAX_ENTRIES_PER_DATAGRAM

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Iterator

    from quetzaldeck.decisions.poison import CrashSighting, RunSighting
    from quetzaldeck.entry.peers.messages import CrashUpdate, RunUpdate

MAX_LISTED_CRASHES = 8
"""Crashes in one greeting, so that it fits into one packet with the addresses."""

MAX_LISTED_RUNS = 3
"""Runs in one greeting."""

MAX_CRASHES_TO_NEW_VM = 120
"""Crashes that each VM sends to a new one at once; greetings contain the others."""


class CrashKnowledge(Protocol):
    """What this VM knows of requests and the crashes in which they ran."""

    def pop_crash_sightings(self) -> list[tuple[CrashSighting, ...]]:
        """:returns: sightings to announce to the other VMs, grouped by request"""

    def list_crash_state(
        self, max_sightings: int, *, random_state: random.Random
    ) -> list[CrashSighting]:
        """:returns: what a VM has to know that missed what others announced"""

    def observe_crashes(self, sightings: tuple[CrashSighting, ...]) -> None:
        """Apply what another VM knows."""

    def pop_run_sightings(self) -> list[RunSighting]:
        """:returns: runs to announce to the other VMs"""

    def list_run_state(self, max_runs: int) -> list[RunSighting]:
        """:returns: what a VM has to know that missed what others announced"""

    def observe_runs(self, sightings: tuple[RunSighting, ...]) -> None:
        """Apply what another VM knows of runs."""


class CrashExchange:
    """Tells other VMs of crashes: all at once, and those that may have missed it again.

    :param vm: id of this incarnation of this VM
    """

    def __init__(
        self, knowledge: CrashKnowledge, vm: str, random_state: random.Random
    ) -> None:
        self._knowledge = knowledge
        self._vm = vm
        self._random_state = random_state

    def take_announcements(self) -> list[CrashUpdate]:
        """:returns: what this VM has to announce to all others"""
        return [
            build_crash_update(sighting)
            for sightings in self._knowledge.pop_crash_sightings()
            for sighting in sightings
        ]

    def take_run_announcements(self) -> list[RunUpdate]:
        """:returns: what this VM has to announce of runs to all others"""
        return [build_run_update(run) for run in self._knowledge.pop_run_sightings()]

    def list_run_updates(
        self, max_updates: int = MAX_LISTED_RUNS
    ) -> tuple[RunUpdate, ...]:
        """:returns: what a greeting repeats of runs, the latest if there are many"""
        sightings = self._knowledge.list_run_state(max_updates)
        return tuple(build_run_update(sighting) for sighting in sightings)

    def list_updates(
        self, max_updates: int = MAX_LISTED_CRASHES
    ) -> tuple[CrashUpdate, ...]:
        """:returns: what a greeting repeats, a random choice if there is too much"""
        sightings = self._knowledge.list_crash_state(
            max_updates, random_state=self._random_state
        )
        return tuple(build_crash_update(sighting) for sighting in sightings)

    def build_messages_for_new_vm(self) -> Iterator[PeerMessage]:
        """:returns: messages with what others know, for a VM that has just started"""
        updates = self.list_updates(MAX_CRASHES_TO_NEW_VM)
        for first in range(0, len(updates), MAX_ENTRIES_PER_DATAGRAM):
            part = updates[first : first + MAX_ENTRIES_PER_DATAGRAM]
            yield PeerMessage(self._vm, crashes=part)
        runs = self.list_run_updates(MAX_ENTRIES_PER_DATAGRAM)
        if runs:
            yield PeerMessage(self._vm, runs=runs)

    def observe(self, updates: Iterable[CrashUpdate]) -> None:
        """Apply what another VM has announced or repeated."""
        sightings = tuple(read_crash_update(update) for update in updates)
        if sightings:
            self._knowledge.observe_crashes(sightings)

    def observe_runs(self, updates: Iterable[RunUpdate]) -> None:
        """Apply what another VM has announced or repeated of runs."""
        sightings = tuple(read_run_update(update) for update in updates)
        if sightings:
            self._knowledge.observe_runs(sightings)


__all__ = ("CrashExchange", "CrashKnowledge")
