"""The voter sets that a voter knows, and its own membership in them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.claims.abstention_period import AbstentionPeriod
from quetzaldeck.claims.chain import VoterSetChain
from quetzaldeck.claims.fleet_view import FleetView
from quetzaldeck.claims.table import ClaimTable
from quetzaldeck.claims.voter_id import VoterId

if TYPE_CHECKING:
    from quetzaldeck.claims.settings import ClaimSettings
    from quetzaldeck.claims.voter_set import VoterSet
    from quetzaldeck.clock import Clock


class VoterState:
    """Base class of a voter: its id, its voter sets and its view of the fleet.

    :param vm: this VM
    :param incarnation: id of the agent's incarnation
    :param group: the group of keys that this voter votes on
    """

    abstention_period_class = AbstentionPeriod

    def __init__(
        self,
        *,
        vm: str,
        incarnation: str,
        clock: Clock,
        settings: ClaimSettings,
        group: int = 0,
    ) -> None:
        self._vm = vm
        self._incarnation = incarnation
        self._group = group
        self._clock = clock
        self._settings = settings
        self._voter_id = VoterId(vm)
        self._n_voter_ids = 0
        self._chain = VoterSetChain()
        self._view = FleetView()
        self._retired: dict[VoterId, None] = {}
        self._abstention = self.abstention_period_class(clock, settings)
        self._is_leaving = False
        self._needs_claims = False
        self._pending_since_ms: float | None = None
        self._successors: frozenset[VoterId] = frozenset()
        self._awaited_voter_id: VoterId | None = None
        self.table = ClaimTable(clock, settings.window_ms)

    @property
    def group(self) -> int:
        """:returns: the group of keys that this voter votes on"""
        return self._group

    @property
    def state(self) -> tuple[VoterId, tuple[VoterSet, ...], bool, bool]:
        """:returns: the state that changes if a round or a message made progress"""
        return (
            self._voter_id,
            self._chain.required_sets,
            self._needs_claims,
            self.is_awaited,
        )

    @property
    def voter_id(self) -> VoterId:
        """:returns: the id that this voter votes under, or asks to be added with"""
        return self._voter_id

    @property
    def chain(self) -> VoterSetChain:
        """:returns: the committed and pending voter sets of this voter"""
        return self._chain

    @property
    def can_vote(self) -> bool:
        """:returns: whether this voter is a member of a voter set"""
        return any(self._voter_id in item.members for item in self._chain.required_sets)

    @property
    def is_awaited(self) -> bool:
        """:returns: whether peers have added this voter and it has not joined yet

        A voter may ask to be added and no longer be wanted when its peers add it,
        because VMs started in the meantime rank before it. If it then stopped holding
        rounds, its peers would wait for its vote forever and refuse every call of the
        group: one of two voters is not a majority.
        """
        return (
            self._chain.committed is None and self._awaited_voter_id == self._voter_id
        )

    @property
    def must_sync(self) -> bool:
        """:returns: whether peers depend on the sync rounds of this voter"""
        return self.can_vote or self.is_awaited

    @property
    def is_settled(self) -> bool:
        """:returns: whether this voter votes and no change of its set is pending"""
        return self.can_vote and not self._chain.pending and not self._needs_claims

    @property
    def _is_wanted(self) -> bool:
        """:returns: whether this VM should be among the voters"""
        return self._vm in self._view.voters

    @property
    def has_left(self) -> bool:
        """:returns: whether a majority of the peers has committed a set without it

        If only this voter has committed such a set, its peers have adopted the set but
        may still need this voter's reply to commit it.
        """
        committed = self._chain.committed
        if committed is None or committed.members <= {self._voter_id}:
            return self._is_leaving and not self.is_awaited
        is_out = self._is_leaving and not self.can_vote
        return is_out and committed.has_quorum(self._successors)

    @property
    def peers(self) -> frozenset[str]:
        """:returns: VMs to ask in a sync round

        A voter without a committed set asks all listed VMs: there may be a voter set of
        which no member is wanted any more, and no other set may be formed beside it.
        """
        asked = self.voters_to_ask
        return (
            asked if self._chain.committed else asked | self._view.listed - {self._vm}
        )

    @property
    def voters_to_ask(self) -> frozenset[str]:
        """:returns: VMs to ask for votes: members of a voter set and wanted VMs"""
        vms = {
            voter_id.vm
            for item in self._chain.required_sets
            for voter_id in item.members
        }
        return frozenset(vms | self._view.voters) - {self._vm}


__all__ = ("VoterState",)
