"""The task that keeps a VM's belief up to date."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzaldeck.belief import HistoryDroppedError, SourceError
from quetzaldeck.telemetry import log_event

if TYPE_CHECKING:
    from quetzaldeck.belief import BeliefEvent, BeliefSource, SourceAnswer
    from quetzaldeck.entry.belief_sources import BeliefSources
    from quetzaldeck.entry.state import EntryState

FIRST_RETRY_MS = 100.0
MAX_RETRY_MS = 400.0
"""Pauses before the source is asked again after an error: all VMs together may ask
2,000 times a second, and its return has to be noticed well within a bound."""

EXPIRY_LOOK_MS = 50.0
"""Pause between two looks at replicas that have to return, while there are any; within
the margin that the bound on a leaving replica's work has."""


class BeliefTask:
    """Asks the source or another VM, and tells the state what to believe.

    :param sources: whom it may ask; none of them can be written to
    """

    def __init__(self, state: EntryState, sources: BeliefSources) -> None:
        self._state = state
        self._sources = sources
        self._must_read_all = True
        self._n_errors = 0
        self._has_lapses = asyncio.Event()
        self._questions = state.metrics.peers.questions

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            pause_ms = await self._ask()
            await asyncio.sleep(pause_ms / 1_000)

    async def run_expiry(self) -> None:
        """Give up replicas that do not return, until cancelled.

        The question to the source is held for over a second. Looked at between two
        questions only, a replica that left would get work for that much too long.
        """
        while True:
            await self._has_lapses.wait()
            await asyncio.sleep(EXPIRY_LOOK_MS / 1_000)
            self._note(self._state.belief.expire(self._state.clock.uptime_ms()))
            if not self._state.belief.n_lapsed:
                self._has_lapses.clear()

    async def _ask(self) -> float:
        """:returns: pause before the next question, in milliseconds"""
        peer = self._sources.choose()
        if peer is not None:
            return await self._ask_peer(peer)
        return await self._ask_source()

    async def _ask_source(self) -> float:
        clock = self._state.clock
        asked_ms = clock.uptime_ms()
        try:
            hold_ms = self._sources.bounds.hold_ms(self._state.belief.age_ms(asked_ms))
            reading = await self._read(self._sources.source, hold_ms)
        except HistoryDroppedError as error:
            log_event("source_history_gone", level="WARNING", error=error)
            self._questions.labels("source", "history_gone").inc()
            self._must_read_all = True
            self._sources.choice.note_history_dropped()
            self._state.belief.note_trouble(clock.uptime_ms())
            return 0.0
        except SourceError as error:
            return self._note_error(error)
        self._note_regained(teller="")
        self._sources.choice.note_source_answer()
        self._questions.labels("source", "answered").inc()
        self._take(reading, asked_ms)
        return self._sources.bounds.batch_ms if reading.changes else 0.0

    async def _ask_peer(self, address: str) -> float:
        """Ask another VM; whatever is wrong with it, the source is asked next."""
        clock = self._state.clock
        asked_ms = clock.uptime_ms()
        choice = self._sources.choice
        try:
            teller = self._sources.open_peer(address)
            reading = await self._read(teller, self._sources.bounds.wait_ms)
        except SourceError as error:
            log_event("teller_failed", level="WARNING", peer=address, error=error)
            choice.note_peer_error(address, clock.uptime_ms())
            self._questions.labels("vm", "failed").inc()
            return 0.0
        self._questions.labels("vm", "answered").inc()
        self._take(reading, asked_ms)
        now_ms = clock.uptime_ms()
        age_ms = self._state.belief.age_ms(now_ms)
        if choice.note_peer_answer(address, age_ms, now_ms):
            log_event("teller_is_old", level="WARNING", peer=address, age_ms=age_ms)
        elif not choice.is_source_failing:
            self._note_regained(teller=address)
        return 0.0

    async def _read(self, source: BeliefSource, wait_ms: float) -> SourceAnswer:
        if self._must_read_all:
            return await source.read_all()
        revision = self._state.belief.revision
        return await source.wait_for_changes(revision, round(wait_ms))

    def _take(self, reading: SourceAnswer, asked_ms: float) -> None:
        belief = self._state.belief
        now_ms = self._state.clock.uptime_ms()
        notes = belief.apply(reading, asked_ms=asked_ms, now_ms=now_ms)
        self._must_read_all = False
        self._note(notes)
        self._sources.feed.note(reading)

    def _note(self, notes: list[BeliefEvent]) -> None:
        """Log what was decided and put it in force."""
        for note in notes:
            level = "WARNING" if note.is_warning else "INFO"
            revision = self._state.belief.revision
            log_event(note.event, level=level, revision=revision, **note.fields)
        if notes:
            self._state.apply_belief()
        if self._state.belief.n_lapsed:
            self._has_lapses.set()

    def _note_regained(self, teller: str) -> None:
        """Log the end of an outage.

        :param teller: the VM whose news show it; ``""``: the source answered this VM
        """
        if self._n_errors:
            log_event("source_regained", n_errors=self._n_errors, peer=teller)
            self._n_errors = 0

    def _note_error(self, error: SourceError) -> float:
        now_ms = self._state.clock.uptime_ms()
        self._state.belief.note_trouble(now_ms)
        self._sources.choice.note_source_error(now_ms)
        self._questions.labels("source", "failed").inc()
        if not self._n_errors:
            age_ms = self._state.belief.age_ms(now_ms)
            log_event("source_lost", level="WARNING", error=error, age_ms=age_ms)
        self._n_errors += 1
        ceiling_ms = min(MAX_RETRY_MS, FIRST_RETRY_MS * self._n_errors)
        return self._state.random_state.uniform(ceiling_ms / 2, ceiling_ms)


__all__ = ("BeliefTask",)
