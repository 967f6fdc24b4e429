"""Applies updates from upstreams and other VMs to the scheduler's view of the fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.poison import Liveness

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Iterable

    from quetzaldeck.clock import Clock
    from quetzaldeck.decisions.attempts.monitor import AttemptMonitor
    from quetzaldeck.decisions.loads.load_report import LoadReport
    from quetzaldeck.decisions.loads.peer_load import VmLoad
    from quetzaldeck.decisions.placement import CacheEvents, PlacementPolicy
    from quetzaldeck.decisions.poison import CrashSighting, PoisonRegistry, RunSighting
    from quetzaldeck.decisions.scheduling.waiting import WaitingRequests
    from quetzaldeck.decisions.upstream_table import UpstreamTable


class FleetObserver:
    """Keeps the scheduler's view of the fleet up to date.

    Each update may mean that capacity has become free, so placement of waiting
    requests is retried after it.

    :param table: all upstreams
    :param policy: receives events of the engines' prefix caches
    :param poison: requests suspected of crashing engines
    :param monitor: is notified when load reports show that upstreams are alive
    :param waiting: requests that wait for placement
    """

    def __init__(
        self,
        *,
        clock: Clock,
        table: UpstreamTable,
        policy: PlacementPolicy,
        poison: PoisonRegistry,
        monitor: AttemptMonitor,
        waiting: WaitingRequests,
    ) -> None:
        self._clock = clock
        self._table = table
        self._policy = policy
        self._poison = poison
        self._monitor = monitor
        self._waiting = waiting

    def observe(
        self, reports: Iterable[LoadReport], leaving: Collection[str] = ()
    ) -> None:
        """Apply load reports and the list of leaving upstreams."""
        self._table.observe(reports, self._clock.now_ms())
        self._table.mark_leaving(leaving)
        self._table.statements.expire(self._clock.now_ms())
        self._monitor.note_alive()
        self._waiting.note_capacity_freed()

    def observe_evacuations(self, zones: Collection[str]) -> None:
        """Apply the zones whose upstreams get no new work."""
        self._table.set_evacuated_zones(zones)
        self._waiting.note_capacity_freed()

    def note_statement(self) -> None:
        """Have requests that wait placed or refused, as an upstream rests or leaves."""
        self._waiting.note_capacity_freed()

    def observe_incarnations(self, incarnations: Iterable[tuple[str, str]]) -> None:
        """Apply the incarnation that each upstream reports."""
        now_ms = self._clock.now_ms()
        for name, incarnation in incarnations:
            state = self._table.get(name)
            if state is not None:
                state.note_incarnation(incarnation, now_ms)
        self._waiting.note_capacity_freed()

    def observe_load(self, report: LoadReport) -> None:
        """Apply the load that an upstream reported with a response."""
        self._table.observe((report,), self._clock.now_ms())
        self._waiting.note_capacity_freed()

    def observe_peer(self, vm: str, loads: Iterable[tuple[str, VmLoad]]) -> None:
        """Apply the loads that another VM puts on upstreams.

        Ignores loads on another incarnation of an upstream than the one known here.
        Both VMs agree again once they have learned of the latest incarnation.
        """
        now_ms = self._clock.now_ms()
        for name, load in loads:
            state = self._table.get(name)
            if state is not None and not state.is_other_incarnation(load.incarnation):
                state.update_peer_load(vm, load, now_ms)
        self._waiting.note_capacity_freed()

    def observe_paces(self, paces: Iterable[tuple[str, float]]) -> None:
        """Apply the paces that engines report; see ``health.pace``."""
        now_ms = self._clock.now_ms()
        for name, pace in paces:
            state = self._table.get(name)
            if state is not None:
                state.pace.note(pace, now_ms)

    def observe_rate_limit(
        self, name: str, requests_per_s: float | None, *, is_cold: bool = False
    ) -> None:
        """Apply the limit of an upstream; ``None``: there is none.

        :param is_cold: whether it is limited because it is cold
        """
        now_ms = self._clock.now_ms()
        self._table.set_rate_limit(name, requests_per_s, now_ms, is_cold=is_cold)
        self._waiting.note_capacity_freed()

    def note_permit_refused(self, name: str, wait_ms: float) -> None:
        """Keep requests away from an upstream that takes none for some time."""
        state = self._table.get(name)
        if state is not None:
            state.pacing.note_refused(wait_ms, self._clock.now_ms())

    def observe_cache(self, events: CacheEvents) -> None:
        """Apply events of an engine's prefix cache."""
        self._policy.note_cache_events(events)

    def observe_crashes(self, sightings: Iterable[CrashSighting]) -> None:
        """Apply what other VMs reported about requests and engine crashes."""
        self._poison.observe(sightings, self._clock.now_ms())

    def observe_runs(self, sightings: Iterable[RunSighting]) -> None:
        """Apply what other VMs reported about runs whose end was not observed."""
        self._poison.ends.observe_runs(sightings, self._clock.now_ms())

    def observe_check(
        self, name: str, liveness: Liveness, at_ms: float, incarnation: str = ""
    ) -> None:
        """Apply the result of a check of an upstream that may have ended.

        :param at_ms: when its connections broke as it crashed, when it was alive after
            that, or when a check began that it does not answer
        :param incarnation: the incarnation that was checked; ``""`` if not known
        """
        match liveness:
            case Liveness.ENDED:
                self._poison.ends.note_ended(name, at_ms, incarnation)
            case Liveness.ALIVE:
                self._poison.ends.note_survived(name, at_ms)
            case Liveness.UNKNOWN:
                self._poison.ends.note_missing(name, at_ms)

    def list_crash_state(
        self, max_sightings: int, *, random_state: random.Random
    ) -> list[CrashSighting]:
        """:returns: what a VM has to know that missed what others announced"""
        now_ms = self._clock.now_ms()
        return self._poison.list_state(max_sightings, now_ms, random_state=random_state)

    def pop_crash_sightings(self) -> list[tuple[CrashSighting, ...]]:
        """:returns: new crash sightings to send to the other VMs, grouped by request"""
        return self._poison.pop_changed_sightings(self._clock.now_ms())


__all__ = ("FleetObserver",)
