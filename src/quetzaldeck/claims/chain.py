"""How one voter moves from one voter set to the next.

A voter set replaces an older one only after a majority of the older one has adopted
it, so that a minority that believes the others dead never becomes a majority of
its own. There is no leader: every voter proposes what it sees, proposals merge, and
the adopted sets of one voter form a chain, each covering the one before. Any two
majorities share a voter, whose chain orders what both have adopted; so all sets
that ever replace the first one are ordered as well.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.claims.messages import SyncReply
from quetzaldeck.claims.voter_set import VoterSet

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Sequence

    from quetzaldeck.claims.voter_id import VoterId


class Commit(NamedTuple):
    """A voter set that may replace the base.

    :param adopters: the replies that prove it; their claims must be taken over
    :param is_blind: whether seats counted that lost what they had granted
    """

    target: VoterSet
    adopters: tuple[SyncReply, ...]
    loses_grants: bool


class VoterSetChain:
    """The base that a voter votes in, and the sets adopted on top of it."""

    def __init__(self) -> None:
        self._committed: VoterSet | None = None
        self._pending: tuple[VoterSet, ...] = ()

    @property
    def committed(self) -> VoterSet | None:
        """:returns: the oldest set that still counts; ``None`` before the first"""
        return self._committed

    @property
    def pending(self) -> tuple[VoterSet, ...]:
        """:returns: the sets adopted later, in order"""
        return self._pending

    @property
    def newest(self) -> VoterSet | None:
        """:returns: the newest set"""
        return self._pending[-1] if self._pending else self._committed

    @property
    def required_sets(self) -> tuple[VoterSet, ...]:
        """:returns: the sets in each of which a claimant needs a majority"""
        return () if self._committed is None else (self._committed, *self._pending)

    def adopt(self, proposal: VoterSet) -> None:
        """Adopt the newest set merged with ``proposal``."""
        newest = self.newest
        if newest is None:
            return
        merged = newest.merge(proposal)
        if merged != newest and merged.members:
            self._pending = (*self._pending, merged)

    def set_committed(
        self, committed: VoterSet, pending: Sequence[VoterSet] = ()
    ) -> None:
        """Vote in ``base`` from now on; adopted sets that go beyond it stay.

        :param targets: sets that the voter who told of ``base`` has adopted
        """
        newest = self.newest
        self._pending = tuple(
            target
            for target in self._pending
            if target.covers(committed) and target != committed
        )
        self._committed = committed
        for proposal in (newest, *pending):
            if proposal is not None:
                self.adopt(proposal)

    def find_commit(
        self, replies: Sequence[SyncReply], retired: Collection[VoterId]
    ) -> Commit | None:
        """Find the newest adopted set that may replace the base.

        :param replies: of one round, this voter's own included
        :param vacated: seats that are proved to be empty and may be counted;
            a commit that needs them is blind
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
        """:returns: every older set that may be a base somewhere

        A set between base and target that a majority adopted may be in use by
        voters that know nothing of the target. Crossing it unasked would leave
        two bases with majorities that share nobody.
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
