"""Asks engines how fast they work, and tells the other VMs which are slow."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzaldeck.clock.clock import MS_PER_SECOND
from quetzaldeck.decisions.pace_polling import PacePollPlanner
from quetzaldeck.gateway.messages import ObservePaces
from quetzaldeck.telemetry import log_event
from quetzaldeck.upstreams import UpstreamError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from quetzaldeck.entry.peers import PeerTable
    from quetzaldeck.entry.state import EntryState
    from quetzaldeck.platform import ReplicaReports
    from quetzaldeck.routing import Replica

ASK_INTERVAL_MS = 1_000.0
"""Time between two questions to an engine: one that is slow is known within a second
and a half, with the lag of what engines say. Each question is paid for, so that asking
twice as often would cost twice as much for half a second."""


class PaceTask:
    """Owns the questions of one VM.

    :param table: the other VMs
    :param tell: tells them paces by engine
    :param own: this VM's address
    """

    def __init__(
        self,
        state: EntryState,
        reports: ReplicaReports,
        table: PeerTable,
        tell: Callable[[Mapping[str, float]], None],
        *,
        own: str,
    ) -> None:
        self._state = state
        self._reports = reports
        self._table = table
        self._tell = tell
        self._own = own
        self._watch = PacePollPlanner(own)
        self._unanswered: set[str] = set()

    async def run(self) -> None:
        """Ask, and ask again, until cancelled."""
        while True:
            await asyncio.sleep(ASK_INTERVAL_MS / MS_PER_SECOND)
            await self._ask_all()

    async def _ask_all(self) -> None:
        engines = self._list_engines()
        self._unanswered &= engines.keys()
        zones = {name: engine.availability_zone for name, engine in engines.items()}
        asked = self._watch.choose_polled(zones, self._list_vms())
        answers = await asyncio.gather(*(self._ask(engines[name]) for name in asked))
        paces = tuple(
            (name, pace)
            for name, pace in zip(asked, answers, strict=True)
            if pace is not None
        )
        if paces:
            self._state.dispatch.send(ObservePaces(paces))
        told = self._watch.choose_published(paces)
        if told:
            self._tell(told)

    async def _ask(self, engine: Replica) -> float | None:
        """:returns: the pace; ``None`` if the engine did not tell it"""
        name = engine.replica_id
        questions = self._state.metrics.upstreams.pace_questions
        try:
            pace = await self._reports.read_pace(engine)
        except UpstreamError as error:
            questions.labels("failed").inc()
            if name not in self._unanswered:
                self._unanswered.add(name)
                log_event("pace_unknown", upstream=name, error=error)
            return None
        questions.labels("answered").inc()
        self._unanswered.discard(name)
        return pace

    def _list_engines(self) -> dict[str, Replica]:
        view = self._state.view
        if view is None:
            return {}
        services = {s.name for s in view.services.values() if s.engine is not None}
        return {
            replica.replica_id: replica
            for replica in self._state.belief.replicas.values()
            if replica.service in services and not replica.is_leaving
        }

    def _list_vms(self) -> dict[str, list[str]]:
        """:returns: the VMs that may ask, this one among them, by zone"""
        vms = self._table.list_by_zone()
        own_zone = self._state.settings.availability_zone
        vms.setdefault(own_zone, []).append(self._own)
        return vms


__all__ = ("ASK_INTERVAL_MS", "PaceTask")
