"""The session of a gateway, which owns its tasks and connections."""

from __future__ import annotations

import random
import uuid
from typing import TYPE_CHECKING

from quetzaldeck.decisions.policies import build_scheduler
from quetzaldeck.gateway.claim_end_task import ClaimEndTask
from quetzaldeck.gateway.dispatch_task import DispatchTask
from quetzaldeck.gateway.exchange_task import EXCHANGE_ERRORS, ExchangeTask
from quetzaldeck.gateway.release_task import Release, ReleaseTask
from quetzaldeck.gateway.session_base import SessionBase
from quetzaldeck.gateway.state import GatewayState
from quetzaldeck.http.answer_bounds import open_client
from quetzaldeck.tasks import run_tasks
from quetzaldeck.telemetry import log_event
from quetzaldeck.upstreams import Owner, UpstreamTimeouts
from quetzaldeck.upstreams.connections import Connections

if TYPE_CHECKING:
    from quetzaldeck.clock import Clock
    from quetzaldeck.decisions import Scheduler
    from quetzaldeck.gateway.settings import GatewaySettings
    from quetzaldeck.upstreams.http import Said


class GatewaySession(SessionBase[GatewayState]):
    """Creates the scheduler from the settings and runs the gateway's tasks."""

    def __init__(self, settings: GatewaySettings, clock: Clock) -> None:
        super().__init__(clock)
        self._settings = settings

    async def open(self) -> None:
        """Create the state and start the tasks; see :meth:`SessionBase.open`."""
        client = await self._stack.enter_async_context(open_client())
        connections = await self._stack.enter_async_context(self._build_connections())

        async def cancel(release: Release) -> None:
            async with connections.use_engine(release.upstream) as engine:
                await engine.cancel(release.held_id)

        releases = ReleaseTask(cancel, self.metrics.upstreams)
        claim_ends = ClaimEndTask(client, self._settings.agent_address)
        dispatch = DispatchTask(self._build_scheduler(), self.metrics, self._clock)
        self._state = GatewayState(
            settings=self._settings,
            owner=Owner(self._settings.vm, uuid.uuid4().hex[:12]),
            clock=self._clock,
            metrics=self.metrics,
            dispatch=dispatch,
            connections=connections,
            releases=releases,
            claim_ends=claim_ends,
            agent_client=client,
        )
        self._exchange = ExchangeTask(self._state, client)
        await self._stack.enter_async_context(
            run_tasks(
                dispatch.run(),
                self._exchange.run(),
                releases.run(),
                claim_ends.run(),
            )
        )
        await self._stack.enter_async_context(self._state.detached_calls)

    async def report_to_agent(self) -> None:
        """Send a report to the agent now, e.g. that the gateway has stopped."""
        try:
            await self._exchange.exchange()
        except EXCHANGE_ERRORS as error:
            log_event("last_exchange_failed", level="WARNING", error=repr(error))

    def _build_connections(self) -> Connections:
        bounds = self._settings.upstreams
        timeouts = UpstreamTimeouts(
            bounds.connect_ms, bounds.idle_ms, bounds.max_answer_bytes
        )
        return Connections(timeouts, self._note_replaced_pool, self._note_said)

    def _note_said(self, upstream: str, said: Said) -> None:
        self.state.note_said(upstream, said)

    def _note_replaced_pool(self, upstream: str) -> None:
        self.metrics.upstreams.replaced_pools.labels(upstream).inc()
        log_event("pool_replaced", level="WARNING", upstream=upstream)

    def _build_scheduler(self) -> Scheduler:
        return build_scheduler(
            self._settings.policies,
            clock=self._clock,
            random_state=random.Random(self._settings.random_state or None),
            availability_zone=self._settings.availability_zone,
        )


__all__ = ("GatewaySession",)
