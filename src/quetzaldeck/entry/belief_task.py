"""The task that keeps a VM's copy of the fleet state up to date."""

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
"""Retry delays after an error of the source. All VMs together may send it 2,000
requests per second, and its recovery has to be noticed well within the configured
bounds."""

EXPIRY_POLL_MS = 50.0
"""Interval between expiry checks while the entries of some replicas are missing. It is
shorter than the margin of the bound after which a leaving replica gets no work."""


class BeliefTask:
    """Queries the source or another VM and applies what it reads to the state.

    :param sources: the read-only sources that it may query
    """

    def __init__(self, state: EntryState, sources: BeliefSources) -> None:
        self._state = state
        self._sources = sources
        self._needs_full_read = True
        self._n_errors = 0
        self._has_lapsed_replicas = asyncio.Event()
        self._query_counter = state.metrics.peers.queries

    async def run(self) -> None:
        """Query until cancelled."""
        while True:
            pause_ms = await self._query()
            await asyncio.sleep(pause_ms / 1_000)

    async def run_expiry(self) -> None:
        """Remove replicas whose entry does not reappear in time, until cancelled.

        The checks run beside the queries: the source holds a query for over a second,
        during which a replica that has left would still receive work.
        """
        while True:
            await self._has_lapsed_replicas.wait()
            await asyncio.sleep(EXPIRY_POLL_MS / 1_000)
            self._apply_events(self._state.belief.expire(self._state.clock.uptime_ms()))
            if not self._state.belief.n_lapsed:
                self._has_lapsed_replicas.clear()

    async def _query(self) -> float:
        """:returns: pause before the next query, in milliseconds"""
        peer = self._sources.choose()
        if peer is not None:
            return await self._query_peer(peer)
        return await self._query_source()

    async def _query_source(self) -> float:
        clock = self._state.clock
        queried_ms = clock.uptime_ms()
        try:
            hold_ms = self._sources.bounds.hold_ms(
                self._state.belief.age_ms(queried_ms)
            )
            answer = await self._read(self._sources.source, hold_ms)
        except HistoryDroppedError as error:
            log_event("source_history_gone", level="WARNING", error=error)
            self._query_counter.labels("source", "history_gone").inc()
            self._needs_full_read = True
            self._sources.selector.note_history_dropped()
            self._state.belief.note_trouble(clock.uptime_ms())
            return 0.0
        except SourceError as error:
            return self._handle_source_error(error)
        self._log_source_recovery(peer="")
        self._sources.selector.note_source_answer()
        self._query_counter.labels("source", "answered").inc()
        self._apply_answer(answer, queried_ms)
        return self._sources.bounds.batch_ms if answer.changes else 0.0

    async def _query_peer(self, address: str) -> float:
        """Query another VM; after any fault the next query goes to the source."""
        clock = self._state.clock
        queried_ms = clock.uptime_ms()
        selector = self._sources.selector
        try:
            source = self._sources.open_peer(address)
            answer = await self._read(source, self._sources.bounds.wait_ms)
        except SourceError as error:
            log_event("teller_failed", level="WARNING", peer=address, error=error)
            selector.note_peer_error(address, clock.uptime_ms())
            self._query_counter.labels("vm", "failed").inc()
            return 0.0
        self._query_counter.labels("vm", "answered").inc()
        self._apply_answer(answer, queried_ms)
        now_ms = clock.uptime_ms()
        age_ms = self._state.belief.age_ms(now_ms)
        if selector.note_peer_answer(address, age_ms, now_ms):
            log_event("teller_is_old", level="WARNING", peer=address, age_ms=age_ms)
        elif not selector.is_source_failing:
            self._log_source_recovery(peer=address)
        return 0.0

    async def _read(self, source: BeliefSource, wait_ms: float) -> SourceAnswer:
        if self._needs_full_read:
            return await source.read_all()
        revision = self._state.belief.revision
        return await source.wait_for_changes(revision, round(wait_ms))

    def _apply_answer(self, answer: SourceAnswer, queried_ms: float) -> None:
        belief = self._state.belief
        now_ms = self._state.clock.uptime_ms()
        events = belief.apply(answer, asked_ms=queried_ms, now_ms=now_ms)
        self._needs_full_read = False
        self._apply_events(events)
        self._sources.feed.note(answer)

    def _apply_events(self, events: list[BeliefEvent]) -> None:
        """Log what an answer or an expiry changed, and apply it to the state."""
        for event in events:
            level = "WARNING" if event.is_warning else "INFO"
            revision = self._state.belief.revision
            log_event(event.event, level=level, revision=revision, **event.fields)
        if events:
            self._state.apply_belief()
        if self._state.belief.n_lapsed:
            self._has_lapsed_replicas.set()

    def _log_source_recovery(self, peer: str) -> None:
        """Log the end of an outage of the source.

        :param peer: the VM whose updates show it; ``""`` if this VM reached the source
        """
        if self._n_errors:
            log_event("source_regained", n_errors=self._n_errors, peer=peer)
            self._n_errors = 0

    def _handle_source_error(self, error: SourceError) -> float:
        """:returns: delay before the next query, in milliseconds"""
        now_ms = self._state.clock.uptime_ms()
        self._state.belief.note_trouble(now_ms)
        self._sources.selector.note_source_error(now_ms)
        self._query_counter.labels("source", "failed").inc()
        if not self._n_errors:
            age_ms = self._state.belief.age_ms(now_ms)
            log_event("source_lost", level="WARNING", error=error, age_ms=age_ms)
        self._n_errors += 1
        ceiling_ms = min(MAX_RETRY_MS, FIRST_RETRY_MS * self._n_errors)
        return self._state.random_state.uniform(ceiling_ms / 2, ceiling_ms)


__all__ = ("BeliefTask",)
