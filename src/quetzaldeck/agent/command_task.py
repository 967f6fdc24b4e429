"""The task that commands engines to take on the models and roles in the bundle."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.agent.pause_detector import PauseDetector
from quetzaldeck.bundle import Bundle
from quetzaldeck.commands import (
    Commander,
    EngineStatus,
    FleetState,
    Order,
    OrderOutcome,
    is_done,
    list_engines_to_read,
    parse_loaded,
)
from quetzaldeck.commands.order import LOAD_ACTIONS
from quetzaldeck.decisions import AttemptFault, LoadReport
from quetzaldeck.dissemination import RecordDraft
from quetzaldeck.membership import MembershipView
from quetzaldeck.telemetry import log_event
from quetzaldeck.upstreams import (
    Command,
    EngineUpstream,
    Owner,
    UpstreamError,
    UpstreamTimeouts,
    engine_protocols,
)

if TYPE_CHECKING:
    from collections.abc import Collection

    import aiohttp

    from quetzaldeck.clock import Clock
    from quetzaldeck.commands import CommandSettings
    from quetzaldeck.dissemination import RecordStore
    from quetzaldeck.peers import PeerIdentity
    from quetzaldeck.telemetry import AgentMetrics

SLOT_KIND = "needs_slot"
SLOT_TTL_MS = 20_000
SLOT_RENEWAL_INTERVAL_MS = 5_000.0
_OUTCOMES = {
    AttemptFault.NO_ROOM: OrderOutcome.NO_ROOM,
    AttemptFault.OVERLOADED: OrderOutcome.BUSY,
}


class CommandSources(NamedTuple):
    """Functions that return the state on which the task decides."""

    read_view: Callable[[], MembershipView]
    read_bundle: Callable[[], Bundle | None]
    read_loads: Callable[[], tuple[LoadReport, ...]]
    read_leaving: Callable[[], tuple[str, ...]]


class CommandTask:
    """Sends the orders that a :class:`Commander` decides, one at a time."""

    def __init__(
        self,
        identity: PeerIdentity,
        session: aiohttp.ClientSession,
        clock: Clock,
        settings: CommandSettings,
        sources: CommandSources,
        records: RecordStore,
        metrics: AgentMetrics,
    ) -> None:
        self._owner = Owner(*identity)
        self._session = session
        self._clock = clock
        self._settings = settings
        self._sources = sources
        self._records = records
        self._metrics = metrics
        self._commander = Commander(identity.vm, clock, settings)
        self._announced_ms: float | None = None

    async def run(self) -> None:
        """Send orders until cancelled."""
        max_gap_ms = self._settings.interval_ms + 2 * self._settings.authority_ms
        detector = PauseDetector(
            self._clock, max_gap_ms=max_gap_ms + 2 * self._settings.send_timeout_ms
        )
        while True:
            if detector.check():
                self._metrics.pauses.inc()
                self._commander.note_pause()
            state = self._read_state()
            if state is not None:
                await self._step(state)
            await asyncio.sleep(self._settings.interval_ms / 1_000)

    async def _step(self, state: FleetState) -> None:
        order = self._commander.decide(state)
        self._metrics.commands_repeated.set(self._commander.n_repeated)
        if self._commander.needs_slot:
            self._announce_slot_need()
        if order is not None:
            await self._execute(order, state)

    def _announce_slot_need(self) -> None:
        now_ms = self._clock.now_ms()
        if (
            self._announced_ms is not None
            and now_ms - self._announced_ms < SLOT_RENEWAL_INTERVAL_MS
        ):
            return
        self._announced_ms = now_ms
        self._records.put(RecordDraft(SLOT_KIND, "", value=1, ttl_ms=SLOT_TTL_MS))

    def _read_state(self, reports: Collection[LoadReport] = ()) -> FleetState | None:
        """:returns: the current state

        :param reports: reports just read; they replace those known by gossip
        """
        bundle = self._sources.read_bundle()
        if bundle is None:
            return None
        known = {report.upstream: report for report in self._sources.read_loads()}
        known |= {report.upstream: report for report in reports}
        needing = self._records.list_since(0, SLOT_KIND)
        return FleetState(
            self._sources.read_view(),
            bundle,
            {name: _to_status(report) for name, report in known.items()},
            frozenset(record.vm for record in needing),
            frozenset(self._sources.read_leaving()),
        )

    async def _execute(self, order: Order, state: FleetState) -> None:
        engines = list_engines_to_read(order, state.bundle)
        reports = await asyncio.gather(
            *(self._read_engine(name, state.bundle) for name in engines)
        )
        received = [report for report in reports if report is not None]
        missing = set(engines) - {report.upstream for report in received}
        latest = self._read_state(received)
        if latest is None:
            return
        # An engine that could not be read counts as not serving, even if its gossiped
        # report says otherwise.
        statuses = {k: v for k, v in latest.statuses.items() if k not in missing}
        refusal = self._commander.find_refusal(
            order, latest._replace(statuses=statuses)
        )
        if refusal is not None:
            self._metrics.commands_withheld.labels(refusal.value).inc()
            return
        outcome = await self._send(order, state.bundle)
        if outcome is OrderOutcome.ACCEPTED and order.change.action not in LOAD_ACTIONS:
            outcome = await self._verify(order, state.bundle)
        action = order.change.action.value
        self._metrics.commands_sent.labels(action, outcome.value).inc()
        change = order.change
        log_event(
            "order",
            engine=order.engine,
            action=action,
            model=f"{change.model}:{change.version}:{change.adapter}",
            token=order.token,
            outcome=outcome.value,
        )
        self._commander.note_outcome(order, outcome)

    async def _send(self, order: Order, bundle: Bundle) -> OrderOutcome:
        change = order.change
        command = Command(
            change.action.value,
            change.model,
            change.version,
            order.token,
            change.adapter,
            change.role,
        )
        try:
            async with asyncio.timeout(self._settings.send_timeout_ms / 1_000):
                engine = self._open(order.engine, bundle)
                is_accepted = await engine.send_command(command, self._owner)
        except UpstreamError as error:
            return _OUTCOMES.get(error.fault, OrderOutcome.FAILED)
        except TimeoutError:
            return OrderOutcome.FAILED
        return OrderOutcome.ACCEPTED if is_accepted else OrderOutcome.FENCED

    async def _verify(self, order: Order, bundle: Bundle) -> OrderOutcome:
        """:returns: ``ACCEPTED`` if the engine now reports the change

        Called only for changes that take effect at once; loading weights takes longer.
        """
        report = await self._read_engine(order.engine, bundle)
        if report is not None and is_done(order.change, _to_status(report)):
            return OrderOutcome.ACCEPTED
        return OrderOutcome.NOT_FOLLOWED

    async def _read_engine(self, name: str, bundle: Bundle) -> LoadReport | None:
        try:
            async with asyncio.timeout(self._settings.authority_ms / 2_000):
                return await self._open(name, bundle).read_load()
        except (UpstreamError, TimeoutError):
            return None

    def _open(self, name: str, bundle: Bundle) -> EngineUpstream:
        spec = next(spec for spec in bundle.upstreams if spec.name == name)
        adapter = engine_protocols.get(spec.protocol)
        return adapter(spec, self._session, UpstreamTimeouts())


def _to_status(report: LoadReport) -> EngineStatus:
    return EngineStatus(
        report.upstream,
        report.incarnation,
        parse_loaded(report.models),
        report.role,
        report.age_ms,
    )


__all__ = ("CommandSources", "CommandTask")
