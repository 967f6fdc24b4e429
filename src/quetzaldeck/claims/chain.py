"""Reconfiguration: how a voter moves from one voter set to the next.

A voter set replaces an older one only after a majority of the older one has adopted
it, so a minority that considers the other voters dead cannot form a majority of its
own. There is no leader: every voter proposes the changes that it sees, and proposals
are merged. The adopted sets of a voter form a chain, in which each set covers the one
before. Any two majorities have a common voter, whose chain orders the sets that both
adopted; so all sets that ever replace the first one are totally ordered.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.claims.messages import SyncReply
from quetzaldeck.claims.voter_set import VoterSet

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Sequence

    from quetzaldeck.claims.voter_id import VoterId


class Commit(NamedTuple):
    """A voter set that may replace the committed one.

    :param adopters: replies of voters that adopted it; their claims must be merged
    :param loses_grants: whether retired voters, whose claims are lost, were counted
    """

    target: VoterSet
    adopters: tuple[SyncReply, ...]
    loses_grants: bool


class VoterSetChain:
    """The committed set of a voter, and the pending sets that it has adopted since."""

    def __init__(self) -> None:
        self._committed: VoterSet | None = None
        self._pending: tuple[VoterSet, ...] = ()

    @property
    def committed(self) -> VoterSet | None:
        """:returns: the set in force; ``None`` before the first one"""
        return self._committed

    @property
    def pending(self) -> tuple[VoterSet, ...]:
        """:returns: the sets adopted after the committed one, in order"""
        return self._pending

    @property
    def newest(self) -> VoterSet | None:
        """:returns: the newest set"""
        return self._pending[-1] if self._pending else self._committed

    @property
    def required_sets(self) -> tuple[VoterSet, ...]:
        """:returns: the voter sets in each of which a claimant needs a majority"""
        return () if self._committed is None else (self._committed, *self._pending)

    def adopt(self, proposal: VoterSet) -> None:
        """Adopt the merge of the newest set and ``proposal``, if it is a new set."""
        newest = self.newest
        if newest is None:
            return
        merged = newest.merge(proposal)
        if merged != newest and merged.members:
            self._pending = (*self._pending, merged)

    def set_committed(
        self, committed: VoterSet, pending: Sequence[VoterSet] = ()
    ) -> None:
        """Commit a voter set; adopted sets that extend it stay pending.

        :param pending: pending sets of the peer that reported ``committed``
        """
        newest = self.newest
        self._pending = tuple(
            adopted
            for adopted in self._pending
            if adopted.covers(committed) and adopted != committed
        )
        self._committed = committed
        for proposal in (newest, *pending):
            if proposal is not None:
                self.adopt(proposal)

    def find_commit(
        self, replies: Sequence[SyncReply], retired: Collection[VoterId]
    ) -> Commit | None:
        """Find the newest adopted set that may replace the committed one.

        :param replies: replies of one round, including this voter's own
        :param retired: ids that will never vote again and may be counted as adopters;
            a commit that needs them loses grants
        """
        for target in reversed(self._pending):
            adopters = tuple(
                reply for reply in replies if target in _list_reply_sets(reply)
            )
            voter_ids = {reply.voter_id for reply in adopters}
            superseded = self._list_superseded(target, adopters)
            if _has_quorums(superseded, voter_ids):
                return Commit(target, adopters, loses_grants=False)
            if _has_quorums(superseded, voter_ids.union(retired)):
                return Commit(target, adopters, loses_grants=True)
        return None

    def _list_superseded(
        self, target: VoterSet, adopters: Iterable[SyncReply]
    ) -> set[VoterSet]:
        """:returns: every older set that a voter may have committed

        A set between the committed one and the target that a majority adopted may be in
        force at voters that do not know the target. If it were skipped without its own
        majority, two committed sets could have majorities without a common voter.
        """
        sets = set(self.required_sets)
        for reply in adopters:
            sets.update(_list_reply_sets(reply))
        return {
            voter_set
            for voter_set in sets
            if target.covers(voter_set) and voter_set != target
        }


def _list_reply_sets(reply: SyncReply) -> tuple[VoterSet, ...]:
    return () if reply.committed is None else (reply.committed, *reply.pending)


def _has_quorums(
    voter_sets: Iterable[VoterSet], voter_ids: Collection[VoterId]
) -> bool:
    return all(voter_set.has_quorum(voter_ids) for voter_set in voter_sets)


__all__ = ("Commit", "VoterSetChain")
