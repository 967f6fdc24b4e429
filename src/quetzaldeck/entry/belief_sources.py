"""What an entry VM may ask for news, and what it tells others."""

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
    """The source, and the other VMs as sources.

    :param source: can only be read
    :param client: used for other VMs only
    :param table: the other VMs
    :param own: this VM's address
    """

    def __init__(
        self,
        state: EntryState,
        source: BeliefSource,
        client: aiohttp.ClientSession,
        table: PeerTable,
        *,
        own: str,
    ) -> None:
        self._state = state
        self._client = client
        self._table = table
        self._source = source
        self._feed = BeliefFeed(state.belief, state.clock)
        self._own = own
        self._choice = SourceSelector(
            own,
            self.bounds,
            random_state=state.random_state,
            find_capacity=self._find_capacity,
        )

    @property
    def source(self) -> BeliefSource:
        """:returns: the source that all VMs' news come from"""
        return self._source

    @property
    def feed(self) -> BeliefFeed:
        """:returns: what tells other VMs what this one believes"""
        return self._feed

    @property
    def choice(self) -> SourceSelector:
        """:returns: what chooses whom to ask"""
        return self._choice

    @property
    def bounds(self) -> SharingBounds:
        """:returns: the figures, from the settings in force

        Keys are a change as well: they are believed up to an age that leaves time for
        the request and for a source that drops its history.
        """
        bounds = self._state.settings.bounds
        max_key_age_ms = build_belief_bounds(bounds).max_key_age_ms
        min_deadline_ms = min(
            bounds.leaving_ms, bounds.configuration_ms, max_key_age_ms
        )
        return SharingBounds(max(1.0, min_deadline_ms))

    def choose(self) -> str | None:
        """:returns: the VM to ask next; ``None``: the source"""
        if not self._state.settings.peer_port:
            return None
        zone = self._state.settings.availability_zone
        self._choice.set_bounds(self.bounds)
        return self._choice.choose(
            self.list_neighbours(),
            self._table.list_others(zone),
            self._state.clock.uptime_ms(),
            seeds=self._table.unheard_seeds,
        )

    def _find_capacity(self, address: str) -> float:
        if address == self._own:
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
