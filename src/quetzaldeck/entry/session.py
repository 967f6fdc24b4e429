"""The session of an entry VM: owns its state, tasks and connections."""

from __future__ import annotations

import random
import uuid
from typing import TYPE_CHECKING

from quetzaldeck.belief import FleetBelief
from quetzaldeck.decisions.policies import (
    ENTRY_GROUPS,
    ENTRY_POISON,
    build_scheduler,
)
from quetzaldeck.decisions.retries import ResendBudget
from quetzaldeck.entry.belief_bounds import build_belief_bounds
from quetzaldeck.entry.belief_sources import BeliefSources
from quetzaldeck.entry.belief_task import BeliefTask
from quetzaldeck.entry.pace_task import PaceTask
from quetzaldeck.entry.peers import PeerTable, PeerTask
from quetzaldeck.entry.state import EntryState
from quetzaldeck.entry.upstream_client import UpstreamClient
from quetzaldeck.gateway.dispatch_task import DispatchTask
from quetzaldeck.gateway.session_base import SessionBase
from quetzaldeck.http import parse_listen_address
from quetzaldeck.http.answer_bounds import open_client
from quetzaldeck.platform import (
    CALL_ID,
    HealthChecks,
    PlatformStore,
    ReplicaOrders,
    ReplicaReports,
)
from quetzaldeck.tasks import run_tasks
from quetzaldeck.telemetry import log_event

if TYPE_CHECKING:
    from quetzaldeck.clock import Clock
    from quetzaldeck.decisions import Scheduler
    from quetzaldeck.entry.peers import BeliefFeed
    from quetzaldeck.entry.response_head import ResponseHead
    from quetzaldeck.entry.settings import EntrySettings
    from quetzaldeck.routing import Replica


class EntrySession(SessionBase[EntryState]):
    """Builds the scheduler from the settings and runs the VM's tasks."""

    def __init__(self, settings: EntrySettings, clock: Clock) -> None:
        super().__init__(clock)
        self._settings = settings
        self._own_host = parse_listen_address(settings.listen.callers).host
        self._peer_table: PeerTable | None = None
        self._sources: BeliefSources | None = None

    @property
    def sources(self) -> BeliefSources:
        """:returns: the sources that this VM reads fleet updates from

        :raises RuntimeError: before the session is entered
        """
        if self._sources is None:
            msg = "the session is not open; enter it first"
            raise RuntimeError(msg)
        return self._sources

    @property
    def feed(self) -> BeliefFeed:
        """:returns: the feed that publishes this VM's fleet state to other VMs"""
        return self.sources.feed

    async def open(self) -> None:
        """Build the state and start the tasks; see the base class."""
        store_client = await self._stack.enter_async_context(open_client())
        source_host = self._settings.upstream_source
        upstreams = await self._stack.enter_async_context(
            UpstreamClient(self._clock, echo_header=CALL_ID, source_host=source_host)
        )
        check_client = await self._stack.enter_async_context(
            UpstreamClient(
                self._clock,
                echo_header=CALL_ID,
                reuses_connections=False,
                source_host=source_host,
            )
        )
        handover_client = await self._stack.enter_async_context(
            UpstreamClient(self._clock, echo_header=CALL_ID)
        )
        dispatch = DispatchTask(self._build_scheduler(), self.metrics, self._clock)
        self._state = EntryState(
            settings=self._settings,
            clock=self._clock,
            metrics=self.metrics,
            dispatch=dispatch,
            upstreams=upstreams,
            belief=FleetBelief(build_belief_bounds(self._settings.bounds)),
            orders=ReplicaOrders(upstreams, self._note_head),
            health_checks=HealthChecks(check_client, self._clock),
            probes=ReplicaReports(check_client, self._note_head),
            peer_client=handover_client,
            group_bounds=ENTRY_GROUPS,
        )
        self._peer_table = self._build_table()
        self._state.handover.connect(self._peer_table)
        peer_task = self._build_peer_task(self._peer_table)
        if self._settings.peer_port:
            run = peer_task.run(self._own_host)
            await self._stack.enter_async_context(run_tasks(run))
        store = PlatformStore(store_client, self._settings.store_address)
        peer_client = await self._stack.enter_async_context(open_client())
        self._sources = BeliefSources(
            self._state,
            store,
            peer_client,
            self._peer_table,
            own_address=self._own_host,
        )
        belief_task = BeliefTask(self._state, self._sources)
        pace_task = PaceTask(
            self._state,
            ReplicaReports(upstreams, self._note_head),
            self._peer_table,
            peer_task.announce_paces,
            own_address=self._own_host,
        )
        await self._stack.enter_async_context(
            run_tasks(
                dispatch.run(),
                belief_task.run(),
                belief_task.run_expiry(),
                pace_task.run(),
                self._state.releases.run(),
                self._state.paths.run(),
                self._state.crash_checks.run(),
                self._state.presumed_crashes.run(),
            )
        )

    def apply_settings(self, settings: EntrySettings) -> None:
        """Apply changed settings, except listen addresses, which need a restart."""
        if settings.listen != self._settings.listen:
            log_event("settings_need_restart", level="WARNING", place="listen")
        self._settings = settings
        self.state.apply_settings(settings)
        if self._peer_table is not None:
            self._peer_table.set_seeds(_seed_hosts(settings))

    def _note_head(self, replica: Replica, head: ResponseHead) -> None:
        self.state.note_head(replica, head)

    def _build_table(self) -> PeerTable:
        seeds = _seed_hosts(self._settings)
        random_state = self.state.random_state
        return PeerTable(self._own_host, seeds, random_state=random_state)

    def _build_peer_task(self, table: PeerTable) -> PeerTask:
        vm = f"{self._settings.vm}/{uuid.uuid4().hex[:8]}"
        port = self._settings.peer_port
        return PeerTask(self.state, table, own=self._own_host, vm=vm, port=port)

    def _build_scheduler(self) -> Scheduler:
        bounds = self._settings.bounds
        return build_scheduler(
            self._settings.policies,
            clock=self._clock,
            random_state=random.Random(self._settings.random_state or None),
            availability_zone=self._settings.availability_zone,
            groups=ENTRY_GROUPS,
            poison=ENTRY_POISON._replace(presumed_ms=bounds.entry_expiry_ms),
            resend_budget=ResendBudget(
                ratio=bounds.retry_ratio, window_ms=bounds.retry_window_s * 1_000
            ),
            has_fair_shares=self._settings.fair_shares,
        )


def _seed_hosts(settings: EntrySettings) -> tuple[str, ...]:
    return tuple(parse_listen_address(seed).host for seed in settings.seeds)


__all__ = ("EntrySession",)
