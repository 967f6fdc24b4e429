"""State shared by all parts of one entry VM."""

from __future__ import annotations

import asyncio
import random
from contextlib import contextmanager
from typing import TYPE_CHECKING

from quetzaldeck.clock.clock import MS_PER_SECOND
from quetzaldeck.decisions import AttemptFault
from quetzaldeck.decisions.poison import Liveness
from quetzaldeck.entry.availability import Availability
from quetzaldeck.entry.belief_bounds import build_belief_bounds
from quetzaldeck.entry.crash_checks import CrashChecks
from quetzaldeck.entry.evacuations import Evacuations
from quetzaldeck.entry.handover.client import Handover
from quetzaldeck.entry.past_routes import PastRoutes
from quetzaldeck.entry.path_watch import PathWatch
from quetzaldeck.entry.peers.permits import Permits
from quetzaldeck.entry.presumed_crashes import PresumedCrashes
from quetzaldeck.entry.rate_limits import RateLimits
from quetzaldeck.entry.upstream_pool import (
    build_bundle,
    list_incarnations,
    list_leaving,
)
from quetzaldeck.entry.view import build_view
from quetzaldeck.gateway.drain import Drain
from quetzaldeck.gateway.in_flight import InFlightRequests
from quetzaldeck.gateway.memory_pool import MemoryPool
from quetzaldeck.gateway.messages import ApplyBundle, Observe, ObserveIncarnations
from quetzaldeck.gateway.release_task import Release, ReleaseTask
from quetzaldeck.gateway.settings import ShutdownSettings
from quetzaldeck.gateway.statement_notes import StatementNotes
from quetzaldeck.http import RequestLimits, parse_listen_address
from quetzaldeck.routing import CallerLimits
from quetzaldeck.upstreams import UpstreamError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from quetzaldeck.belief import FleetBelief
    from quetzaldeck.clock import Clock
    from quetzaldeck.decisions.groups import GroupBounds
    from quetzaldeck.entry.response_head import ResponseHead
    from quetzaldeck.entry.settings import EntryBounds, EntrySettings
    from quetzaldeck.entry.upstream_client import UpstreamClient
    from quetzaldeck.entry.view import RoutingView
    from quetzaldeck.gateway.dispatch_task import DispatchTask
    from quetzaldeck.platform import HealthChecks, ReplicaOrders, ReplicaReports
    from quetzaldeck.routing import Replica
    from quetzaldeck.telemetry import GatewayMetrics

BALANCER_LAG_MS = 3_000
"""The load balancer checks readiness every second and removes a VM after two failures.
The third second is for connections opened just before the removal."""

EXIT_RESERVE_SHARE = 0.125
"""Share of the time between SIGTERM and SIGKILL that is reserved for notifying aborted
callers, closing connections and exiting. Operators tolerate aborted requests in the
last sixth of that time, not before."""

FIRST_LIMITS = CallerLimits(max_header_bytes=65_536)
"""Limits until a configuration states its own, which may be wider than the usual."""

ABORT_NOTICE_MS = 200
"""Time to notify callers of aborted requests, at the end of the grace period."""


class EntryState:
    """Fleet state, upstream connections and scheduler of one entry VM."""

    def __init__(
        self,
        *,
        settings: EntrySettings,
        clock: Clock,
        metrics: GatewayMetrics,
        dispatch: DispatchTask,
        upstreams: UpstreamClient,
        belief: FleetBelief,
        orders: ReplicaOrders,
        health_checks: HealthChecks,
        probes: ReplicaReports,
        peer_client: UpstreamClient,
        group_bounds: GroupBounds,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.metrics = metrics
        self.dispatch = dispatch
        self.upstreams = upstreams
        self.belief = belief
        self.orders = orders
        self._health_checks = health_checks
        self.group_bounds = group_bounds
        self.rate_limits = RateLimits(
            clock, dispatch, metrics.upstreams, lambda: self.settings.bounds
        )
        own_address = parse_listen_address(settings.listen.callers).host
        self.permits = Permits(own_address, self.rate_limits, clock, metrics.upstreams)
        self.random_state = random.Random(settings.random_state or None)
        self._probes = probes
        self.evacuations = Evacuations(belief, clock, dispatch, metrics.upstreams)
        self.availability = Availability(belief, dispatch.statements, clock)
        self._statement_notes = StatementNotes(
            dispatch, clock, metrics.upstreams, has_unique_names=True
        )
        self.paths = PathWatch(
            clock,
            lambda: belief.replicas,
            self.availability.accepts_work,
            self._probe,
            dispatch,
            metrics.upstreams,
            random_state=self.random_state,
        )
        self.handover = Handover(
            clock,
            peer_client,
            metrics.upstreams,
            self.paths.note_served_elsewhere,
            port=settings.handover_port,
            availability_zone=settings.availability_zone,
            random_state=self.random_state,
            read_max_bytes=lambda: self.settings.bounds.max_answer_bytes,
        )
        self.crash_checks = CrashChecks(
            clock,
            lambda: belief.replicas,
            self._check_health,
            self.paths.may_conclude,
            dispatch,
            metrics.upstreams,
            bounds=dispatch.poison_bounds,
            is_leaving=self.availability.is_leaving,
        )
        self.presumed_crashes = PresumedCrashes(
            clock,
            belief,
            dispatch,
            expiry_ms=dispatch.poison_bounds.presumed_ms,
            is_leaving=self.availability.is_leaving,
        )
        self.releases = ReleaseTask(self._release_memory, metrics.upstreams)
        self.in_flight = InFlightRequests()
        limits = settings.process_limits
        self.bodies = MemoryPool(limits.max_body_bytes)
        self.answers = MemoryPool(limits.max_answer_bytes, max_wait_ms=None)
        metrics.in_flight.set_function(self.in_flight.__len__)
        metrics.placements.watch_slots(dispatch.list_slots_in_use)
        self.drain = Drain(self.in_flight, build_shutdown(settings.bounds), metrics)
        self.past_routes = PastRoutes(clock)
        self._view: RoutingView | None = None
        self._request_limits = _build_request_limits(None, settings)
        self._has_view = asyncio.Event()
        self._view_watchers: set[Callable[[], None]] = set()

    @property
    def view(self) -> RoutingView | None:
        """:returns: the configuration in force; ``None`` before the first"""
        return self._view

    @property
    def request_limits(self) -> RequestLimits:
        """:returns: limits on requests; wide ones until there is a configuration"""
        return self._request_limits

    @property
    def has_fresh_keys(self) -> bool:
        """:returns: whether the key list is recent enough to authenticate requests"""
        return self.belief.has_fresh_keys(self.clock.uptime_ms())

    @property
    def is_ready(self) -> bool:
        """:returns: whether the load balancer should send new connections"""
        return (
            self._view is not None and not self.drain.is_leaving and self.has_fresh_keys
        )

    @contextmanager
    def watch_view(self, on_change: Callable[[], None]) -> Iterator[None]:
        """Call ``on_change`` after each change of the configuration in force."""
        self._view_watchers.add(on_change)
        try:
            yield
        finally:
            self._view_watchers.discard(on_change)

    async def wait_for_view(self, timeout_ms: float) -> RoutingView | None:
        """:returns: the first configuration; ``None`` if none is loaded in time"""
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
                await self._has_view.wait()
        except TimeoutError:
            return None
        return self._view

    async def _release_memory(self, release: Release) -> None:
        """Release memory on a replica; one that is gone holds none.

        :raises UpstreamError: if the release has to be retried
        """
        replica = self.belief.replicas.get(release.upstream)
        if replica is not None:
            await self.orders.release(replica, release.held_id)

    async def _check_health(self, replica: Replica) -> Liveness:
        """:returns: whether a replica lives; unknown if its service is gone"""
        view = self._view
        service = None if view is None else view.services.get(replica.service)
        if service is None:
            return Liveness.UNKNOWN
        return await self._health_checks.check(
            replica, service.health_path, self.note_head
        )

    def note_head(self, replica: Replica, head: ResponseHead) -> None:
        """Record what a response says that answers no request of a caller."""
        self.rate_limits.note_cold(
            replica.replica_id, replica.incarnation, head.cold_ms
        )
        self.note_statements(replica, head)

    def note_statements(self, replica: Replica, head: ResponseHead) -> None:
        """Record whether the replica that responds wants to rest, or leaves.

        :param replica: the replica that was addressed, as it was then
        """
        name, incarnation = replica.replica_id, replica.incarnation
        if head.is_other_replica:
            name, incarnation = head.replica_id, ""
        if name and self._statement_notes.note(
            name, incarnation, rest_ms=head.rest_ms, is_leaving=head.is_leaving
        ):
            self.evacuations.divert_waiting()

    async def _probe(self, replica: Replica) -> bool:
        """Probe a replica; an engine reports without a free slot.

        :returns: whether it answers
        """
        view = self._view
        service = None if view is None else view.services.get(replica.service)
        if service is None:
            return True
        if service.engine is None:
            return await self._health_checks.is_reached(
                replica, service.health_path, self.note_head
            )
        try:
            await self._probes.read_pace(replica)
        except UpstreamError as error:
            return error.fault is AttemptFault.BAD_ANSWER
        return True

    def apply_settings(self, settings: EntrySettings) -> None:
        """Use changed bounds for decisions from now on."""
        self.settings = settings
        self.belief.set_bounds(build_belief_bounds(settings.bounds))
        self._request_limits = _build_request_limits(self._view, settings)
        limits = settings.process_limits
        self.bodies.set_max_bytes(limits.max_body_bytes)
        self.answers.set_max_bytes(limits.max_answer_bytes)

    def apply_belief(self) -> None:
        """Apply the current fleet state to requests that are not placed yet."""
        configuration = self.belief.configuration
        if configuration is None:
            return
        if self._view is None or self._view.version != configuration.version:
            if self._view is not None:
                self.past_routes.add(self._view)
            self._view = build_view(configuration)
            self._request_limits = _build_request_limits(self._view, self.settings)
            self._has_view.set()
            self.metrics.bundle_version.set(configuration.version)
            for on_change in tuple(self._view_watchers):
                on_change()
        self.dispatch.send(ApplyBundle(build_bundle(self.belief, self._view)))
        self.dispatch.send(ObserveIncarnations(list_incarnations(self.belief)))
        self.dispatch.send(Observe((), list_leaving(self.belief)))
        restored = self.evacuations.apply()
        self.rate_limits.apply_replicas(self.belief.replicas, self._view.services)
        if restored:
            # Its replicas may have restarted or cooled down while they got no requests.
            self.rate_limits.presume_cold(
                name
                for name, replica in self.belief.replicas.items()
                if replica.availability_zone in restored
            )
        self.permits.expire(self.belief.replicas)
        self.paths.apply_replicas()
        self.crash_checks.apply_replicas()
        self.presumed_crashes.resolve()


def _build_request_limits(
    view: RoutingView | None, settings: EntrySettings
) -> RequestLimits:
    limits = FIRST_LIMITS if view is None else view.limits
    return RequestLimits(
        max_body_bytes=limits.max_body_bytes,
        head_timeout_ms=limits.header_timeout_ms,
        max_header_bytes=limits.max_header_bytes,
        idle_timeout_ms=limits.idle_timeout_ms,
        max_empty_lines=settings.connections.max_empty_lines,
        unread_answer_ms=settings.connections.unread_answer_ms,
    )


def build_shutdown(bounds: EntryBounds) -> ShutdownSettings:
    """:returns: the shutdown phases that fit into the configured grace period"""
    grace_ms = bounds.grace_s * 1_000
    lag_ms = min(BALANCER_LAG_MS, round(grace_ms / 2))
    return ShutdownSettings(
        balancer_lag_ms=lag_ms,
        max_drain_ms=max(1, round(grace_ms * (1.0 - EXIT_RESERVE_SHARE)) - lag_ms),
        farewell_ms=ABORT_NOTICE_MS,
    )


__all__ = ("EntryState", "build_shutdown")
