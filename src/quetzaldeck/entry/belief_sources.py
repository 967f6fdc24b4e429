"""Where an entry VM gets updates of the fleet state, and its feed to other VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.belief import SharingBounds, SourceSelector
from quetzaldeck.entry.belief_bounds import build_belief_bounds
from quetzaldeck.entry.peers import BeliefFeed, PeerSource

if TYPE_CHECKING:
    import aiohttp

    from quetzaldeck.belief import BeliefSource
    from quetzaldeck.entry.peers import PeerTable
    from quetzaldeck.entry.state import EntryState


class BeliefSources:
    """The platform's store and the other VMs, as sources of the fleet state.

    :param source: the platform's store, which is read-only
    :param client: used for other VMs only
    :param table: the other VMs
    :param own_address: address of this VM
    """

    def __init__(
        self,
        state: EntryState,
        source: BeliefSource,
        client: aiohttp.ClientSession,
        table: PeerTable,
        *,
        own_address: str,
    ) -> None:
        self._state = state
        self._client = client
        self._table = table
        self._source = source
        self._feed = BeliefFeed(state.belief, state.clock)
        self._own_address = own_address
        self._selector = SourceSelector(
            own_address,
            self.bounds,
            random_state=state.random_state,
            find_capacity=self._find_capacity,
        )

    @property
    def source(self) -> BeliefSource:
        """:returns: the platform's store, the origin of all updates"""
        return self._source

    @property
    def feed(self) -> BeliefFeed:
        """:returns: the feed that publishes this VM's fleet state to other VMs"""
        return self._feed

    @property
    def selector(self) -> SourceSelector:
        """:returns: the policy that chooses the next source to query"""
        return self._selector

    @property
    def bounds(self) -> SharingBounds:
        """:returns: the bounds that follow from the settings in force

        Key revocations count as changes, with a shorter bound than the configured one:
        it leaves time for the request itself and for a store that drops its history.
        """
        bounds = self._state.settings.bounds
        max_key_age_ms = build_belief_bounds(bounds).max_key_age_ms
        min_deadline_ms = min(
            bounds.leaving_ms,
            bounds.configuration_ms,
            bounds.evacuation_ms,
            max_key_age_ms,
        )
        return SharingBounds(max(1.0, min_deadline_ms))

    def choose(self) -> str | None:
        """:returns: address of the VM to query next; ``None``: the store"""
        if not self._state.settings.peer_port:
            return None
        zone = self._state.settings.availability_zone
        self._selector.set_bounds(self.bounds)
        return self._selector.choose(
            self.list_neighbours(),
            self._table.list_others(zone),
            self._state.clock.uptime_ms(),
            seeds=self._table.unknown_seeds,
        )

    def _find_capacity(self, address: str) -> float:
        if address == self._own_address:
            return self._state.settings.processor.capacity
        return self._table.find_capacity(address)

    def list_neighbours(self) -> tuple[str, ...]:
        """:returns: addresses of the other VMs of this availability zone"""
        return self._table.list_zone(self._state.settings.availability_zone)

    def open_peer(self, address: str) -> PeerSource:
        """:returns: another VM as a source"""
        configuration = self._state.belief.configuration
        return PeerSource(
            self._client,
            f"{address}:{self._state.settings.peer_port}",
            version=0 if configuration is None else configuration.version,
            answer_ms=self.bounds.answer_ms,
        )


__all__ = ("BeliefSources",)
