"""What a voter knows of the voter sets, and where it stands in them."""

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
    """Seat, voter sets and view of one voter; rounds and votes build on it.

    :param vm: this VM
    :param incarnation: id of this start
    :param group: the group of keys that it votes on
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
        self._n_pending_rounds = 0
        self._successors: frozenset[VoterId] = frozenset()
        self._awaited_voter_id: VoterId | None = None
        self.table = ClaimTable(clock, settings.window_ms)

    @property
    def group(self) -> int:
        """:returns: the group of keys that it votes on"""
        return self._group

    @property
    def state(self) -> tuple[VoterId, tuple[VoterSet, ...], bool, bool]:
        """:returns: what changes when a round or a message leads on"""
        return (
            self._voter_id,
            self._chain.required_sets,
            self._needs_claims,
            self.is_awaited,
        )

    @property
    def voter_id(self) -> VoterId:
        """:returns: the seat that it votes under, or asks for"""
        return self._voter_id

    @property
    def chain(self) -> VoterSetChain:
        """:returns: the voter sets in force here"""
        return self._chain

    @property
    def can_vote(self) -> bool:
        """:returns: whether it sits in a voter set"""
        return any(self._voter_id in item.members for item in self._chain.required_sets)

    @property
    def is_awaited(self) -> bool:
        """:returns: whether others count on a seat that it has not taken yet

        A voter asks for a seat, and is not wanted any more when the others grant
        it: VMs that came meanwhile are. Were it to stop holding rounds, the others
        would wait for its vote for good, and refuse every call of the group: two
        voters have no majority without the second.
        """
        return (
            self._chain.committed is None and self._awaited_voter_id == self._voter_id
        )

    @property
    def must_sync(self) -> bool:
        """:returns: whether the others cannot go on without its rounds"""
        return self.can_vote or self.is_awaited

    @property
    def is_settled(self) -> bool:
        """:returns: whether it votes and no change of the voter set is under way"""
        return self.can_vote and not self._chain.pending and not self._needs_claims

    @property
    def _is_wanted(self) -> bool:
        """:returns: whether this VM should be among the voters"""
        return self._vm in self._view.voters

    @property
    def has_left(self) -> bool:
        """:returns: whether a majority of the others goes on without it

        Its own move to a set without it proves only that the others adopted that
        set. Were it to end now, they could lack its vote to move as well.
        """
        committed = self._chain.committed
        if committed is None or committed.members <= {self._voter_id}:
            return self._is_leaving and not self.is_awaited
        is_out = self._is_leaving and not self.can_vote
        return is_out and committed.has_quorum(self._successors)

    @property
    def peers(self) -> frozenset[str]:
        """:returns: VMs to ask in a round among voters

        Without a base all that are listed: a voter set may exist of which none is
        wanted any more, and another one must not be begun beside it.
        """
        asked = self.voters_to_ask
        return (
            asked if self._chain.committed else asked | self._view.listed - {self._vm}
        )

    @property
    def voters_to_ask(self) -> frozenset[str]:
        """:returns: VMs to ask for votes: those in a voter set or wanted there"""
        voter_ids = {
            voter_id.vm
            for item in self._chain.required_sets
            for voter_id in item.members
        }
        return frozenset(voter_ids | self._view.voters) - {self._vm}


__all__ = ("VoterState",)
