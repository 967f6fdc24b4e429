"""Polls engines for their pace and publishes the slow ones to the other VMs.

The pace is the slowdown factor that an engine reports of itself: the time that its work
takes, relative to the time by its configured figures.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzaldeck.clock.clock import MS_PER_SECOND
from quetzaldeck.decisions.loads.pace_polling import PacePollPlanner
from quetzaldeck.gateway.messages import ObservePaces
from quetzaldeck.telemetry import log_event
from quetzaldeck.upstreams import UpstreamError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from quetzaldeck.entry.peers import PeerTable
    from quetzaldeck.entry.state import EntryState
    from quetzaldeck.platform import ReplicaReports
    from quetzaldeck.routing import Replica

POLL_INTERVAL_MS = 1_000.0
"""Time between two polls of an engine. Including the lag of the reports, a slow engine
is detected within 1.5 s. Each poll is billed: polling twice as often would cost twice
as much to gain half a second."""


class PaceTask:
    """Polls the engines that are assigned to this VM.

    :param table: the other VMs
    :param publish: sends paces by engine to them
    :param own_address: address of this VM
    """

    def __init__(
        self,
        state: EntryState,
        reports: ReplicaReports,
        table: PeerTable,
        publish: Callable[[Mapping[str, float]], None],
        *,
        own_address: str,
    ) -> None:
        self._state = state
        self._reports = reports
        self._table = table
        self._publish = publish
        self._own_address = own_address
        self._planner = PacePollPlanner(own_address)
        self._unanswered: set[str] = set()

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_MS / MS_PER_SECOND)
            await self._poll()

    async def _poll(self) -> None:
        engines = self._list_engines()
        self._unanswered &= engines.keys()
        zones = {name: engine.availability_zone for name, engine in engines.items()}
        polled = self._planner.choose_polled(zones, self._list_vms())
        reported = await asyncio.gather(
            *(self._read_pace(engines[name]) for name in polled)
        )
        paces = tuple(
            (name, pace)
            for name, pace in zip(polled, reported, strict=True)
            if pace is not None
        )
        if paces:
            self._state.dispatch.send(ObservePaces(paces))
        published = self._planner.choose_published(paces)
        if published:
            self._publish(published)

    async def _read_pace(self, engine: Replica) -> float | None:
        """:returns: the pace; ``None`` if the engine did not report it"""
        name = engine.replica_id
        poll_counter = self._state.metrics.upstreams.pace_queries
        try:
            pace = await self._reports.read_pace(engine)
        except UpstreamError as error:
            poll_counter.labels("failed").inc()
            if name not in self._unanswered:
                self._unanswered.add(name)
                log_event("pace_unknown", upstream=name, error=error)
            return None
        poll_counter.labels("answered").inc()
        self._unanswered.discard(name)
        return pace

    def _list_engines(self) -> dict[str, Replica]:
        view = self._state.view
        if view is None:
            return {}
        services = {s.name for s in view.services.values() if s.engine is not None}
        accepts_work = self._state.availability.accepts_work
        return {
            replica.replica_id: replica
            for replica in self._state.belief.replicas.values()
            if replica.service in services and accepts_work(replica)
        }

    def _list_vms(self) -> dict[str, list[str]]:
        """:returns: addresses of the VMs that poll, by zone, including this VM"""
        vms = self._table.list_by_zone()
        own_zone = self._state.settings.availability_zone
        vms.setdefault(own_zone, []).append(self._own_address)
        return vms


__all__ = ("POLL_INTERVAL_MS", "PaceTask")
