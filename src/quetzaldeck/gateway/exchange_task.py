"""The task that exchanges reports with the agent of this VM."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from quetzaldeck.exchange import AgentView, GatewayReport
from quetzaldeck.gateway.crash_records import CRASH_KIND, CrashRecords
from quetzaldeck.gateway.drain import Phase
from quetzaldeck.gateway.messages import Observe
from quetzaldeck.gateway.record_exchange import RecordExchange
from quetzaldeck.gateway.usage_records import USAGE_KIND, UsageRecords
from quetzaldeck.json_decoder import JsonDecoder
from quetzaldeck.running_timeout import RunningTimeout
from quetzaldeck.telemetry import log_event

if TYPE_CHECKING:
    from quetzaldeck.gateway.state import GatewayState

EXCHANGE_TIMEOUT_MS = 2_000.0
"""Timeout of one exchange. The agent on the same VM responds within milliseconds, but
may be busy."""
EXCHANGE_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError)
_VIEW_DECODER = JsonDecoder(AgentView)


class ExchangeTask:
    """Exchanges reports with the agent, which has already verified every bundle."""

    def __init__(self, state: GatewayState, client: aiohttp.ClientSession) -> None:
        self._state = state
        self._client = client
        self._records = RecordExchange()
        self._crashes = CrashRecords(state.dispatch)
        self._records.register_handler(CRASH_KIND, self._crashes.handle)
        self._usage = UsageRecords(state.dispatch)
        self._records.register_handler(USAGE_KIND, self._usage.handle)

    async def run(self) -> None:
        """Run exchanges until cancelled: at an interval, and at once after a crash.

        Until the other VMs know of a crash, each of them may dispatch the same request
        and so crash one more engine.
        """
        interval_s = self._state.settings.exchange_interval_ms / 1_000
        while True:
            try:
                await self.exchange()
            except EXCHANGE_ERRORS as error:
                self._state.metrics.exchange_errors.inc()
                log_event("exchange_failed", level="WARNING", error=repr(error))
            with suppress(TimeoutError):
                async with asyncio.timeout(interval_s):
                    await self._state.dispatch.wait_for_crash()

    async def exchange(self) -> None:
        """Run one exchange.

        :raises aiohttp.ClientError: or another error, if the agent cannot be reached
        """
        self._process_view(await self._send_report())

    async def _send_report(self) -> AgentView:
        self._records.put(self._crashes.take_drafts())
        self._records.put(self._usage.take_drafts())
        query = self._records.build_query()
        report = GatewayReport(
            self._state.owner.vm,
            self._state.owner.incarnation,
            self._state.bundle_version,
            self._state.dispatch.n_running,
            is_stopped=self._state.drain.phase is Phase.STOPPED,
            records=query.drafts,
            records_cursor=query.cursor,
            agent_incarnation=query.agent_incarnation,
        )
        sent = msgspec.json.encode(report)
        async with (
            RunningTimeout(EXCHANGE_TIMEOUT_MS),
            self._client.post(
                self._state.settings.agent_address + "/v1/exchange", data=sent
            ) as response,
        ):
            response.raise_for_status()
            received = await response.read()
        control_bytes = self._state.metrics.control_bytes
        control_bytes.labels("sent").inc(len(sent))
        control_bytes.labels("received").inc(len(received))
        view = _VIEW_DECODER.decode(received)
        self._records.process_view(view, query)
        return view

    def _process_view(self, view: AgentView) -> None:
        self._state.last_agent_response_ms = self._state.clock.now_ms()
        bundle = view.bundle
        if bundle is not None and bundle.version > self._state.bundle_version:
            self._state.apply_bundle(bundle)
            log_event("bundle_in_force", version=bundle.version)
        self._state.dispatch.send(Observe(view.loads, view.leaving, view.n_vms))


__all__ = ("EXCHANGE_ERRORS", "ExchangeTask")
