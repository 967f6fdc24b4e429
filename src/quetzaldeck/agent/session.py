"""The session of an agent, which owns its state, tasks and connections."""

from __future__ import annotations

import asyncio
import random
import uuid
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

from quetzaldeck.agent.build_tasks import (
    build_bundle_task,
    build_command_task,
    build_load_task,
    build_reclaim_task,
    build_vm_list_task,
)
from quetzaldeck.agent.bundle_exchange import BundleExchange
from quetzaldeck.agent.claim_part import ClaimPart
from quetzaldeck.agent.gateway_watch import GatewayWatch
from quetzaldeck.agent.gossip_task import GossipState, GossipTask
from quetzaldeck.agent.leaving import LeavingUpstreams
from quetzaldeck.bundle.store import BundleStore
from quetzaldeck.directory import VmRole
from quetzaldeck.dissemination import RecordError, RecordStore
from quetzaldeck.exchange import AgentView, GatewayReport
from quetzaldeck.http.answer_bounds import open_client
from quetzaldeck.membership import (
    Membership,
    MembershipView,
    MemberState,
    MemberUpdate,
    rank_members,
)
from quetzaldeck.peers import (
    Authenticator,
    HmacPeerChannel,
    PeerIdentity,
    PeerMetrics,
)
from quetzaldeck.reclaim import OwnerRegistry
from quetzaldeck.tasks import run_tasks
from quetzaldeck.telemetry import AgentMetrics, log_event

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from types import TracebackType

    from quetzaldeck.agent.settings import AgentSettings
    from quetzaldeck.clock import Clock
    from quetzaldeck.decisions import LoadReport
    from quetzaldeck.directory import VmEntry

    LeaveHook = Callable[[], Awaitable[None]]

MS_PER_HOUR = 3_600_000.0


class AgentSession:
    """Runs the agent's tasks and answers the exchanges of its gateway."""

    def __init__(self, settings: AgentSettings, clock: Clock) -> None:
        self._settings = settings
        self.clock = clock
        self._stack = AsyncExitStack()
        self._identity = PeerIdentity(settings.vm, uuid.uuid4().hex[:12])
        self.random_state = random.Random(self._identity.incarnation)
        self._opened_ms = clock.now_ms()
        self._gossip: GossipTask | None = None
        self.metrics = AgentMetrics()
        self.store = BundleStore(settings.bundle_keys)
        self.gateway_watch = GatewayWatch(clock, quiet_ms=settings.gateway_quiet_ms)
        self.owners = OwnerRegistry(clock, quiet_ms=settings.reclaim.quiet_ms)
        self._is_leaving = False
        self._leave_hooks: list[LeaveHook] = []
        self.records = RecordStore(*self._identity, clock)
        self._leaving = LeavingUpstreams(self.records, clock)
        self.membership = Membership(
            self._describe_self(),
            clock=clock,
            random_state=self.random_state,
            settings=settings.membership,
        )

    async def __aenter__(self) -> AgentSession:
        client = await self._stack.enter_async_context(open_client())
        self.channel = HmacPeerChannel(
            Authenticator(self._identity, self._settings.peers),
            client,
            on_message=lambda peer, is_answer: self.membership.note_message(
                *peer, is_answer=is_answer
            ),
            metrics=PeerMetrics(self.metrics.registry),
        )
        self.bundle_exchange = BundleExchange(
            self.channel, self.store, self.metrics, on_accepted=self._send_gossip_soon
        )
        self._gossip = GossipTask(
            self.channel,
            GossipState(self.membership, self.records, self.store),
            self._settings.membership,
            self.clock,
            join_timeout_ms=self._settings.join_timeout_ms,
            on_gossip=self.bundle_exchange.note_gossip,
        )
        self.claims = ClaimPart(
            self._identity,
            self.channel,
            self._settings.claims,
            self.clock,
            self.metrics,
            random_state=self.random_state,
            read_view=lambda: self.view,
            find_member=self.membership.find,
        )
        self.add_leave_hook(self.claims.hand_over)
        self.add_leave_hook(self.claims.leave)
        self._load_task = build_load_task(self, client)
        await self._stack.enter_async_context(self.claims)
        await self._stack.enter_async_context(
            run_tasks(
                build_bundle_task(self, client).run(),
                build_vm_list_task(self, client).run(),
                build_command_task(self, client).run(),
                build_reclaim_task(self, client).run(),
                self._load_task.run(),
                self.bundle_exchange.run(),
            )
        )
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._stack.aclose()
        await asyncio.sleep(0)

    @property
    def identity(self) -> PeerIdentity:
        """:returns: this VM and the incarnation of its agent"""
        return self._identity

    @property
    def view(self) -> MembershipView:
        """:returns: the entry VMs and their states"""
        return self.membership.view

    @property
    def leaving_upstreams(self) -> tuple[str, ...]:
        """:returns: upstreams that get no new work"""
        return self._leaving.names

    @property
    def is_ready(self) -> bool:
        """:returns: whether the gateway may serve with the bundle in force

        The first read of the configuration service may be stale: a new VM that used
        this bundle at once could serve with an older one than the rest of the fleet.
        So the VM first waits until its voters can vote on new keys and, if peer keys
        are set, until peers have answered and none has a newer bundle. After
        ``join_timeout_ms`` a bundle in force is enough.
        """
        if self.store.bundle is None:
            return False
        waited_ms = self.clock.now_ms() - self._opened_ms
        if waited_ms >= self._settings.join_timeout_ms:
            return True
        if not self.claims.groups.can_vote_on_new_keys:
            return False
        if not self.channel.has_keys:
            return True
        assert self._gossip is not None
        return self._gossip.has_joined and self.bundle_exchange.is_idle

    async def start_gossip(self, address: str) -> None:
        """Start to gossip with peers, which reach this agent at ``address``."""
        assert self._gossip is not None
        self.membership.set_address(self._settings.advertise or address)
        if self.channel.has_keys:
            await self._stack.enter_async_context(run_tasks(self._gossip.run()))
            self.add_leave_hook(self._gossip.leave)

    @property
    def settings(self) -> AgentSettings:
        """:returns: the settings"""
        return self._settings

    @property
    def is_leaving(self) -> bool:
        """:returns: whether this VM is being stopped"""
        return self._is_leaving

    def add_leave_hook(self, hook: LeaveHook) -> None:
        """Have ``hook`` awaited by :meth:`leave`, in the order of registration."""
        self._leave_hooks.append(hook)

    def begin_leaving(self) -> None:
        """Mark this VM as being stopped; the agent still serves its gateway."""
        self._is_leaving = True

    async def leave(self) -> None:
        """Announce to peers that this VM is leaving, and hand over its claims.

        Called when the gateway has finished every request, before the agent ends; a
        second call does nothing. Hooks run one after the other, each with its own
        timeout. A hook that fails is logged and the others still run, because peers
        detect the loss of the VM by themselves, only later.
        """
        self._is_leaving = True
        hooks, self._leave_hooks = self._leave_hooks, []
        for hook in hooks:
            name = getattr(hook, "__qualname__", "hook")
            try:
                async with asyncio.timeout(self._settings.leave_timeout_ms / 1_000):
                    await hook()
            except Exception as error:
                log_event("leave_failed", level="ERROR", hook=name, error=repr(error))

    def exchange(self, report: GatewayReport) -> AgentView:
        """:returns: the answer to a gateway's report"""
        self.gateway_watch.note_report(report)
        self.owners.note_report(report.incarnation, is_stopped=report.is_stopped)
        for draft in report.records:
            try:
                self.records.put(draft)
            except RecordError as error:
                log_event("record_refused", level="ERROR", detail=error)
            if draft.is_urgent:
                self._send_gossip_soon()
        version = self.store.version if self.is_ready else 0
        is_newer = version > report.bundle_version
        is_same_agent = report.agent_incarnation == self._identity.incarnation
        cursor = report.records_cursor if is_same_agent else 0
        return AgentView(
            version,
            self.store.bundle if is_newer else None,
            self.list_loads(),
            self.leaving_upstreams,
            max(1, len(self.view.list_live())),
            self.records.list_since(cursor),
            self.records.cursor,
            self._identity.incarnation,
        )

    def list_loads(self) -> tuple[LoadReport, ...]:
        """:returns: the newest load report of each engine, read here or by a peer"""
        return self._load_task.list_reports()

    def update_metrics(self) -> None:
        """Set the metrics that are derived from the current state."""
        members = self.view.members
        for state in MemberState:
            n_members = sum(member.state is state for member in members)
            self.metrics.members.labels(state.value).set(n_members)
        events = self.metrics.membership_events
        events.labels("refuted").set(self.membership.n_refuted)
        events.labels("confirmed").set(self.membership.n_confirmed)
        events.labels("withheld").set(self.membership.n_withheld)
        for kind, n_dropped in self.records.dropped.items():
            self.metrics.records_dropped.labels(kind).set(n_dropped)

    def apply_list(self, vms: tuple[VmEntry, ...]) -> None:
        """Apply a new read of the platform's list of VMs."""
        self.membership.apply_list(vm for vm in vms if vm.role == VmRole.ENTRY)
        if self._leaving.apply_list(vms):
            self._send_gossip_soon()

    def _send_gossip_soon(self) -> None:
        if self._gossip is not None:
            self._gossip.send_soon()

    def is_watcher(self) -> bool:
        """:returns: whether this VM is one of those that watch the bundle"""
        live = [member.vm for member in self.view.list_live()]
        # The watchers change every hour, because each of them reads every bundle in
        # full, which costs it more traffic than the other VMs.
        hour = int(self.clock.wall_ms() // MS_PER_HOUR)
        ranked = rank_members(f"bundle-watch:{hour}", {*live, self._settings.vm})
        return self._settings.vm in ranked[: self._settings.platform.max_watchers]

    def _describe_self(self) -> MemberUpdate:
        return MemberUpdate(
            *self._identity,
            generation=round(self.clock.wall_ms()),
            state_version=0,
            state=MemberState.LIVE,
            address=self._settings.advertise,
            availability_zone=self._settings.availability_zone,
        )


__all__ = ("AgentSession",)
