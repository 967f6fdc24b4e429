"""Takes what upstreams and other VMs tell of themselves."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from quetzaldeck.clock import Clock
    from quetzaldeck.decisions.health.monitor import AttemptMonitor
    from quetzaldeck.decisions.load_report import LoadReport
    from quetzaldeck.decisions.peer_load import VmLoad
    from quetzaldeck.decisions.placement import CacheEvents, PlacementPolicy
    from quetzaldeck.decisions.poison import CrashSighting, PoisonRegistry
    from quetzaldeck.decisions.upstream_table import UpstreamTable
    from quetzaldeck.decisions.waiting import WaitingRequests


class FleetObserver:
    """Keeps what the scheduler knows of the fleet up to date.

    Whatever is told may mean that there is room again, so what waits looks for a place
    after it.

    :param table: all upstreams
    :param policy: is told of the engines' prefix caches
    :param poison: requests suspected of crashing engines
    :param monitor: is told when upstreams were seen alive
    :param waiting: requests that look for a place
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
        """Take load reports and the list of leaving upstreams."""
        self._table.observe(reports, self._clock.now_ms())
        self._table.mark_leaving(leaving)
        self._monitor.note_alive()
        self._waiting.note_room()

    def observe_incarnations(self, incarnations: Iterable[tuple[str, str]]) -> None:
        """Take which of its starts each upstream says that this is."""
        now_ms = self._clock.now_ms()
        for name, incarnation in incarnations:
            state = self._table.get(name)
            if state is not None:
                state.note_incarnation(incarnation, now_ms)
        self._waiting.note_room()

    def observe_load(self, report: LoadReport) -> None:
        """Take the load that one upstream told with an answer."""
        self._table.observe((report,), self._clock.now_ms())
        self._waiting.note_room()

    def observe_peer(self, vm: str, shares: Iterable[tuple[str, VmLoad]]) -> None:
        """Take what another VM has at upstreams.

        What it has at another start of an upstream than the one known here is nothing
        to go by; after the next news of that start both VMs speak of the same.
        """
        now_ms = self._clock.now_ms()
        for name, share in shares:
            state = self._table.get(name)
            if state is not None and not state.is_of_another_start(share.incarnation):
                state.update_peer_load(vm, share, now_ms)
        self._waiting.note_room()

    def observe_paces(self, paces: Iterable[tuple[str, float]]) -> None:
        """Take how fast engines say that they are."""
        now_ms = self._clock.now_ms()
        for name, pace in paces:
            state = self._table.get(name)
            if state is not None:
                state.pace.note(pace, now_ms)

    def observe_cache(self, events: CacheEvents) -> None:
        """Take events of an engine's prefix cache."""
        self._policy.note_cache_events(events)

    def observe_crashes(self, sightings: Iterable[CrashSighting]) -> None:
        """Take what other VMs saw of requests and crashes."""
        self._poison.observe(sightings, self._clock.now_ms())

    def take_crash_news(self) -> list[tuple[CrashSighting, ...]]:
        """:returns: by request, what other VMs should know of it and crashes"""
        return self._poison.pop_changed_sightings(self._clock.now_ms())


__all__ = ("FleetObserver",)
