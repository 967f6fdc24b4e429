"""The task that reads the load of engines and shares the reports with peers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from quetzaldeck.agent.load_plan import LoadPlan
from quetzaldeck.decisions import LoadReport
from quetzaldeck.dissemination import RecordDraft, RecordError
from quetzaldeck.telemetry import log_event
from quetzaldeck.upstreams import (
    UpstreamError,
    UpstreamTimeouts,
    engine_protocols,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    import aiohttp

    from quetzaldeck.bundle import UpstreamSpec
    from quetzaldeck.bundle.store import BundleStore
    from quetzaldeck.clock import Clock
    from quetzaldeck.dissemination import RecordStore
    from quetzaldeck.membership import MembershipView
    from quetzaldeck.telemetry import AgentMetrics

LOAD_KIND = "load"
# A report that is not renewed expires: placement then treats the engine's load as
# unknown, whereas an outdated low load would attract all requests.
LOAD_TTL_MS = 10_000


class LoadTask:
    """Reads the load of some engines and keeps the reports of this VM and its peers.

    :param records: shares the reports with the other VMs
    :param read_view: current membership; the live VMs divide the reads among them
    """

    def __init__(
        self,
        store: BundleStore,
        session: aiohttp.ClientSession,
        clock: Clock,
        metrics: AgentMetrics,
        *,
        interval_ms: float,
        records: RecordStore,
        read_view: Callable[[], MembershipView],
        vm: str,
    ) -> None:
        self._store = store
        self._session = session
        self._clock = clock
        self._metrics = metrics
        self._interval_ms = interval_ms
        self._records = records
        self._read_view = read_view
        self._plan = LoadPlan(vm)
        self._reports: dict[str, tuple[float, LoadReport]] = {}

    def list_reports(self) -> tuple[LoadReport, ...]:
        """:returns: the newest report of each engine, with its current age"""
        now_ms = self._clock.now_ms()
        reports = {
            name: report._replace(age_ms=report.age_ms + now_ms - read_ms)
            for name, (read_ms, report) in self._reports.items()
            if now_ms - read_ms < LOAD_TTL_MS
        }
        for report in self._list_shared():
            held = reports.get(report.upstream)
            if held is None or report.age_ms < held.age_ms:
                reports[report.upstream] = report
        return tuple(reports.values())

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            bundle = self._store.bundle
            if bundle is not None:
                engines = {s.name: s for s in bundle.upstreams if s.kind == "engine"}
                live = [member.vm for member in self._read_view().list_live()]
                chosen = self._plan.choose(tuple(engines), live, self._interval_ms)
                await asyncio.gather(*(self._read(engines[name]) for name in chosen))
            await asyncio.sleep(self._interval_ms / 1_000)

    def _list_shared(self) -> list[LoadReport]:
        reports = []
        for record in self._records.list_since(0, LOAD_KIND):
            try:
                report = msgspec.convert(record.value, LoadReport)
            except msgspec.ValidationError:
                self._metrics.load_errors.inc()
                continue
            age_ms = report.age_ms + LOAD_TTL_MS - record.remaining_ms
            reports.append(report._replace(age_ms=age_ms))
        return reports

    async def _read(self, spec: UpstreamSpec) -> None:
        adapter = engine_protocols.get(spec.protocol)
        engine = adapter(spec, self._session, UpstreamTimeouts())
        self._metrics.load_reads.inc()
        try:
            report = await engine.read_load()
        except UpstreamError as error:
            self._metrics.load_errors.inc()
            self._reports.pop(spec.name, None)
            log_event("load_read_failed", level="DEBUG", error=error)
            return
        self._reports[spec.name] = (self._clock.now_ms(), report)
        rounded = report._replace(age_ms=round(report.age_ms))
        try:
            draft = RecordDraft(LOAD_KIND, spec.name, rounded, LOAD_TTL_MS)
            self._records.put(draft)
        except RecordError as error:
            log_event("load_not_shared", level="WARNING", error=error)


__all__ = ("LoadTask",)
